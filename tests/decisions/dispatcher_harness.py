"""A harness for a dispatcher with emulated data engines, a manual clock and no sockets.

It records what the dispatcher writes to the engines and answers to the client. A test triggers
events in any order.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any, cast

import pytest

from query_broker.config import parse
from query_broker.deadlines.handover_checks import HandOver
from query_broker.discovery.event_codec import parse_event
from query_broker.dispatch.dispatcher import Dispatcher
from query_broker.dispatch.requests import ActiveRequest
from query_broker.dispatch.requests import Client as RequestClient
from query_broker.dispatch.validation import ParsedRequest
from query_broker.endpoints.connection_pool import ConnectionPool
from query_broker.overriding import override
from query_broker.protocols import resp
from query_broker.protocols.engine_connection import EngineConnection
from query_broker.timer_wheel import Clock

from ..support.deployments import S
from ..support.sockets import STATEMENT, target_entry, topology_event

IDEMPOTENCY_KEY = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
CLIENT_REQUEST_ID = "9" * 16
FIRST_DESCRIPTOR = 1_000


class ManualClock(Clock):
    """A clock whose time a test sets."""

    def __init__(self) -> None:
        self.time_ns = 100 * S

    @override
    def now(self) -> int:
        return self.time_ns


class RecordingClient:
    """A client that records its answers."""

    def __init__(self) -> None:
        self.answers: list[str] = []

    def served(self, stream: int, body: bytes) -> None:
        self.answers.append("served")

    def rejected(self, stream: int, pause_ms: int) -> None:
        self.answers.append("rejected")

    def failed(self, stream: int, reason: str) -> None:
        self.answers.append("failed")


@dataclass
class EngineSide:
    """The data engine's end of a connection.

    Attributes:
        connection: The broker's end.
        in_flight: Ids of the attempts that were sent completely and have not ended since by an
            answer, an `undo` or the end of the connection.
        is_blocked: Whether the socket accepts no more bytes.
    """

    connection: EngineConnection
    in_flight: set[bytes] = field(default_factory=set)
    is_blocked: bool = False
    parser: resp.RespParser = field(default_factory=resp.RespParser)

    def answer(self, result: bytes, body: bytes = b"") -> None:
        """Answer the attempt, which ends it."""
        attempt_id = CLIENT_REQUEST_ID.encode()
        self.in_flight.discard(attempt_id)
        self.connection.data_received(resp.encode(attempt_id, result, b"-", body))


class EmulatedTransport:
    """A transport; if it is aborted, all attempts in flight on its connection end."""

    def __init__(self, engine_side: EngineSide, descriptor: int) -> None:
        self.engine_side = engine_side
        self.descriptor = descriptor
        self.closing = False

    def get_extra_info(self, name: str) -> Any:
        return SimpleNamespace(fileno=lambda: self.descriptor, setsockopt=lambda *_: None)

    def is_closing(self) -> bool:
        return self.closing

    def abort(self) -> None:
        self.closing = True
        self.engine_side.in_flight.clear()


class DispatcherHarness:
    """A dispatcher with three emulated data engines and two connections to each.

    Attributes:
        engine_sides: The data engines' ends of all connections, by file descriptor.
        dispatch_count: Number of attempts that were sent completely.
        max_in_flight: Largest number of them in flight at the same time.
        first_descriptor: File descriptor of the first attempt's connection; 0 before the attempt.
        faults: The faults that the dispatcher has logged.
    """

    def __init__(self, settings: dict[str, Any], monkeypatch: pytest.MonkeyPatch) -> None:
        emulated_os = SimpleNamespace(
            write=self._write,
            writev=lambda descriptor, pieces: self._write(descriptor, b"".join(map(bytes, pieces))),
        )
        monkeypatch.setattr("query_broker.protocols.engine_writer.os", emulated_os)
        monkeypatch.setattr(ConnectionPool, "_open", lambda pool: self._opening_pools.append(pool))
        self.clock = ManualClock()
        self.client = RecordingClient()
        self.faults: list[str] = []
        self.engine_sides: dict[int, EngineSide] = {}
        self.dispatch_count = 0
        self.max_in_flight = 0
        self.first_descriptor = 0
        self._opening_pools: list[ConnectionPool] = []
        config = parse({"listen": "127.0.0.1:1", "settings": settings, "seed": "7"}, {})
        self.dispatcher = Dispatcher(config, self.clock, self._log)
        targets = [target_entry(f"s-{number}", number, az="east") for number in (1, 2, 3)]
        event = parse_event(topology_event(1, *targets, full=True))
        self.dispatcher.endpoint_list_changed(event)
        self.dispatcher.pools.set_max_connections(100)
        for pool in [*self.dispatcher.pools.by_number.values()] * 2:
            self._connect(pool)

    def _log(self, kind: str, text: str) -> None:
        if kind == "fault":
            self.faults.append(text)

    def _connect(self, pool: ConnectionPool) -> None:
        descriptor = FIRST_DESCRIPTOR + len(self.engine_sides)
        connection = EngineConnection(self.dispatcher.connection_events, pool.number)
        engine_side = EngineSide(connection)
        self.engine_sides[descriptor] = engine_side
        connection.connection_made(cast(Any, EmulatedTransport(engine_side, descriptor)))
        pool.connections.append(connection)

    def _write(self, descriptor: int, data: bytes) -> int:
        """Parse, in place of the data engine, what the broker writes to a socket."""
        engine_side = self.engine_sides[descriptor]
        if engine_side.is_blocked:
            raise BlockingIOError
        for parts in engine_side.parser.feed(bytes(data)):
            if parts[0] == b"do":
                engine_side.in_flight.add(parts[1])
                self._record_dispatch(descriptor)
            elif parts[0] == b"undo":
                engine_side.in_flight.discard(parts[1])
        return len(data)

    def _record_dispatch(self, descriptor: int) -> None:
        self.first_descriptor = self.first_descriptor or descriptor
        self.dispatch_count += 1
        in_flight = sum(len(side.in_flight) for side in self.engine_sides.values())
        self.max_in_flight = max(self.max_in_flight, in_flight)

    def parsed_request(
        self, class_name: str, idempotency_key: str | None = IDEMPOTENCY_KEY
    ) -> ParsedRequest:
        """Return a request; it has an idempotency key only in the class "load"."""
        return ParsedRequest(
            class_name,
            CLIENT_REQUEST_ID,
            "acme",
            1e5,
            100.0,
            1.0,
            False,
            3,
            STATEMENT,
            idempotency_key if class_name == "load" else None,
        )

    def submit(self, class_name: str) -> ActiveRequest:
        client = cast(RequestClient, self.client)
        self.request = self.dispatcher.submit(client, 1, self.parsed_request(class_name))
        return self.request

    def abandon(self) -> None:
        """Abandon the request, as its client would."""
        self.dispatcher.cancellations.abandon(self.request)

    def advance(self, ticks: int, step_ns: int) -> None:
        for _ in range(ticks):
            self.clock.time_ns += step_ns
            self.tick()

    def tick(self) -> None:
        """Run one tick, after opening the connections that were requested before it."""
        opening = self._opening_pools
        self._opening_pools = []
        for pool in opening:
            self._connect(pool)
            self._send_waiting(pool)
        self.dispatcher.tick()

    def _send_waiting(self, pool: ConnectionPool) -> None:
        waiting = pool.waiting_attempts
        pool.waiting_attempts = []
        for attempt in waiting:
            if self.dispatcher.gate.may_proceed(attempt, HandOver.CONNECTION):
                pool.send(attempt, self.clock.time_ns)

    def run_until_idle(self) -> None:
        """Unblock the sockets and advance the clock past the last possible timer."""
        self.make_sockets_writable()
        self.advance(7, 4 * S)

    def make_sockets_writable(self) -> None:
        for engine_side in self.engine_sides.values():
            engine_side.is_blocked = False

    def engine_side_of_last_attempt(self) -> EngineSide | None:
        """Return the engine's end of the connection of the last attempt in flight."""
        for attempt in reversed(self.request.attempts.values()):
            for engine_side in self.engine_sides.values():
                connection = engine_side.connection
                if connection is attempt.connection and not connection.closed:
                    return engine_side
        return None
