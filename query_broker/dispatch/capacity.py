"""Division of a process's file descriptors and memory among their uses. Performs no I/O."""

from __future__ import annotations

from typing import NamedTuple

from ..config import Config

# Lower bound on connections to endpoints, so that even a misconfigured process serves requests.
MIN_ENDPOINT_CONNECTIONS = 4
# Concurrent calls of operators to the admin API. Their descriptors are reserved, so that operators
# can connect while clients use all other descriptors.
MAX_OPERATOR_CALLS = 12
# Descriptors for the listener, the endpoint watch and the log, with a reserve: an eighth of the
# limit, within these bounds.
MIN_RESERVED_DESCRIPTORS = 24
MAX_RESERVED_DESCRIPTORS = 96
# Memory that an idle process uses, with a safety margin.
IDLE_PROCESS_MEMORY_MB = 24
# Lower bound on the memory for statements, so that even a small process serves requests.
MIN_STATEMENT_BYTES = 2 << 20
BYTES_PER_MB_SHIFT = 20


class Capacity(NamedTuple):
    """The limits of one process.

    Attributes:
        client_connections: Connections of clients.
        endpoint_connections: Connections to endpoints.
        statement_bytes: Total size of the statements of open requests. Partial frames and unread
            answers may each take as much again.
    """

    client_connections: int
    endpoint_connections: int
    statement_bytes: int


def divide_capacity(config: Config, processes: int, other_clients: int) -> Capacity:
    """Divide the limits of the configuration among the processes of this broker.

    Endpoints get three eighths of the descriptors, since most attempts have a dedicated connection.
    Clients get at least a third, and all descriptors that remain, since many clients send one
    request and stay connected for a while. Statements, partial frames and unread answers get a
    quarter of the memory each: a process that exceeds its memory is killed, and its admitted
    requests are lost.

    Args:
        config: Limits of the complete broker, all processes together.
        processes: Number of processes of this broker, including this one.
        other_clients: Number of clients connected to the other processes.
    """
    sockets = config.sockets
    reserved_descriptors = min(
        MAX_RESERVED_DESCRIPTORS, max(MIN_RESERVED_DESCRIPTORS, sockets // 8)
    )
    if config.admin_address is not None:
        reserved_descriptors += MAX_OPERATOR_CALLS + 1  # one for the listener of the admin API
    reserved_descriptors *= processes
    max_endpoint_descriptors = sockets - sockets // 3 - reserved_descriptors
    endpoint_descriptors = max(
        MIN_ENDPOINT_CONNECTIONS, min(sockets * 3 // 8, max_endpoint_descriptors)
    )
    client_descriptors = sockets - endpoint_descriptors - reserved_descriptors
    memory_mb = config.memory_mb // processes - IDLE_PROCESS_MEMORY_MB
    return Capacity(
        client_connections=max(sockets // 3 // processes, client_descriptors - other_clients),
        endpoint_connections=max(MIN_ENDPOINT_CONNECTIONS, endpoint_descriptors // processes),
        statement_bytes=max(MIN_STATEMENT_BYTES, (memory_mb << BYTES_PER_MB_SHIFT) // 4),
    )
