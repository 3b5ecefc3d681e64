"""Division of the process's descriptors and memory. Performs no I/O."""

from __future__ import annotations

from typing import NamedTuple

from ..config import Config

# Connections to endpoints that are kept whatever the limit, so that a misconfigured process serves.
MIN_ENDPOINT_CONNECTIONS = 4
# Concurrent calls of operators. Their descriptors are reserved, so that they can connect while
# clients use up all others.
MAX_OPERATOR_CALLS = 12
# Descriptors for the listener, the endpoint watch and the log, and some spare: an eighth of the
# limit, within these bounds.
MIN_RESERVED_DESCRIPTORS = 24
MAX_RESERVED_DESCRIPTORS = 96
# What an idle process takes, with a margin.
BASE_MEMORY_MB = 24
# Memory for statements that is kept whatever the limit, so that a small process serves at all.
MIN_STATEMENT_BYTES = 2 << 20
BYTES_PER_MB_SHIFT = 20


class Capacity(NamedTuple):
    """What one process may hold.

    Attributes:
        client_connections: Connections of clients.
        endpoint_connections: Connections to endpoints.
        statement_bytes: Size of the statements of open requests. Partial frames and unread answers
            may take as much each.
    """

    client_connections: int
    endpoint_connections: int
    statement_bytes: int


def divide_capacity(config: Config, processes: int, other_clients: int) -> Capacity:
    """Divide the limits of the configuration among the processes of this broker.

    Endpoints get three eighths of the descriptors, since most attempts have a dedicated connection.
    Clients get at least a third and all that remain, since many send one request and stay connected
    for a while. Statements, partial frames and unread answers get a quarter each of the memory: a
    process that exceeds its memory is killed, and its admitted requests are lost.

    Args:
        config: Limits of the complete broker, all processes together.
        processes: Processes of this broker, this one included.
        other_clients: Clients that the other processes hold.
    """
    sockets = config.sockets
    reserved_descriptors = min(
        MAX_RESERVED_DESCRIPTORS, max(MIN_RESERVED_DESCRIPTORS, sockets // 8)
    )
    if config.admin_address is not None:
        reserved_descriptors += MAX_OPERATOR_CALLS + 1  # and their listener
    reserved_descriptors *= processes
    max_for_endpoints = sockets - sockets // 3 - reserved_descriptors
    for_endpoints = max(MIN_ENDPOINT_CONNECTIONS, min(sockets * 3 // 8, max_for_endpoints))
    for_clients = sockets - for_endpoints - reserved_descriptors
    memory_mb = config.memory_mb // processes - BASE_MEMORY_MB
    return Capacity(
        client_connections=max(sockets // 3 // processes, for_clients - other_clients),
        endpoint_connections=max(MIN_ENDPOINT_CONNECTIONS, for_endpoints // processes),
        statement_bytes=max(MIN_STATEMENT_BYTES, (memory_mb << BYTES_PER_MB_SHIFT) // 4),
    )
