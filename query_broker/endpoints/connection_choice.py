"""Which connection of an endpoint takes the next attempt.

This is on the path of every request. It reads and writes nothing, but `choose_connection` asks the
operating system whether the endpoint has closed the connection that is about to be chosen.
"""

from __future__ import annotations

from collections.abc import Iterable

from ..protocols.engine_connection import EngineConnection

#: An endpoint with attempts in flight counts as silent after this time without a received byte.
#: Within one second few attempts are sent to an endpoint that is cut off, and a false alarm costs
#: only one connect.
ENDPOINT_SILENCE_LIMIT_NS = 1_000_000_000


def usable_connections(
    connections: Iterable[EngineConnection], now_ns: int
) -> list[EngineConnection]:
    """Return the connections to one endpoint that may take new work.

    An endpoint that is cut off by a network partition sends nothing, but its connections stay open.
    If it has attempts in flight and has been silent for too long, none of its connections is usable
    until a new one has been established.
    """
    live = [connection for connection in connections if not connection.retired]
    dispatched_ns = [
        attempt.dispatched_ns for connection in live for attempt in connection.in_flight.values()
    ]
    if not dispatched_ns:
        return live
    last_received_ns = max([connection.last_received_ns for connection in live])
    silent_since_ns = max(min(dispatched_ns), last_received_ns)
    return [] if now_ns - silent_since_ns > ENDPOINT_SILENCE_LIMIT_NS else live


def choose_connection(
    connections: list[EngineConnection], request_id: bytes, max_streams: int, now_ns: int
) -> EngineConnection | None:
    """Return the connection that takes a request, or None if none can.

    An attempt written to a connection that the endpoint has closed would count as one that may have
    run. Such a connection is therefore retired, and another one is chosen.
    """
    while True:
        usable = usable_connections(connections, now_ns)
        connection = least_loaded(usable, request_id, max_streams)
        if connection is None or connection.is_blocked or not connection.ended_by_engine():
            return connection
        connection.retired = True


def least_loaded(
    connections: Iterable[EngineConnection], request_id: bytes, max_streams: int
) -> EngineConnection | None:
    """Return the connection with the fewest open streams, or None if none has a free stream.

    Answers are identified by the client's request id, and may be duplicated or late: a connection
    that has recently carried an id gets no other attempt under the same id. A connection whose
    socket accepts no more bytes (backpressure) is chosen only if there is no other, and never when
    its write queue is full.
    """
    best = None
    blocked = None
    fewest_streams = max_streams
    for connection in connections:
        streams = len(connection.in_flight)
        if connection.cancelled_ids:  # rare: the check saves a call on the path of every request
            streams += len(connection.cancelled_ids)
        if streams >= max_streams or request_id in connection.remembered_request_ids:
            continue
        if connection.is_blocked:
            if not connection.write_queue.full():
                blocked = connection
        elif streams < fewest_streams:
            best = connection
            fewest_streams = streams
            if not streams:
                break
    return blocked if best is None else best


def has_full_queue(
    connections: Iterable[EngineConnection], request_id: bytes, max_streams: int
) -> bool:
    """Return whether a full write queue is all that keeps a connection from taking the request."""
    for connection in connections:
        streams = len(connection.in_flight) + len(connection.cancelled_ids)
        if streams >= max_streams or request_id in connection.remembered_request_ids:
            continue
        if connection.is_blocked and connection.write_queue.full():
            return True
    return False


def retire_silent(connections: Iterable[EngineConnection], now_ns: int) -> None:
    """Retire the connections that have attempts in flight and have been silent for too long."""
    for connection in connections:
        if (
            connection.in_flight
            and now_ns - connection.last_received_ns > ENDPOINT_SILENCE_LIMIT_NS
        ):
            connection.retired = True
