"""Helpers for tests of hand-over checks and cancellations with brokers on real sockets."""

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
from query_broker.protocols import client_frames as frames
from query_broker.server.node import Node

from ..support.sockets import (
    Client,
    RunningBroker,
    make_config,
    running,
    target_entry,
    topology_event,
    until,
)

#: Long enough that a part of it stays in the broker when the engine doesn't read.
LARGE_STATEMENT = b"SELECT 1 FROM sales_17.orders /* " + b"x" * 200_000 + b" */"


def deadline_controls(broker: RunningBroker) -> DeadlineControls:
    """Return the deadline settings and statistics of the broker."""
    return broker.node.dispatcher.deadline_controls


def statistics(broker: RunningBroker) -> HandOverStatistics:
    """Return the broker's counts of stopped and cancelled attempts."""
    return deadline_controls(broker).statistics


def stopped_count(broker: RunningBroker, hand_over: HandOver, reason: StopReason) -> int:
    """Return how many attempts were stopped at this hand-over for this reason."""
    return statistics(broker).stop_counts[hand_over, reason]


def request_id(number: int) -> str:
    """Return the request id for a number."""
    return f"{number:016x}"


def engine_connections(broker: RunningBroker) -> list[Any]:
    """Return the broker's connections to engines."""
    return [
        connection
        for pool in broker.node.dispatcher.pools.by_number.values()
        for connection in pool.connections
    ]


async def client_with_partly_written_request(
    broker: RunningBroker, max_connections: int = 1
) -> Client:
    """Return a client whose first request is large and partly written to an engine."""
    broker.node.dispatcher.pools.max_connections = max_connections
    client = await broker.client()
    client.send_request(
        1,
        body=LARGE_STATEMENT,
        trace=request_id(1),
        patience="5000",
        route="stock-add",
        weight="1.0",
    )
    await until(lambda: broker.node.dispatcher.connection_events.blocked_connections)
    return client


async def cancel_request(client: Client) -> None:
    """Cancel the client's first request."""
    client.send(frames.ABANDON, 1)


async def close_connection(client: Client) -> None:
    """Close the client's connection."""
    client.writer.transport.abort()


async def wait_for_queued_request(broker: RunningBroker) -> None:
    """Wait until a request waits in the write queue of the first connection."""
    await until(lambda: engine_connections(broker)[0].write_queue.by_key)


async def client_with_queued_request(broker: RunningBroker, **fields: Any) -> Client:
    """Return a client whose second request waits in the write queue behind a partly written one."""
    client = await client_with_partly_written_request(broker)
    client.send_request(2, trace=request_id(2), **{"weight": "1.0", **fields})
    await wait_for_queued_request(broker)
    return client


def change_endpoint(broker: RunningBroker, offset: int, target: dict[str, Any]) -> None:
    """Apply a watch event with this offset that changes this endpoint."""
    event = parse_event(topology_event(offset, target))
    broker.node.dispatcher.endpoint_list_changed(event)


def configured_node(**options: Any) -> Callable[[Config, Mapping[str, str]], Node]:
    """Return a function that creates a node with these parts of an operators' file."""
    return lambda config, environ: ConfiguredNode(config, OperatorConfig(**options), "", environ)


@asynccontextmanager
async def broker_with_engine_ports(
    *ports: int,
    make: Callable[[Config, Mapping[str, str]], Node] = Node,
    **changes: Any,
) -> AsyncIterator[RunningBroker]:
    """Run a broker with the engines s-1, s-2, ... on these ports."""
    targets = [target_entry(f"s-{number}", port) for number, port in enumerate(ports, 1)]
    async with running(make_config(*targets, **changes), os.environ, make) as broker:
        yield broker


def shrink_buffers(transport: Any) -> None:
    """Shrink the socket buffers, so that unread answers stay in the broker."""
    connection = transport.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 8_192)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8_192)
