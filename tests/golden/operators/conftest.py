"""Nodes whose clock, random bytes and process number are fixed, so that each run gives the same."""

from __future__ import annotations

import os
from collections.abc import Iterator
from pathlib import Path

import pytest

from query_broker.operator_config.service import ConfiguredNode
from query_broker.timer_wheel import Clock

from .nodes import NOW_NS, PROCESS_ID, make_cell_node, make_cluster_node, make_node


@pytest.fixture
def _fixed_process(monkeypatch: pytest.MonkeyPatch) -> None:
    """The clock stands still, random bytes are zeros, and the process has a fixed number."""
    monkeypatch.setattr(Clock, "now", lambda self: NOW_NS)
    monkeypatch.setattr(os, "urandom", bytes)
    monkeypatch.setattr(os, "getpid", lambda: PROCESS_ID)


@pytest.fixture
def configured_node(_fixed_process: None, tmp_path: Path) -> Iterator[ConfiguredNode]:
    """A node with an operators' file that knows no other member."""
    node = make_node(tmp_path)
    yield node
    node.stop()


@pytest.fixture
def cell_node(_fixed_process: None, tmp_path: Path) -> Iterator[ConfiguredNode]:
    """A node with an operators' file that names cells."""
    node = make_cell_node(tmp_path)
    yield node
    node.stop()


@pytest.fixture
def cluster_node(_fixed_process: None, tmp_path: Path) -> Iterator[ConfiguredNode]:
    """A node that knows other members, ejects endpoints and holds a lease."""
    node = make_cluster_node(tmp_path)
    yield node
    node.stop()
