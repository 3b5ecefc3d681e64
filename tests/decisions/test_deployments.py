"""What differs between deployments: keys, notes, cancels, copies. Real sockets for what is spoken;
orders of events exhaustively, on a clock and sockets of the test's own.
"""

from __future__ import annotations

import asyncio
import itertools
from collections import Counter
from types import SimpleNamespace
from typing import Any, cast

import pytest
from hypothesis import given
from hypothesis import strategies as st

from query_broker.config import parse, parse_settings
from query_broker.deadlines.handover_checks import HandOver
from query_broker.decisions.events import AttemptResult
from query_broker.discovery.event_codec import parse_event
from query_broker.dispatch.dispatcher import Dispatcher
from query_broker.dispatch.requests import ActiveRequest
from query_broker.dispatch.requests import Client as Asker
from query_broker.dispatch.validation import InvalidRequestError, ParsedRequest
from query_broker.emulator.clients import RequestLog
from query_broker.emulator.cluster import EmulatedCluster
from query_broker.emulator.cluster import broker_config as world_config
from query_broker.emulator.data_engine import IdempotencyKeyStore, SlowRuns, keys_run_twice
from query_broker.endpoints.connection_pool import ConnectionPool
from query_broker.protocols import client_frames as frames
from query_broker.protocols import resp
from query_broker.protocols.client_request import parse_request
from query_broker.protocols.engine_connection import EngineConnection
from query_broker.timer_wheel import Clock

from ..support import deployments
from ..support.deployments import ALL, MS, S
from ..support.helpers import Harness, entry
from ..support.sockets import (
    STATEMENT,
    Client,
    Engine,
    make_config,
    on_uvloop,
    running,
    target_entry,
    topology_event,
    until,
)

KEY = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
TEXT = st.text(st.characters(codec="utf-8", exclude_characters=","), min_size=1, max_size=200)


def load(client: Client, stream: int = 1, nonce: str | None = KEY) -> None:
    client.ask(
        stream=stream,
        route="load",
        patience="20000",
        customer=None,
        trace=f"{stream:016x}",
        nonce=nonce,
    )


# --- keys ---


@pytest.mark.real_time
@on_uvloop
async def test_a_key_reaches_the_engine_with_every_try_and_is_absent_where_none_came() -> None:
    def script(engine: Engine, parts: list[bytes], writer: asyncio.StreamWriter) -> None:
        if parts[0] == b"do":
            word = b"crashed" if len(engine.commands_named(b"do")) == 1 else b"served"
            writer.write(resp.encode(parts[1], word, b"-", b"a\tb\tc\n" * (word == b"served")))

    one, other = Engine(script), Engine()
    both = [target_entry("s-1", await one.start()), target_entry("s-2", await other.start())]
    async with running(make_config(*both, **deployments.WAREHOUSE)) as rig:
        client, tries = await rig.client(), 0
        for stream in range(1, 20):
            load(client, stream)
            assert (await client.answer())[1] == frames.SERVED
            if one.commands_named(b"do"):
                break
        for do in one.commands_named(b"do") + other.commands_named(b"do"):
            tries += 1
            assert resp.read_pairs(do[2])["nonce"] == KEY
        assert tries == stream + 1  # one of them was tried again, under its key
        client.ask(stream=50, customer=None, trace="a" * 16)
        assert (await client.answer())[1] == frames.SERVED
        last = one.commands + other.commands
        assert [resp.read_pairs(p[2]).get("nonce") for p in last if p[1] == b"a" * 16] == [None]


@pytest.mark.real_time
@on_uvloop
async def test_a_keyed_request_without_a_usable_key_gets_one_answer_and_harms_nothing_else() -> (
    None
):
    engine = Engine()
    config = make_config(target_entry("s-1", await engine.start()), **deployments.WAREHOUSE)
    async with running(config) as rig:
        client = await rig.client()
        for stream, nonce in enumerate((None, "", "a,level=3", ","), 1):
            load(client, stream, nonce=nonce)
            assert (await client.answer())[:2] == (stream, frames.FAILED)
        load(client, 9, nonce="a=b;c:d -")
        assert (await client.answer())[:2] == (9, frames.SERVED)
        assert [resp.read_pairs(do[2])["nonce"] for do in engine.commands_named(b"do")] == [
            "a=b;c:d -"
        ]


