"""Occurrences that may affect a request in flight, for tests of all orders of them."""

from __future__ import annotations

import enum
from collections.abc import Callable

from query_broker.discovery.event_codec import parse_event
from query_broker.protocols import resp

from ..support.deployments import MS, S
from ..support.sockets import target_entry, topology_event
from .dispatcher_harness import CLIENT_REQUEST_ID, DispatcherHarness, EngineSide

RESULT_BODY = b"a\tb\tc\n"


class Occurrence(enum.Enum):
    """Something that may affect a request in flight."""

    TICK = "tick"
    ATTEMPT_REVIEWED = "attempt reviewed"
    DEADLINE_PASSED = "deadline passed"
    FIRST_ATTEMPT_SERVED = "first attempt served"
    CLIENT_LEFT = "client left"
    ENGINES_DRAINING = "engines draining"
    SOCKETS_WRITABLE = "sockets writable"
    SERVED = "served"
    CRASHED = "crashed"
    OVERLOADED = "overload"
    PROGRESS = "update"
    CONNECTION_RESET = "connection reset"
    PROTOCOL_ERROR = "protocol error"
    SOCKET_BLOCKED = "socket blocked"


def apply_occurrence(harness: DispatcherHarness, occurrence: Occurrence) -> None:
    """Trigger one occurrence.

    An occurrence that affects an attempt affects the last attempt in flight, if there is any.
    """
    if occurrence in ACTIONS:
        ACTIONS[occurrence](harness)
        return
    engine_side = harness.engine_side_of_last_attempt()
    if engine_side is not None:
        ATTEMPT_ACTIONS[occurrence](engine_side)


def _serve_first_attempt(harness: DispatcherHarness) -> None:
    """Answer the first attempt, even if it is no longer in flight."""
    engine_side = harness.engine_sides[harness.first_descriptor]
    if not engine_side.connection.closed:
        engine_side.answer(b"served", RESULT_BODY)


def _drain_two_engines(harness: DispatcherHarness) -> None:
    dispatcher = harness.dispatcher
    for uid in list(dispatcher.endpoint_table.by_uid)[:2]:
        event = topology_event(2, target_entry(uid, 1, "terminating"))
        dispatcher.endpoint_list_changed(parse_event(event))


def _make_sockets_writable(harness: DispatcherHarness) -> None:
    harness.make_sockets_writable()
    harness.tick()


ACTIONS: dict[Occurrence, Callable[[DispatcherHarness], None]] = {
    Occurrence.TICK: lambda harness: harness.advance(1, 5 * MS),
    # Late enough for the review of an attempt, too early for its timeout.
    Occurrence.ATTEMPT_REVIEWED: lambda harness: harness.advance(3, S),
    # Past the deadline of every class.
    Occurrence.DEADLINE_PASSED: lambda harness: harness.advance(9, 3 * S),
    Occurrence.FIRST_ATTEMPT_SERVED: _serve_first_attempt,
    Occurrence.CLIENT_LEFT: lambda harness: harness.abandon(),
    Occurrence.ENGINES_DRAINING: _drain_two_engines,
    Occurrence.SOCKETS_WRITABLE: _make_sockets_writable,
}


def _report_progress(engine_side: EngineSide) -> None:
    message = resp.encode(CLIENT_REQUEST_ID.encode(), b"update", b"-", b"")
    engine_side.connection.data_received(message)


def _reset_connection(engine_side: EngineSide) -> None:
    engine_side.in_flight.clear()
    engine_side.connection.connection_lost(ConnectionResetError())


def _break_protocol(engine_side: EngineSide) -> None:
    engine_side.connection.data_received(b"noise\r\n")


def _block_socket(engine_side: EngineSide) -> None:
    engine_side.is_blocked = True


ATTEMPT_ACTIONS: dict[Occurrence, Callable[[EngineSide], None]] = {
    Occurrence.SERVED: lambda engine_side: engine_side.answer(b"served", RESULT_BODY),
    Occurrence.CRASHED: lambda engine_side: engine_side.answer(b"crashed"),
    Occurrence.OVERLOADED: lambda engine_side: engine_side.answer(b"overload"),
    Occurrence.PROGRESS: _report_progress,
    Occurrence.CONNECTION_RESET: _reset_connection,
    Occurrence.PROTOCOL_ERROR: _break_protocol,
    Occurrence.SOCKET_BLOCKED: _block_socket,
}
