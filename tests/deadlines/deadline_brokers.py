"""Brokers on real sockets whose hand-over checks and cancellations are watched."""

from __future__ import annotations

import os
import socket
from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import asynccontextmanager
from typing import Any

from query_broker.config import Config
from query_broker.deadlines.handover_checks import HandOver, HandOverStatistics, StopReason
from query_broker.discovery.event_codec import parse_event
from query_broker.dispatch.deadline_controls import DeadlineControls
from query_broker.operator_config.service import ConfiguredNode
from query_broker.operator_config.settings import OperatorConfig
from query_broker.server.node import Node

from ..support.sockets import (
    Client,
    Rig,
    make_config,
    running,
    target_entry,
    topology_event,
    until,
)

#: So long that a part of it stays in the broker when the engine doesn't read.
LARGE_STATEMENT = b"SELECT 1 FROM sales_17.orders /* " + b"x" * 200_000 + b" */"


def deadline_controls(rig: Rig) -> DeadlineControls:
    """The node's hand-over checks, cancellations and retry budget."""
    return rig.node.dispatcher.deadline_controls


def statistics(rig: Rig) -> HandOverStatistics:
    """What the node has counted of them."""
    return deadline_controls(rig).statistics


def stopped_count(rig: Rig, hand_over: HandOver, reason: StopReason) -> int:
    """How many attempts this hand-over has stopped for this reason."""
    return statistics(rig).stop_counts[hand_over, reason]


def request_id(number: int) -> str:
    """The id of a test's request."""
    return f"{number:016x}"


def engine_connections(rig: Rig) -> list[Any]:
    """The node's connections to engines."""
    return [
        connection
        for pool in rig.node.dispatcher.pools.by_number.values()
        for connection in pool.connections
    ]


async def client_with_half_written_request(rig: Rig, max_connections: int = 1) -> Client:
    """Its first request, a large one, is half written to an engine that does not read."""
    rig.node.dispatcher.pools.max_connections = max_connections
    client = await rig.client()
    client.ask(
        1,
        body=LARGE_STATEMENT,
        trace=request_id(1),
        patience="5000",
        route="stock-add",
        weight="1.0",
    )
    await until(lambda: rig.node.dispatcher.connection_events.blocked)
    return client


async def wait_for_queued_request(rig: Rig) -> None:
    """A request waits in the write queue of the first connection."""
    await until(lambda: engine_connections(rig)[0].write_queue.by_key)


async def client_with_queued_request(rig: Rig, **fields: Any) -> Client:
    """Behind its half-written first request, its second one waits in the write queue."""
    client = await client_with_half_written_request(rig)
    client.ask(2, trace=request_id(2), **{"weight": "1.0", **fields})
    await wait_for_queued_request(rig)
    return client


def change_endpoint(rig: Rig, offset: int, target: dict[str, Any]) -> None:
    """The discovery service tells of this endpoint in the event with this offset."""
    event = parse_event(topology_event(offset, target))
    rig.node.dispatcher.endpoint_list_changed(event)


def configured_node(**options: Any) -> Callable[[Config, Mapping[str, str]], Node]:
    """Makes a node with these parts of an operators' file."""
    return lambda config, environ: ConfiguredNode(config, OperatorConfig(**options), "", environ)


@asynccontextmanager
async def broker_before(
    *ports: int,
    make: Callable[[Config, Mapping[str, str]], Node] = Node,
    **changes: Any,
) -> AsyncIterator[Rig]:
    """A broker before engines s-1, s-2, ... on these ports."""
    targets = [target_entry(f"s-{number}", port) for number, port in enumerate(ports, 1)]
    async with running(make_config(*targets, **changes), os.environ, make) as rig:
        yield rig


def shrink_buffers(transport: Any) -> None:
    """So few bytes fit between client and broker that an unread answer stays with the broker."""
    connection = transport.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 8_192)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8_192)