@given(TEXT)
def test_any_key_is_told_byte_for_byte(key: str) -> None:
    fields = {"route": "load", "trace": "9" * 16, "patience": "9", "nonce": key}
    ask = parse_request(frames.write_fields(fields) + STATEMENT)
    told = resp.write_pairs({"cls": "load", "limit": 5, "nonce": ask.idempotency_key, "level": 1})
    assert resp.read_pairs(told) == {"cls": "load", "limit": "5", "nonce": key, "level": "1"}


def test_an_open_id_with_another_key_is_unusable(monkeypatch: pytest.MonkeyPatch) -> None:
    """Danger: the engine would take it for the open one, and drop it or answer both with one
    result.
    """
    orders = Orders(deployments.WAREHOUSE, monkeypatch)
    orders.take("load")
    with pytest.raises(InvalidRequestError):
        orders.broker.validator.check(orders.ask("load", nonce="f" * 32))


@pytest.mark.parametrize("name", ["warehouse", "bound"])
@pytest.mark.parametrize(("part", "sends"), [(0.5, 2), (1.0, 1), (1.2, 1)])
def test_no_keyed_attempt_after_its_window(name: str, part: float, sends: int) -> None:
    """Danger: past the window no engine knows the key, and the load runs twice."""
    settings = parse_settings(ALL[name])
    window = next(c.idempotency_window_ns for c in settings.classes if c.name == "load")
    h = Harness(settings, *(entry(i, zone="east") for i in (1, 2, 3)))
    h.arrive("r", "load", 10 * window, estimate_ns=MS, tenant="acme")
    h.now += int(part * window)  # its timers don't fire: nothing else ends the first attempt
    h.end("r", AttemptResult.ERROR)
    assert len(h.sends("r")) == sends


# --- notes ---


@pytest.mark.real_time
@on_uvloop
async def test_notes_of_every_kind_end_nothing_and_cost_little() -> None:
    engine = Engine(lambda *_: None)
    async with running(
        make_config(target_entry("s-1", await engine.start()), **deployments.WAREHOUSE)
    ) as rig:
        client = await rig.client()
        load(client)
        await until(lambda: engine.commands_named(b"do"))
        (do,) = engine.commands_named(b"do")
        heard: Counter[str] = Counter()
        controller = rig.node.dispatcher.facade.controller
        handle = controller.handle

        def listen(now: int, event: Any) -> Any:
            heard[type(event).__name__] += 1
            return handle(now, event)

        controller.handle = listen  # type: ignore[method-assign]
        writer = engine.writer_of(do)
        for told in (
            b"tell=pct,amount=0.4",
            b"tell=overflow,amount=12.5",
            b"tell=queued,amount=2",
            b"-",
            b"tell=odd,amount=1",
            b"tell=pct,amount=nan",
            b"tell=pct,amount=x",
            b"\xff",
            b"noise",
        ):
            writer.write(resp.encode(do[1], b"update", told, b""))
        for _ in range(1_000):
            writer.write(resp.encode(do[1], b"update", b"tell=pct,amount=0.5", b""))
        # of one that is over
        writer.write(resp.encode(b"f" * 16, b"update", b"tell=pct,amount=0.5", b""))
        engine.answer_served(do, writer)
        assert (await client.answer())[1] == frames.SERVED
        assert 3 <= heard["AttemptProgress"] <= 30
        assert not [line for line in rig.logged if line.startswith("engine")]


@pytest.mark.real_time
@on_uvloop
async def test_keyed_loads_run_once_to_their_end_while_engines_fail_drain_and_plan_badly() -> None:
    """All that the second deployment's engines do, together; the ledgers are the judge."""
    world = EmulatedCluster(
        honours_cancel=True,
        key_store=IdempotencyKeyStore(20 * S),
        progress_interval_ns=50 * MS,
        slow_runs=SlowRuns(0.1, 15.0),
    )
    await world.start("s-1", "s-2", "s-3", "s-4")
    raw = world_config(world, "127.0.0.1:1", **deployments.WAREHOUSE)
    async with running(parse(raw, {})) as rig:
        book = RequestLog("127.0.0.1", rig.port)
        for i in range(200):
            route, rows = ("load", 1) if i % 4 == 0 else ("glance", 900)
            await book.send_request(
                "",
                route,
                20,
                4_000 * MS,
                rows=rows,
                idempotency_key=f"{i:032x}" if route == "load" else "",
            )
            if i == 60:
                world.terminate("s-1")
            if i == 120:
                world.drain("s-2")
            await asyncio.sleep(0.003)
        await book.wait_until_idle(10)
        book.close()
    world.stop()
    engines = list(world.engines.values())
    assert not [a for a in book.records if a.answer_count != 1]
    assert not book.unmatched_answers
    assert sum(a.code == frames.SERVED for a in book.records) > 180
    assert not keys_run_twice(engines)
    assert world.queries_after_drain(550 * MS) == 0
    assert {
        run.idempotency_key
        for e in engines
        for run in e.machine.ledger
        if run.request_class == b"load"
    } <= {a.idempotency_key for a in book.records}


