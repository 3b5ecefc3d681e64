"""A broker in the process of the benchmark, so that the benchmark can read its state."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from dataclasses import replace
from typing import Any

from query_broker.config import Config, parse
from query_broker.server.node import Node

POLL_INTERVAL_S = 0.01


def parse_config(raw: Mapping[str, Any]) -> Config:
    """Return the configuration of a node that listens on a free port."""
    return replace(parse(json.loads(json.dumps(raw)), {}), port=0)


def _discard_line(kind: str, text: str) -> None:
    """Replace the log, since a benchmark prints its values only."""


@asynccontextmanager
async def serving(node: Node) -> AsyncIterator[int]:
    """Run a node without its log; yield the port on which it accepts clients."""
    node.log = _discard_line  # type: ignore[assignment]
    node.dispatcher.log = _discard_line
    node.dispatcher.pools.log = _discard_line
    running = asyncio.create_task(node.run())
    while node.server is None:
        await asyncio.sleep(POLL_INTERVAL_S)
    try:
        yield int(node.server.sockets[0].getsockname()[1])
    finally:
        node.stop()
        await running
