"""Division of the process's descriptors and memory. Performs no I/O."""

from __future__ import annotations

from typing import NamedTuple

from ..config import Config

# Connections to endpoints that are kept whatever the limit, so that a misconfigured process serves.
MIN_ENDPOINT_CONNECTIONS = 4
# Operators' calls at once. Their descriptors are reserved, so that a flood of clients does not keep
# the operators out.
MAX_OPERATOR_CALLS = 12
# Descriptors for the listener, the endpoint watch and the log, and a few to spare: an eighth of the
# limit, within these bounds.
MIN_RESERVED_DESCRIPTORS = 24
MAX_RESERVED_DESCRIPTORS = 96
# What the process takes with nothing in flight, and some to spare.
BASE_MEMORY_MB = 24
# Memory for statements that is kept whatever the limit, so that a small process serves at all.
MIN_STATEMENT_BYTES = 2 << 20
BYTES_PER_MB_SHIFT = 20


class Capacity(NamedTuple):
    """What one process may hold.

    Attributes:
        client_connections: Connections of clients.
        endpoint_connections: Connections to endpoints.
        statement_bytes: Statements of open requests, in bytes. Partial frames and answers that wait
            for their reader may take as much each.
    """

    client_connections: int
    endpoint_connections: int
    statement_bytes: int


def divide_capacity(config: Config, processes: int, other_clients: int) -> Capacity:
    """Divide the limits of the configuration among the processes of this broker.

    Endpoints get three eighths of the descriptors, since most attempts have a connection of their
    own. Clients get at least a third, and all that is left, since many send one request and stay a
    while. A quarter each of the memory goes to statements, partial frames and unread answers: past
    its memory the process is killed, with all that it had admitted.

    Args:
        config: Limits of the whole broker.
        processes: Processes of this broker, this one included.
        other_clients: Clients that the other processes hold.
    """
    sockets = config.sockets
    reserved = min(MAX_RESERVED_DESCRIPTORS, max(MIN_RESERVED_DESCRIPTORS, sockets // 8))
    if config.admin_address is not None:
        reserved += MAX_OPERATOR_CALLS + 1  # and their listener
    reserved *= processes
    left_by_clients = sockets - sockets // 3 - reserved
    for_endpoints = max(MIN_ENDPOINT_CONNECTIONS, min(sockets * 3 // 8, left_by_clients))
    for_clients = sockets - for_endpoints - reserved
    memory_mb = config.memory_mb // processes - BASE_MEMORY_MB
    return Capacity(
        client_connections=max(sockets // 3 // processes, for_clients - other_clients),
        endpoint_connections=max(MIN_ENDPOINT_CONNECTIONS, for_endpoints // processes),
        statement_bytes=max(MIN_STATEMENT_BYTES, (memory_mb << BYTES_PER_MB_SHIFT) // 4),
    )