# --- orders of events ---


class Transport:
    def __init__(self, orders: Orders, fd: int) -> None:
        self.orders, self.fd, self.closing = orders, fd, False

    def get_extra_info(self, name: str) -> Any:
        return SimpleNamespace(fileno=lambda: self.fd, setsockopt=lambda *_: None)

    def is_closing(self) -> bool:
        return self.closing

    def abort(self) -> None:
        self.closing = True
        self.orders.ended(self.fd)


class StoppedClock(Clock):
    def __init__(self) -> None:
        self.time = 100 * S

    def now(self) -> int:
        return self.time


class Orders:
    """A broker before two engines; what has left for them, in its order. An attempt is out from
    when it has left whole until its engine has answered, its `undo` has left, or its connection has
    ended.
    """

    def __init__(self, facts: dict[str, Any], monkeypatch: pytest.MonkeyPatch) -> None:
        monkeypatch.setattr(
            "query_broker.protocols.engine_writer.os",
            SimpleNamespace(
                write=self.write,
                writev=lambda fd, pieces: self.write(fd, b"".join(map(bytes, pieces))),
            ),
        )
        self.clock = StoppedClock()
        targets = [target_entry(f"s-{i}", i, az="east") for i in (1, 2, 3)]
        raw = {"listen": "127.0.0.1:1", "settings": facts, "seed": "7"}
        self.broker = Dispatcher(
            parse(raw, {}),
            self.clock,
            lambda kind, text: self.faults.append(text) if kind == "fault" else None,
        )
        self.faults: list[str] = []
        self.broker.endpoint_list_changed(parse_event(topology_event(1, *targets, full=True)))
        self.broker.pools.set_max_connections(100)
        self.out: dict[int, set[bytes]] = {}
        self.jammed: set[int] = set()
        self.dos = self.most_out = 0
        self.first = 0  # the connection of the first attempt
        self.answers: list[str] = []
        self.parser: dict[int, resp.RespParser] = {}
        self.connections: dict[int, EngineConnection] = {}
        self.opening: list[ConnectionPool] = []
        monkeypatch.setattr(ConnectionPool, "_open", lambda pool: self.opening.append(pool))
        for pool in [*self.broker.pools.by_number.values()] * 2:
            self.connect(pool)

    def connect(self, pool: ConnectionPool) -> None:
        fd = 1_000 + len(self.connections)
        made = EngineConnection(self.broker.connection_events, pool.number)
        self.out[fd], self.parser[fd], self.connections[fd] = set(), resp.RespParser(), made
        made.connection_made(cast(Any, Transport(self, fd)))
        pool.connections.append(made)

    def turn(self) -> None:
        """One tick; what was to be opened is open by then."""
        opening, self.opening = self.opening, []
        for pool in opening:
            self.connect(pool)
            waiting, pool.waiting_attempts = pool.waiting_attempts, []
            for attempt in waiting:
                if self.broker.gate.may_proceed(attempt, HandOver.CONNECTION):
                    pool.send(attempt, self.clock.time)
        self.broker.tick()

    # what the engines see

    def write(self, fd: int, data: bytes) -> int:
        if fd in self.jammed:
            raise BlockingIOError
        for parts in self.parser[fd].feed(bytes(data)):
            if parts[0] == b"do":
                self.out[fd].add(parts[1])
                self.first = self.first or fd
                self.dos += 1
                self.most_out = max(self.most_out, sum(len(out) for out in self.out.values()))
            elif parts[0] == b"undo":
                self.out[fd].discard(parts[1])
        return len(data)

    def ended(self, fd: int) -> None:
        self.out[fd].clear()

    # the client's side

    def served(self, stream: int, body: bytes) -> None:
        self.answers.append("served")

    def rejected(self, stream: int, pause_ms: int) -> None:
        self.answers.append("refused")

    def failed(self, stream: int, reason: str) -> None:
        self.answers.append("failed")

    def ask(self, route: str, nonce: str | None = KEY) -> ParsedRequest:
        return ParsedRequest(
            route,
            "9" * 16,
            "acme",
            1e5,
            100.0,
            1.0,
            False,
            3,
            STATEMENT,
            nonce if route == "load" else None,
        )

    def take(self, route: str) -> ActiveRequest:
        self.request = self.broker.submit(cast(Asker, self), 1, self.ask(route))
        return self.request

    # what may happen, by name

    def carrier(self) -> tuple[int, EngineConnection] | None:
        """The connection of the attempt that is out last."""
        for attempt in reversed(self.request.attempts.values()):
            for fd, connection in self.connections.items():
                if connection is attempt.connection and not connection.closed:
                    return fd, connection
        return None

    def happen(self, what: str) -> None:  # noqa: C901, PLR0912  # one scenario, told in order
        broker, found = self.broker, self.carrier()
        if what == "tick":
            self.clock.time += 5 * MS
            self.turn()
        elif what == "overdue":  # the review of an attempt; a time-out comes at the end
            for _ in range(3):
                self.clock.time += S
                self.turn()
        elif what == "timeout":  # past the deadline of every class
            for _ in range(9):
                self.clock.time += 3 * S
                self.turn()
        elif what == "late":  # the first attempt is answered, whatever has become of it
            connection = self.connections[self.first]
            if not connection.closed:
                self.out[self.first].discard(b"9" * 16)
                connection.data_received(resp.encode(b"9" * 16, b"served", b"-", b"a\tb\tc\n"))
        elif what == "left":
            broker.cancellations.abandon(self.request)
        elif what == "drain":
            for known in list(broker.endpoint_table.by_uid)[:2]:
                broker.endpoint_list_changed(
                    parse_event(topology_event(2, target_entry(known, 1, "terminating")))
                )
        elif what == "free":
            self.jammed.clear()
            self.turn()
        elif found is not None:
            fd, connection = found
            if what in ("served", "crashed", "overload", "update"):
                if what != "update":
                    self.out[fd].discard(b"9" * 16)
                body = b"a\tb\tc\n" * (what == "served")
                connection.data_received(resp.encode(b"9" * 16, what.encode(), b"-", body))
            elif what == "reset":
                self.out[fd].clear()
                connection.connection_lost(ConnectionResetError())
            elif what == "spoilt":
                connection.data_received(b"noise\r\n")
            elif what == "jam":
                self.jammed.add(fd)

    def end(self) -> None:
        """Time goes on until nothing can happen any more; the client has left by then."""
        self.jammed.clear()
        for _ in range(7):
            self.clock.time += 4 * S
            self.turn()


