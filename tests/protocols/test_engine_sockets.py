"""Data engines on real sockets: one test for each rule."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import replace

import pytest

from query_broker.discovery.event_codec import parse_event
from query_broker.dispatch.dispatcher import Dispatcher
from query_broker.dispatch.requests import ActiveRequest, Attempt
from query_broker.dispatch.validation import ParsedRequest
from query_broker.endpoints import connection_choice
from query_broker.endpoints import connection_pool as pools
from query_broker.protocols import client_frames as frames
from query_broker.protocols import resp
from query_broker.timer_wheel import Clock

from ..support.sockets import (
    MS,
    STATEMENT,
    TRACE,
    Engine,
    free_port,
    make_config,
    on_uvloop,
    platform_settings,
    running,
    target_entry,
    topology_event,
    until,
)

pytestmark = pytest.mark.real_time


def closed_port() -> int:
    """A port that refuses: bound, never listened on."""
    holder = socket.socket()
    holder.bind(("127.0.0.1", 0))
    HELD.append(holder)
    return int(holder.getsockname()[1])


HELD: list[socket.socket] = []


def always(word: bytes, body: bytes = b"") -> Engine:
    def script(engine: Engine, parts: list[bytes], writer: asyncio.StreamWriter) -> None:
        if parts[0] == b"do":
            writer.write(resp.encode(parts[1], word, b"-", body))

    return Engine(script)


def rude(data: bytes) -> Engine:
    """Answers every request with these bytes and closes."""

    def script(engine: Engine, parts: list[bytes], writer: asyncio.StreamWriter) -> None:
        writer.write(data)
        writer.close()

    return Engine(script)


@on_uvloop
async def test_a_refused_connect_never_ran_so_even_a_load_is_refused() -> None:
    async with running(make_config(target_entry("s-1", closed_port()))) as rig:
        client = await rig.client()
        client.ask(route="stock-add", patience="20000")
        assert (await client.answer())[1] == frames.REFUSED


@on_uvloop
async def test_a_refused_connect_goes_on_to_another_engine() -> None:
    good = Engine()
    config = make_config(
        target_entry("s-1", await good.start()), target_entry("s-2", closed_port())
    )
    async with running(config) as rig:
        client = await rig.client()
        for stream in range(1, 9):
            client.ask(stream=stream, route="stock-add", patience="20000", trace=f"{stream:016x}")
            assert (await client.answer())[:2] == (stream, frames.SERVED)


@on_uvloop
async def test_overload_and_nobody_never_ran() -> None:
    for word in (b"overload", b"nobody"):
        engine = always(word)
        async with running(make_config(target_entry("s-1", await engine.start()))) as rig:
            client = await rig.client()
            client.ask(route="stock-add", patience="20000")
            assert (await client.answer())[1] == frames.REFUSED, word


@on_uvloop
async def test_what_may_have_run_is_a_failed_load_and_never_sent_twice() -> None:
    cases = [
        always(b"crashed"),
        rude(b""),
        rude(b"-ERR\r\n"),
        always(b"what"),
        rude(resp.encode(TRACE.encode(), b"served", b"chunks=x", b"")),
        rude(resp.encode(TRACE.encode(), b"served", b"chunks=1", b"1\ta\tb\n" * 8_001)),
        rude(b"*4\r\n$3000000000\r\n"),
        rude(resp.encode(TRACE.encode(), b"rows", b"at=1", b"1\ta\tb\n")),
        *(
            rude(resp.encode(TRACE.encode(), b"served", b"chunks=1", page))
            for page in (
                b"1\ta\n",
                b"1\ta\tb",
                b"1\ta\tb\tc\n",
                b"\xff\ta\tb\n",
                b"1\ta\tb\n\n",
                b"noise",
            )
        ),
    ]
    for engine in cases:
        other = Engine()
        async with running(make_config(target_entry("s-1", await engine.start()))) as rig:
            client = await rig.client()
            client.ask(route="stock-add", patience="20000")
            assert (await client.answer())[1] == frames.FAILED
            assert len(engine.commands_named(b"do")) == 1
            assert not other.commands


@on_uvloop
async def test_a_lookup_that_met_a_reset_is_served_by_another_engine() -> None:
    bad, good = rude(b""), Engine()
    config = make_config(
        target_entry("s-1", await bad.start()), target_entry("s-2", await good.start())
    )
    async with running(config) as rig:
        client = await rig.client()
        for stream in range(1, 9):
            client.ask(stream=stream, trace=f"{stream:016x}")
            assert (await client.answer())[:2] == (stream, frames.SERVED)


ROW = b"1\ta\tb\n"
GOOD = resp.encode(TRACE.encode(), b"served", b"chunks=1", ROW)


@pytest.mark.parametrize(
    "data",
    [
        GOOD * 2,
        resp.encode(b"f" * 16, b"served", b"chunks=9", ROW) + GOOD,
        resp.encode(b"f" * 16, b"rows", b"at=x", ROW) + GOOD,
        resp.encode(b"f" * 16, b"crashed", b"-", b"") + GOOD,
        resp.encode(b"probe-1", b"green", b"-", b"") * 2 + GOOD,
    ],
    ids=["a second copy", "an unknown id", "an unknown page", "an unknown end", "probes twice"],
)
@on_uvloop
async def test_what_belongs_to_nothing_open_is_dropped_and_the_connection_lives_on(
    data: bytes,
) -> None:
    def script(engine: Engine, parts: list[bytes], writer: asyncio.StreamWriter) -> None:
        if parts[0] == b"do":
            writer.write(data.replace(TRACE.encode(), parts[1]))

    engine = Engine(script)
    async with running(make_config(target_entry("s-1", await engine.start()))) as rig:
        client = await rig.client()
        for stream in (1, 2):
            client.ask(stream=stream, trace=f"{stream:016x}")
            assert (await client.answer())[1:] == (frames.SERVED, {}, ROW)
        assert len(engine.writers) == 1


@on_uvloop
async def test_no_second_attempt_goes_where_a_second_answer_of_the_first_may_still_come() -> None:
    engine = Engine()
    async with running(make_config(target_entry("s-1", await engine.start()))) as rig:
        client, broker = await rig.client(), rig.node.dispatcher
        client.ask()
        await client.answer()
        pool = next(iter(broker.pools.by_number.values()))
        [first] = pool.connections
        for trace, same in ((b"9" * 16, True), (TRACE.encode(), False)):
            end = broker.now() + 9_000 * MS
            request = ActiveRequest("9", trace, b"glance", STATEMENT, Waiter(), 1, end)
            attempt = Attempt(
                request, 1, pool.number, broker.now(), request.deadline_ns, request.deadline_ns
            )
            pool.send(attempt, broker.now())
            await until(lambda: attempt.reported)  # noqa: B023
            assert (attempt.connection is first) == same


@pytest.mark.parametrize(
    "data",
    [
        b"*4\r\n$16\r\n" + TRACE.encode() + b"\r\n$6\r\nserved\r\n$8\r\nchunks=1\r\n$40\r\n1\ta",
        b"*4\r\n$16\r\n",
        b"*",
    ],
    ids=["in the body", "after the id", "after a byte"],
)
@on_uvloop
async def test_an_answer_that_stops_short_ends_its_connection_alone_and_soon(data: bytes) -> None:
    asked: list[bytes] = []

    def script(engine: Engine, parts: list[bytes], writer: asyncio.StreamWriter) -> None:
        asked.append(parts[1])
        if len(asked) == 2:
            writer.write(data)
        elif len(asked) > 2:
            engine.answer_served(parts, writer)

    engines = [Engine(script), Engine(script)]
    # The first attempt is silent all the while: with a shorter aim that by itself makes its engine
    # suspect.
    slow = [{**c, "aim": 5_000 * MS} for c in platform_settings()["classes"]]
    config = make_config(
        *[target_entry(f"s-{n}", await engine.start()) for n, engine in enumerate(engines)],
        classes=slow,
    )
    async with running(config) as rig:
        client = await rig.client()
        client.ask(stream=1, route="stock-add", patience="20000", trace="1" * 16, weight="1.0")
        await until(lambda: len(asked) == 1)
        client.ask(stream=2, patience="4000")
        # tried again, well before its time is up
        assert (await client.answer())[:2] == (2, frames.SERVED)
        assert asked == [b"1" * 16, TRACE.encode(), TRACE.encode()]
        known = rig.node.dispatcher.facade.controller.endpoints.values()
        assert not any(
            e.ejected or e.failure_rate for e in known
        )  # a spoilt answer is no dead process
        first = next(
            e
            for e in engines
            if e.commands_named(b"do") and e.commands_named(b"do")[0][1] == asked[0]
        )
        first.answer_served(
            first.commands_named(b"do")[0], first.writer_of(first.commands_named(b"do")[0])
        )
        assert (await client.answer())[:2] == (1, frames.SERVED)  # it had a connection of its own


@pytest.mark.parametrize(("charges", "connections"), [({}, 3), ({"handshake": 0.08}, 1)])
@on_uvloop
async def test_attempts_share_a_connection_where_handshakes_have_a_price(
    charges: dict[str, float], connections: int
) -> None:
    """Danger: 40 brokers with one for each attempt fill the engines' tables, and each handshake is
    paid.
    """
    engine = Engine(lambda *_: None)
    async with running(
        make_config(target_entry("s-1", await engine.start()), charges=charges)
    ) as rig:
        client = await rig.client()
        for stream in (1, 2, 3):
            client.ask(
                stream, route="stock-add", trace=f"{stream}" * 16, patience="20000", weight="1.0"
            )
            await until(lambda: len(engine.commands_named(b"do")) == stream)  # noqa: B023
        pool = next(iter(rig.node.dispatcher.pools.by_number.values()))
        assert len(pool.connections) == connections


@on_uvloop
async def test_a_connection_takes_no_more_streams_than_the_settings_allow() -> None:
    engine = Engine(lambda *_: None)
    async with running(make_config(target_entry("s-1", await engine.start()))) as rig:
        clients = [await rig.client(), await rig.client()]
        for number in range(60):
            clients[number % 2].ask(stream=number // 2 + 1, trace=f"{number:016x}", weight="1.0")
        await until(lambda: len(engine.commands_named(b"do")) == 60)
        open_ = [
            len(c.in_flight)
            for p in rig.node.dispatcher.pools.by_number.values()
            for c in p.connections
        ]
        assert max(open_) <= 32
        assert sum(open_) == 60


@on_uvloop
async def test_one_id_is_never_open_twice_on_a_connection() -> None:
    engine = Engine(lambda *_: None)
    async with running(make_config(target_entry("s-1", await engine.start()))) as rig:
        client, again = await rig.client(), await rig.client()
        client.ask(stream=1)
        await until(lambda: len(engine.commands_named(b"do")) == 1)
        # the same request, as it comes again when its connection crossed a close
        again.ask(stream=2)
        await until(lambda: len(engine.commands_named(b"do")) == 2)
        assert len(engine.writers) == 2
        engine.writer_of(engine.commands_named(b"do")[1]).write(
            resp.encode(TRACE.encode(), b"served", b"chunks=1", b"2\ta\tb\n")
        )
        assert await again.answer() == (2, frames.SERVED, {}, b"2\ta\tb\n")


@on_uvloop
async def test_a_silent_engine_gets_nothing_more_until_a_new_connection_has_come_up() -> None:
    engine = Engine(lambda *_: None)
    async with running(make_config(target_entry("s-1", await engine.start()))) as rig:
        client = await rig.client()
        client.ask(stream=1)
        await until(lambda: engine.commands_named(b"do"))
        pool = next(iter(rig.node.dispatcher.pools.by_number.values()))
        now = rig.node.clock.now()
        assert pool._usable(now) == pool.connections
        assert pool._usable(now + 2 * connection_choice.SILENCE_LIMIT_NS) == []


@on_uvloop
async def test_idle_connections_are_closed_well_before_the_engine_would() -> None:
    engine = Engine()
    async with running(make_config(target_entry("s-1", await engine.start()))) as rig:
        client = await rig.client()
        client.ask()
        await client.answer()
        node = rig.node
        pool = next(iter(node.dispatcher.pools.by_number.values()))
        pool.sweep(node.clock.now())
        assert [c.closed for c in pool.connections] == [False]
        pool.sweep(node.clock.now() + node.config.connection_idle_ns * 6 // 10)
        await until(lambda: not pool.connections)


@on_uvloop
async def test_an_engine_at_the_address_of_another_is_known_by_its_uid() -> None:
    engine = Engine()
    port = await engine.start()
    async with running(make_config(target_entry("s-1", port))) as rig:
        broker = rig.node.dispatcher
        first = broker.endpoint_table.number("s-1")
        broker.endpoint_list_changed(
            parse_event(topology_event(2, target_entry("s-2", port, boot_ms=1)))
        )
        assert broker.endpoint_table.number("s-2") != first == broker.endpoint_table.number("s-1")
        client = await rig.client()
        client.ask(weight="1.0")
        assert (await client.answer())[1] == frames.SERVED
        assert list(broker.facade.controller.endpoints) == [broker.endpoint_table.number("s-2")]


@on_uvloop
async def test_draining_engines_get_nothing_new() -> None:
    engine = Engine()
    async with running(
        make_config(target_entry("s-1", await engine.start(), "terminating"))
    ) as rig:
        client = await rig.client()
        client.ask()
        assert (await client.answer())[1] == frames.REFUSED
        assert not engine.commands


@on_uvloop
async def test_with_no_descriptor_left_a_send_counts_as_never_run() -> None:
    engine = Engine()
    async with running(make_config(target_entry("s-1", await engine.start()))) as rig:
        rig.node.dispatcher.pools.max_connections = -1
        client = await rig.client()
        client.ask(route="stock-add", patience="20000")
        assert (await client.answer())[1] == frames.REFUSED
        assert not engine.commands
        assert not any(e.ejected for e in rig.node.dispatcher.facade.controller.endpoints.values())


@on_uvloop
async def test_attempts_share_connections_once_their_part_is_taken_and_leave_some_in_hand() -> None:
    engine = Engine(lambda *_: None)
    async with running(make_config(target_entry("s-1", await engine.start()))) as rig:
        client, pools_ = await rig.client(), rig.node.dispatcher.pools
        pools_.max_connections = 8
        for stream in range(1, 21):
            client.ask(stream=stream, trace=f"{stream:016x}", weight="1.0")
        await until(lambda: len(engine.commands_named(b"do")) == 20)
        (pool,) = pools_.by_number.values()
        assert len(engine.writers) == 6
        assert pools_.reserve_descriptor(pool)


@on_uvloop
async def test_a_probe_and_even_a_late_answer_teach_the_load() -> None:
    def script(engine: Engine, parts: list[bytes], writer: asyncio.StreamWriter) -> None:
        if parts[0] == b"top":
            writer.write(resp.encode(parts[1], b"green", b"meter=q:2;rif:7;x1:0.5;x0:0.25", b""))

    engine = Engine(script)
    async with running(make_config(target_entry("s-1", await engine.start()))) as rig:
        broker = rig.node.dispatcher
        known = broker.facade.controller.endpoints[broker.endpoint_table.number("s-1")]
        broker.health_checks.start(broker.now(), broker.endpoint_table.number("s-1"))
        await until(lambda: known.load_report)
        assert known.load_report is not None
        assert (known.load_report.queue, known.load_report.memory, known.load_report.disk) == (
            2.0,
            0.25,
            0.5,
        )
        assert not broker.health_checks.pending
        client = await rig.client()
        client.ask(patience="150", weight="100.0")
        assert (await client.answer())[1] == frames.REFUSED
        await until(lambda: not broker.requests)
        engine.writer_of(engine.commands_named(b"do")[0]).write(
            resp.encode(TRACE.encode(), b"served", b"chunks=1,meter=q:0;x0:0.75", b"1\ta\tb\n")
        )
        await until(lambda: known.load_report and known.load_report.memory == 0.75)


@on_uvloop
async def test_what_a_vanished_engine_holds_is_over_once_the_list_says_that_it_has_ended() -> None:
    engine = Engine(lambda *_: None)
    port = await engine.start()
    async with running(make_config(target_entry("s-1", port))) as rig:
        client, broker = await rig.client(), rig.node.dispatcher
        client.ask(route="stock-add", patience="20000")
        await until(lambda: engine.commands_named(b"do"))
        pool = next(iter(broker.pools.by_number.values()))
        pool.sweep(broker.now() + 2 * pools.REMOVED_SILENCE_LIMIT_NS)
        assert not pool.connections[0].closed  # silent, but nobody says that it has ended
        broker.endpoint_list_changed(
            parse_event(topology_event(2, target_entry("s-1", port, "terminated")))
        )
        pool.sweep(broker.now())
        assert not pool.connections[0].closed
        pool.sweep(broker.now() + 2 * pools.REMOVED_SILENCE_LIMIT_NS)
        assert (await client.answer())[1] == frames.FAILED


@pytest.mark.parametrize(("sockets", "most"), [(64, 19), (128, 48), (256, 96), (1024, 384)])
def test_descriptors_are_kept_for_clients_and_a_reserve(sockets: int, most: int) -> None:
    config = replace(make_config(), sockets=sockets)
    broker = Dispatcher(config, Clock(), lambda kind, text: None)
    assert broker.pools.max_connections == most
    assert most + sockets // 3 + 24 <= sockets


@on_uvloop
async def test_whole_answers_before_a_malformed_one_count() -> None:
    def script(engine: Engine, parts: list[bytes], writer: asyncio.StreamWriter) -> None:
        writer.write(resp.encode(parts[1], b"served", b"chunks=1", b"1\ta\tb\n") + b"-ERR\r\n")

    engine = Engine(script)
    async with running(make_config(target_entry("s-1", await engine.start()))) as rig:
        client = await rig.client()
        client.ask(route="stock-add", patience="20000")
        assert await client.answer() == (1, frames.SERVED, {}, b"1\ta\tb\n")
        await until(
            lambda: not any(p.connections for p in rig.node.dispatcher.pools.by_number.values())
        )


@on_uvloop
async def test_a_fault_in_one_timer_costs_no_other_its_answer() -> None:
    engine = Engine(lambda *_: None)
    async with running(make_config(target_entry("s-1", await engine.start()))) as rig:
        client, facade = await rig.client(), rig.node.dispatcher.facade

        def fault(now: int) -> None:
            raise ZeroDivisionError

        facade.controller.orders.timers[-1] = (fault, ())
        client.ask(patience="300")
        await until(lambda: engine.commands_named(b"do"))
        facade.due.append(-1)
        assert (await client.answer())[1] == frames.REFUSED
        assert any("ZeroDivisionError" in line for line in rig.logged)


class Waiter:
    """A client of no protocol."""

    def __init__(self) -> None:
        self.answers: list[str] = []

    def served(self, stream: int, body: bytes) -> None:
        self.answers.append("served")

    def rejected(self, stream: int, pause_ms: int) -> None:
        self.answers.append("refused")

    def failed(self, stream: int, reason: str) -> None:
        self.answers.append("failed")

    def unread_bytes(self) -> int:
        return 0


@on_uvloop
async def test_a_connect_that_news_overtook_takes_nothing_to_whoever_listens_there_now() -> None:
    engine = Engine()
    port = await engine.start()
    async with running(make_config(target_entry("s-1", port))) as rig:
        client = Waiter()
        rig.node.dispatcher.submit(
            client, 1, ParsedRequest("stock-add", TRACE, "acme", 20_000, 10, 16, False, 17, b"x")
        )
        # In the same turn of the loop, so that its connect is under way.
        rig.node.dispatcher.endpoint_list_changed(
            parse_event(topology_event(2, target_entry("s-2", port, "terminating")))
        )
        await until(lambda: client.answers)
        assert client.answers == ["refused"]
        assert not engine.commands


@on_uvloop
async def test_an_answer_that_never_comes_does_not_hold_its_stream_for_good() -> None:
    engine = Engine(lambda *_: None)
    async with running(make_config(target_entry("s-1", await engine.start()))) as rig:
        client, broker = await rig.client(), rig.node.dispatcher
        broker.pools.max_connections = 1  # so that both share a connection
        client.ask(stream=1, patience="200", weight="100.0")
        assert (await client.answer())[1] == frames.REFUSED
        client.ask(stream=2, patience="20000", route="stock-add", trace="2" * 16)
        await until(lambda: len(engine.commands_named(b"do")) == 2)
        pool = next(iter(broker.pools.by_number.values()))
        old = pool.connections[0]
        pool.sweep(broker.now() + pools.LATE_ANSWER_NS + 1_000 * MS)
        assert old.retired
        assert not old.closed
        engine.answer_served(
            engine.commands_named(b"do")[1], engine.writer_of(engine.commands_named(b"do")[1])
        )
        assert (await client.answer())[:2] == (2, frames.SERVED)
        pool.sweep(broker.now() + pools.LATE_ANSWER_NS + 1_000 * MS)
        await until(lambda: old.closed)


@on_uvloop
async def test_a_second_copy_answers_and_the_late_first_answer_is_dropped() -> None:
    asked: list[tuple[bytes, asyncio.StreamWriter]] = []

    def script(engine: Engine, parts: list[bytes], writer: asyncio.StreamWriter) -> None:
        asked.append((parts[1], writer))
        if len(asked) > 1:  # whichever engine is asked first stays silent
            engine.answer_served(parts, writer)

    one, two = Engine(script), Engine(script)
    limits = {
        "cancel": False,
        "second_copies": True,
        "send_cap": 5,
        "retry_after": True,
        "max_retry_after": 2_000 * MS,
    }
    config = make_config(
        target_entry("s-1", await one.start()),
        target_entry("s-2", await two.start()),
        policy_limits=limits,
    )
    async with running(config) as rig:
        client = await rig.client()
        client.ask(stream=1, weight="1.0")
        assert (await client.answer())[:2] == (1, frames.SERVED)
        asked[0][1].write(resp.encode(asked[0][0], b"served", b"chunks=2", b"late\ta\tb\n"))
        silent = one if one.writers and one.writers[0] is asked[0][1] else two
        await until(lambda: silent.commands_named(b"forget"))
        client.send(frames.ASK_READY, 0, b"\0")
        assert (await client.frame())[0] == frames.READY  # no second answer went before it
        assert len(asked) == 3
        assert not rig.node.dispatcher.requests


@on_uvloop
async def test_what_no_engine_has_a_place_for_is_refused_at_once_with_a_pause() -> None:
    config = make_config(
        *[target_entry(f"s-{n}", closed_port()) for n in range(30)],
        fleet_size=40,
        charges={"handshake": 0.08},
    )
    async with running(config) as rig:
        client = await rig.client()
        for stream in range(1, 11):
            client.ask(
                stream, trace=f"{stream:016x}", route="stock-add" if stream % 2 else "glance"
            )
            code, fields = (await client.answer())[1:3]
            assert code == frames.REFUSED
            assert int(fields["pause"]) > 0


@on_uvloop
async def test_an_engine_whose_table_was_full_comes_back_by_a_probe() -> None:
    def script(engine: Engine, parts: list[bytes], writer: asyncio.StreamWriter) -> None:
        if parts[0] == b"top":
            writer.write(resp.encode(parts[1], b"green", b"meter=x0:0.2", b""))

    engine = Engine(script)
    port = await engine.start()
    config = make_config(
        target_entry("s-1", port),
        *[target_entry(f"s-{n}", closed_port()) for n in range(2, 5)],
        fleet_size=40,
    )
    async with running(config) as rig:
        broker = rig.node.dispatcher
        known = broker.facade.controller.endpoints[broker.endpoint_table.number("s-1")]
        broker.facade.controller.outliers.set_ejected(broker.now(), known, True)
        await until(lambda: engine.commands_named(b"top") and not known.ejected)


@on_uvloop
async def test_brokers_that_lose_the_bus_together_do_not_come_back_together() -> None:
    waits: list[float] = []
    for seed in range(6):
        async with running(replace(make_config(bus=free_port()), seed=seed)) as rig:
            assert rig.node.watch_client is not None
            rig.node.watch_client._connect_after = waits.append  # type: ignore[method-assign, assignment]
            rig.node.watch_client.backoff_s = 0.4
            rig.node.watch_client._reconnect()
    assert len(set(waits[-6:])) > 3
    assert all(0.2 <= wait <= 0.4 for wait in waits)


@on_uvloop
async def test_a_late_page_of_an_earlier_request_is_no_part_of_the_next_under_its_id() -> None:
    """Danger: a client asks again at once under its id, when its time is up; the first one's page
    is still on its way, and would be put behind the second one's first page: a result that no
    engine made.
    """

    def script(engine: Engine, parts: list[bytes], writer: asyncio.StreamWriter) -> None:
        runs = engine.commands_named(b"do")
        if parts[0] == b"do":
            writer.write(
                resp.encode(parts[1], b"served", b"chunks=2", b"%d\trun\tpage 0\n" % len(runs))
            )
        elif parts[0] == b"page" and len(runs) == 2:
            late = engine.writer_of(runs[0])
            late.write(resp.encode(parts[1], b"rows", b"at=1", b"1\trun\tpage 1\n"))
            writer.write(resp.encode(parts[1], b"rows", b"at=1", b"2\trun\tpage 1\n"))

    engine = Engine(script)
    async with running(make_config(target_entry("s-1", await engine.start()))) as rig:
        client, again = await rig.client(), await rig.client()
        client.ask(1, patience="300")
        assert (await client.answer())[1] != frames.SERVED
        again.ask(2)
        _, code, _, body = await again.answer()
        assert code != frames.SERVED or body == b"2\trun\tpage 0\n2\trun\tpage 1\n"


@on_uvloop
async def test_pages_of_two_runs_under_one_id_at_one_engine_are_never_one_answer() -> None:
    """The engine knows pages by id alone: the run that ends later puts its own in their place."""

    def script(engine: Engine, parts: list[bytes], writer: asyncio.StreamWriter) -> None:
        runs = engine.commands_named(b"do")
        if parts[0] == b"do" and len(runs) >= 2:
            writer.write(
                resp.encode(parts[1], b"served", b"chunks=2", b"%d\trun\tpage 0\n" % len(runs))
            )
        elif parts[0] == b"page":
            writer.write(resp.encode(parts[1], b"rows", b"at=1", b"1\trun\tpage 1\n"))

    engine = Engine(script)
    async with running(make_config(target_entry("s-1", await engine.start()))) as rig:
        client, again = await rig.client(), await rig.client()
        client.ask(1, patience="1500")
        await until(lambda: engine.commands_named(b"do"))
        again.ask(2, patience="1000")
        _, code, _, body = await again.answer()
        assert code != frames.SERVED or len(set(body.split(b"\n"))) == 1


@on_uvloop
async def test_of_two_copies_at_one_engine_neither_takes_the_other_s_pages() -> None:
    """As seen: both are answered within a millisecond, with results of different lengths."""

    def script(engine: Engine, parts: list[bytes], writer: asyncio.StreamWriter) -> None:
        runs = engine.commands_named(b"do")
        if parts[0] == b"do" and len(runs) == 2:
            for run, chunks in ((2, 3), (1, 2)):
                engine.writer_of(runs[run - 1]).write(
                    resp.encode(
                        parts[1], b"served", b"chunks=%d" % chunks, b"%d\trun\tpage\n" % run
                    )
                )
        elif parts[0] == b"page":  # by the id alone: always the second's
            writer.write(resp.encode(parts[1], b"rows", b"at=" + parts[2], b"2\trun\tpage\n"))

    engine = Engine(script)
    async with running(make_config(target_entry("s-1", await engine.start()))) as rig:
        client, again = await rig.client(), await rig.client()
        client.ask(1, patience="1500")
        await until(lambda: engine.commands_named(b"do"))
        again.ask(2, patience="1500")
        for asker in (client, again):
            _, code, _, body = await asker.answer()
            assert code != frames.SERVED or len({row[:1] for row in body.splitlines()}) == 1
