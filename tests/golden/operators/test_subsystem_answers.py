"""Golden form of the subsystems' answers to operators' calls."""

from __future__ import annotations

import asyncio

import pytest

from query_broker.operator_config.service import ConfiguredNode

from .cell_calls import CELL_CALLS
from .cluster_calls import CLUSTER_CALLS
from .nodes import answer_to
from .operator_config_calls import OPERATOR_CONFIG_CALLS
from .subsystem_calls import OperatorCall

pytestmark = pytest.mark.real_time  # the nodes bind sockets


def check_calls(node: ConfiguredNode, calls: list[OperatorCall]) -> None:
    """Make the calls in their order, as the node's event loop does."""

    async def make_calls() -> None:
        for call in calls:
            assert answer_to(node, call) == call.answer, (call.method, call.path)

    asyncio.run(make_calls())


def test_answers_of_a_node_with_an_operators_file(configured_node: ConfiguredNode) -> None:
    check_calls(configured_node, OPERATOR_CONFIG_CALLS)


def test_answers_of_a_node_with_cells(cell_node: ConfiguredNode) -> None:
    check_calls(cell_node, CELL_CALLS)


def test_answers_of_a_node_that_knows_other_members(cluster_node: ConfiguredNode) -> None:
    check_calls(cluster_node, CLUSTER_CALLS)