SEVEN = ["timeout", "overdue", "late", "reset", "update", "drain", "left"]  # overdue: it is undone
EVENTS = [
    "tick",
    "overdue",
    "left",
    "drain",
    "free",
    "served",
    "crashed",
    "overload",
    "update",
    "reset",
    "spoilt",
    "jam",
]


@pytest.mark.parametrize("name", ALL)
@pytest.mark.parametrize("route", ["glance", "load"])
def test_no_order_of_events_breaks_a_rule(
    name: str, route: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    facts = ALL[name]
    limits = facts["policy_limits"]
    spec = next(c for c in facts["classes"] if c["name"] == route)
    orders_of_all = (
        itertools.permutations(SEVEN) if name == "warehouse" else itertools.permutations(SEVEN, 3)
    )
    for order in (
        *itertools.product(EVENTS, repeat=3 if name == "warehouse" else 2),
        *orders_of_all,
    ):
        orders = Orders(facts, monkeypatch)
        orders.take(route)
        for what in order:
            orders.happen(what)
        orders.end()
        copies = 2 if limits["second_copies"] and spec["effect"] == "read_like" else 1
        assert orders.most_out <= copies, order
        assert orders.dos <= limits["send_cap"], order
        assert len(orders.answers) <= 1, order
        assert orders.answers or "left" in order, order
        assert not orders.faults, (order, orders.faults)
        if spec["effect"] == "non_idempotent" and not {"overload", "jam", "drain"}.intersection(
            order
        ):
            assert orders.dos <= 1, order
        assert not orders.broker.requests, order
        assert not orders.broker.request_table.by_client_id, order
