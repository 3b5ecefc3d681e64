"""Two events that cross, forced by a held socket or a seam; `docs/design/rare-moments.md` has the
table.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from query_broker import decisions as api
from query_broker.decisions.facade import CancelAttempt
from query_broker.discovery.event_codec import parse_event
from query_broker.dispatch.attempt_outcomes import CANCEL_TRANSIT_NS
from query_broker.dispatch.validation import ParsedRequest
from query_broker.protocols import client_frames as frames
from query_broker.protocols import resp
from query_broker.protocols.client_connection import ClientConnection
from query_broker.protocols.client_reader import FRAMES_PER_TURN
from query_broker.protocols.client_timeouts import IDLE_TIMEOUT_NS
from query_broker.protocols.engine_connection import ANSWER_TIMEOUT_NS
from query_broker.server.graceful_shutdown import GracefulShutdown

from ..support.helpers import MS, Harness, S, entry, make_settings, query_class
from ..support.sockets import (
    ROOT,
    STATEMENT,
    TRACE,
    Bus,
    Client,
    Engine,
    Rig,
    connect,
    free_port,
    gated,
    make_config,
    make_known,
    on_uvloop,
    platform_settings,
    process,
    running,
    target_entry,
    topology_event,
    until,
    within,
    write_config,
)

pytestmark = pytest.mark.real_time


def asked(stream: int = 1, **fields: str) -> bytes:
    """A request's frame."""
    return frames.frame(
        frames.REQUEST,
        stream,
        frames.write_fields(
            {
                "route": "glance",
                "trace": f"{stream:016x}",
                "patience": "4000",
                "customer": "acme",
                "weight": "10.0",
                **fields,
            }
        )
        + STATEMENT,
    )


# --- shutdown ---


@on_uvloop
async def test_what_comes_after_the_shutdown_is_not_sent_on_and_resets_nothing() -> None:
    """Danger: its request would be lost with the process; unread, it would take the last answer
    with it.
    """
    engine = Engine()
    async with running(make_config(target_entry("s-1", await engine.start()))) as rig:
        loop = asyncio.get_running_loop()
        with socket.create_connection(("127.0.0.1", rig.port)) as raw:
            raw.sendall(asked(1))
            await until(lambda: engine.commands_named(b"do"))
            drain = GracefulShutdown(rig.node)
            drain.begun_at_ns = rig.node.clock.now()
            # in the system's buffer between the last look and the end
            raw.sendall(asked(2) + asked(3)[:20])
            drain._end_connections()
            raw.setblocking(False)
            read = b""
            while part := await within(loop.sock_recv(raw, 65_536)):  # raises where it is reset
                read += part
        await within(rig.node.stopped.wait())
        assert len(engine.commands_named(b"do")) == 1
        assert read == frames.answer(1, frames.SERVED, {}, b"a\tb\tc\n")


@on_uvloop
async def test_a_client_that_rests_to_the_end_and_second_signals_change_nothing(
    tmp_path: Path,
) -> None:
    engine = Engine(lambda *_: None)
    known = make_known(target_entry("s-1", await engine.start()))
    async with process(tmp_path, known=known) as (broker, port):
        client, resting = await within(connect(port)), await within(connect(port))
        client.ask()
        resting.send(frames.ASK_READY, 0, b"\0")
        assert (await resting.frame())[0] == frames.READY
        await until(lambda: engine.commands_named(b"do"))
        broker.send_signal(signal.SIGTERM)
        assert await resting.frame() == (frames.NO_MORE, 0, b"")
        assert await client.frame() == (frames.NO_MORE, 0, b"")
        for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
            broker.send_signal(number)
        engine.answer_served(engine.commands_named(b"do")[0], engine.writers[0])
        assert (await client.answer())[1] == frames.SERVED
        assert await within(resting.reader.read()) == b""
        assert await within(client.reader.read()) == b""
        assert await within(broker.wait()) == 0


@on_uvloop
async def test_an_engine_that_hangs_at_the_end_costs_its_request_alone_and_in_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The shortest deadline there is still leaves the last answers before the SIGKILL."""
    engine = Engine(lambda *_: None)
    classes = [
        {
            "name": "glance",
            "aim": 300 * MS,
            "deadline": 700 * MS,
            "worth": 1.0,
            "effect": "read_like",
        }
    ]
    async with running(
        make_config(target_entry("s-1", await engine.start()), classes=classes)
    ) as rig:
        client = await rig.client()
        client.ask(patience="700")
        await until(lambda: engine.commands_named(b"do"))
        drain = GracefulShutdown(rig.node)
        drain.begun_at_ns = rig.node.clock.now() - int(drain.close_out_after_s * 1e9)
        assert drain.close_out_after_s < 0.7 + 0.7
        drain._await_requests()
        assert (await client.answer())[:2] == (1, frames.REFUSED)
        assert await within(client.reader.read()) == b""
        client.writer.close()
        await within(rig.node.stopped.wait())


def test_signals_while_the_interpreter_ends_are_nothing() -> None:
    """It gives handlers back to the system before its last objects go; an end by signal is no 0."""
    program = (
        "import os, signal\n"
        "from query_broker.server.node import serve\n"
        "class Short:\n"
        "    async def run(self):\n"
        "        pass\n"
        "class Last:\n"
        "    def __del__(self, kill=os.kill, me=os.getpid()):\n"
        "        kill(me, 15)\n"
        "        kill(me, 1)\n"
        "signal.signal(signal.SIGTERM, print)\n"
        "last = Last()\n"
        "serve(Short)\n"
    )
    done = subprocess.run(
        [sys.executable, "-c", program], cwd=ROOT, capture_output=True, text=True, check=False
    )
    assert done.returncode == 0, done.stderr


@on_uvloop
async def test_what_was_read_before_a_broken_frame_gets_its_answers() -> None:
    engine = Engine(lambda *_: None)
    async with running(make_config(target_entry("s-1", await engine.start()))) as rig:
        client = await rig.client()
        client.ask(1, trace="1" * 16)
        client.ask(2, trace="2" * 16, route="stock-add")
        await until(lambda: len(engine.commands_named(b"do")) == 2)
        client.send(77, 3)
        answers = {(await client.answer())[:2] for _ in range(3)}
        assert answers == {(1, frames.REFUSED), (2, frames.FAILED), (0, frames.FAILED)}
        assert await within(client.reader.read()) == b""
        assert not [r for r in rig.node.dispatcher.requests.values() if r.client is not None]


# --- signals at the start ---


@on_uvloop
async def test_a_sighup_that_comes_while_the_settings_are_read_is_taken_after_the_start(
    tmp_path: Path,
) -> None:
    """Held by the file: it is a pipe, so that the start stands in the middle of reading it."""
    port, path = free_port(), tmp_path / "config.json"
    env = write_config(
        tmp_path, listen=f"127.0.0.1:{port}", known=make_known(target_entry("s-1", 9))
    )
    text = path.read_text()
    path.unlink()
    os.mkfifo(path)
    broker = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "query_broker",
        "serve",
        cwd=ROOT,
        env=env,
        stderr=asyncio.subprocess.DEVNULL,
    )

    def told(text: str) -> None:
        with open(path, "w") as pipe:  # waits until the other side has it open
            pipe.write(text)

    def hung_up() -> None:
        with open(path, "w") as pipe:
            broker.send_signal(signal.SIGHUP)
            pipe.write(text)

    try:
        await within(asyncio.to_thread(hung_up))
        changed = json.loads(text)
        changed["settings"]["classes"][0]["name"] = "peek"
        client = await within(connect(port))  # it listens: the first reading is over
        # it is read again: the signal was kept
        await within(asyncio.to_thread(told, json.dumps(changed)))
        client.ask(route="peek")
        # no engine is there; the class is
        assert (await client.answer())[:2] == (1, frames.REFUSED)
    finally:
        broker.kill()
        await broker.wait()


# --- departures ---


@on_uvloop
async def test_of_a_client_that_sends_much_and_goes_nothing_begins() -> None:
    """Its end lies behind all that it sent, unread, when the first of it is read."""
    engine = Engine()
    async with running(make_config(target_entry("s-1", await engine.start()))) as rig:
        for _ in range(3):
            with socket.create_connection(("127.0.0.1", rig.port)) as raw:
                raw.sendall(b"".join(asked(n) for n in range(1, 100)))
        client = await rig.client()
        client.ask(trace="f" * 16)
        assert (await client.answer())[1] == frames.SERVED
        assert [do[1] for do in engine.commands_named(b"do")] == [b"f" * 16]
        await until(lambda: len(rig.node.clients) == 1)
        assert not rig.node.dispatcher.requests


@on_uvloop
async def test_idle_clients_that_fill_the_descriptors_keep_out_neither_the_list_nor_engines() -> (
    None
):
    engine, bus, port = Engine(), Bus(), free_port()
    spare = await engine.start()
    config = make_config(listed=False, bus=port)
    async with running(config) as rig:
        most = rig.node.admission.max_connections
        idle = [socket.create_connection(("127.0.0.1", rig.port)) for _ in range(most + 20)]
        await until(lambda: len(rig.node.clients) == most)
        assert not rig.node.ready()
        bus.server = await asyncio.start_server(
            bus._serve_client, "127.0.0.1", port
        )  # discovery is back
        await until(lambda: bus.writer)
        bus.publish(topology_event(1, target_entry("s-1", spare), full=True))
        client = await rig.client()
        await until(rig.node.ready)
        client.ask()
        assert (await client.answer())[1] == frames.SERVED
        held = len(rig.node.clients) + rig.node.dispatcher.pools._count_connections()
        assert held < config.sockets
        for raw in idle:
            raw.close()


# --- what a client says behind what waits ---


@asynccontextmanager
async def begun_at_one_of_two() -> AsyncIterator[tuple[Rig, Client, Engine, Engine]]:
    """A request that waits for its answer, and the engine that has it, before the other."""
    engines = [Engine(lambda *_: None), Engine(lambda *_: None)]
    targets = [target_entry(f"s-{n}", await e.start()) for n, e in enumerate(engines)]
    async with running(make_config(*targets)) as rig:
        client = await rig.client()
        client.ask(1, trace="1" * 16)
        await until(lambda: any(e.commands_named(b"do") for e in engines))
        first, other = sorted(engines, key=lambda e: not e.commands_named(b"do"))
        yield rig, client, first, other


async def paused(rig: Rig) -> ClientConnection:
    """The one client reads no answers: its connection is told so, as by the transport."""
    await until(lambda: len(rig.node.clients) == 1)
    connection = next(iter(rig.node.clients))
    connection.pause_writing()
    return connection


@on_uvloop
async def test_a_cancel_behind_answers_that_nobody_reads_is_heard() -> None:
    """Danger: its requests were not read until it read on: a further attempt began for nobody."""
    async with begun_at_one_of_two() as (rig, client, first, other):
        await paused(rig)
        (request,) = rig.node.dispatcher.requests.values()
        client.send(frames.ABANDON, 1)
        await until(lambda: request.client is None)
        assert request.abandoned
        first.writers[0].write(resp.encode(b"1" * 16, b"crashed", b"-", b""))
        await until(lambda: not rig.node.dispatcher.requests)
        assert not other.commands_named(b"do")
        assert len(first.commands_named(b"do")) == 1


@on_uvloop
async def test_nothing_begins_for_a_client_that_reads_nothing_until_it_is_heard() -> None:
    """More than is read on for departures: whether it cancels can't be known."""
    async with begun_at_one_of_two() as (rig, client, first, other):
        connection = await paused(rig)
        for number in range(2, 6):
            client.ask(
                number, trace=f"{number:016x}", body=STATEMENT + b" /* " + b"x" * 20_000 + b" */"
            )
        await until(lambda: connection.reader.unreadable)
        first.writers[0].write(resp.encode(b"1" * 16, b"crashed", b"-", b""))
        assert (await client.answer())[:2] == (1, frames.REFUSED)
        assert not other.commands_named(b"do")
        assert len(first.commands_named(b"do")) == 1
        connection.resume_writing()  # what it had sent is taken now
        await until(lambda: len(first.commands_named(b"do") + other.commands_named(b"do")) == 5)
        assert not connection.reader.unreadable


@on_uvloop
async def test_a_client_that_ends_its_side_behind_unread_answers_has_left() -> None:
    """The loss of its connection is told only once they have been read."""
    engine = Engine(lambda *_: None)
    async with running(make_config(target_entry("s-1", await engine.start()))) as rig:
        client = await rig.client()
        client.ask(1, trace="1" * 16)
        await until(lambda: engine.commands_named(b"do"))
        connection = next(iter(rig.node.clients))
        assert connection.transport is not None
        client.reader._transport.pause_reading()  # type: ignore[attr-defined]
        while connection.unread_bytes() < 1 << 20:  # more than the system takes
            connection.transport.write(b"\0" * (1 << 20))
        (request,) = rig.node.dispatcher.requests.values()
        client.writer.write_eof()
        await until(lambda: request.client is None)
        assert request.abandoned
        assert connection in rig.node.clients
        connection.drop()


@on_uvloop
async def test_a_request_cancelled_while_it_waits_for_its_turn_never_begins() -> None:
    """Both lie in one chunk, behind more frames than are given out in one turn."""
    engine = Engine()
    async with running(make_config(target_entry("s-1", await engine.start()))) as rig:
        client = await rig.client()
        client.ask(1)  # a connection to the engine is up from now on: what begins has left at once
        assert (await client.answer())[:2] == (1, frames.SERVED)
        ready = frames.frame(frames.ASK_READY, 0, b"\0") * (FRAMES_PER_TURN + 1)
        client.writer.write(ready + asked(2) + asked(3) + frames.frame(frames.ABANDON, 2))
        for _ in range(FRAMES_PER_TURN + 1):
            assert (await client.frame())[0] == frames.READY
        assert (await client.answer())[:2] == (3, frames.SERVED)
        assert [do[1] for do in engine.commands_named(b"do")] == [
            TRACE.encode(),
            f"{3:016x}".encode(),
        ]


@on_uvloop
async def test_a_cancel_of_what_has_just_begun_is_heard_before_the_frames_between() -> None:
    """Its request was skimmed while it waited, and has begun since; more frames wait for the next
    turn.
    """
    engine = Engine(lambda *_: None)
    async with running(make_config(target_entry("s-1", await engine.start()))) as rig:
        client = await rig.client()
        await until(lambda: rig.node.clients)
        connection = next(iter(rig.node.clients))
        ready = frames.frame(frames.ASK_READY, 0, b"\0") * FRAMES_PER_TURN
        connection.data_received(ready + asked(1) + ready)
        assert connection.reader.waiting
        assert not connection.open_requests
        connection.reader.read_turn()
        assert connection.reader.waiting
        request = connection.open_requests[1]
        assert request is not None
        connection.data_received(frames.frame(frames.ABANDON, 1))
        assert request.abandoned
        assert not connection.open_requests
        client.writer.close()


@on_uvloop
async def test_an_undo_has_its_way_before_what_follows_it_leaves(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """They go to two engines: nothing orders them, and two attempts would be out at once."""
    engines = [Engine(lambda *_: None), Engine(lambda *_: None)]
    targets = [target_entry(f"s-{n}", await e.start()) for n, e in enumerate(engines)]
    limits = {**platform_settings()["policy_limits"], "cancel": True}
    async with running(make_config(*targets, policy_limits=limits)) as rig:
        broker, clock = rig.node.dispatcher, rig.node.clock
        request = broker.submit(Caller(), 1, ask_of("glance"))
        await until(lambda: any(e.commands_named(b"do") for e in engines))
        still = clock.now()
        monkeypatch.setattr(clock, "now", lambda: still)
        broker.cancellations.cancel_attempt(CancelAttempt(request.id, 0))
        await until(lambda: any(e.commands_named(b"undo") for e in engines))
        broker.outcomes.report_deferred()
        assert list(request.attempts) == [0]
        assert request.attempts[0].concluded
        still += CANCEL_TRANSIT_NS
        broker.outcomes.report_deferred()
        assert list(request.attempts) == [1]
        await until(lambda: all(e.commands_named(b"do") for e in engines))


@on_uvloop
async def test_connections_that_wait_in_the_queue_at_the_word_to_leave_are_served() -> None:
    """The system has accepted them, and with the listener they would be reset."""
    engine = Engine()
    async with running(make_config(target_entry("s-1", await engine.start()))) as rig:
        drain = GracefulShutdown(rig.node)
        drain.begun_at_ns = rig.node.clock.now()
        waiting = [socket.create_connection(("127.0.0.1", rig.port)) for _ in range(20)]
        for number, raw in enumerate(waiting):
            raw.sendall(asked(1, trace=f"{number:016x}"))
        drain._announce_leaving()  # the loop has had no turn since
        for raw in waiting:
            raw.setblocking(False)
            read = b""
            while part := await within(asyncio.get_running_loop().sock_recv(raw, 65_536)):
                read += part
            assert frames.answer(1, frames.SERVED, {}, b"a\tb\tc\n") in read
            raw.close()


# --- closes ---


@on_uvloop
async def test_a_broker_that_stood_still_reads_what_came_before_it_takes_a_client_for_idle() -> (
    None
):
    """Its timers are due before the loop comes to the sockets: the request lies unread for long by
    then.
    """
    engine = Engine()
    async with running(make_config(target_entry("s-1", await engine.start()))) as rig:
        with socket.create_connection(("127.0.0.1", rig.port)) as raw:
            raw.sendall(frames.frame(frames.ASK_READY, 0, b"\0"))
            await until(lambda: any(c.has_sent_frame for c in rig.node.clients))
            connection = next(iter(rig.node.clients))
            raw.sendall(asked(1))
            rig.node.clock.anchor += 2 * IDLE_TIMEOUT_NS
            connection.timeouts.check()  # the loop has had no turn since
            raw.setblocking(False)
            read = b""
            while not read.endswith(b"a\tb\tc\n"):
                part = await within(asyncio.get_running_loop().sock_recv(raw, 65_536))
                assert part, "closed over the request"
                read += part


@on_uvloop
async def test_a_broker_that_stood_still_reads_the_rest_of_an_answer_before_calling_it_cut() -> (
    None
):
    engine = Engine(lambda *_: None)
    async with running(make_config(target_entry("s-1", await engine.start()))) as rig:
        client = await rig.client()
        client.ask(route="stock-add", patience="20000")
        await until(lambda: engine.commands_named(b"do"))
        answer = resp.encode(TRACE.encode(), b"served", b"chunks=1", b"a\tb\tc\n")
        engine.writers[0].write(answer[:20])
        (connection,) = next(iter(rig.node.dispatcher.pools.by_number.values())).connections
        await until(lambda: connection.parser.buffer)
        number = engine.writers[0].transport.get_extra_info("socket").fileno()
        os.write(number, answer[20:])
        rig.node.clock.anchor += 2 * ANSWER_TIMEOUT_NS
        connection.check(rig.node.clock.now())  # the loop has had no turn since
        assert (await client.answer())[:2] == (1, frames.SERVED)


# --- closes by engines ---


class Caller:
    """A client's side without a socket, so that a request is taken in a stated moment."""

    def __init__(self) -> None:
        self.told: asyncio.Queue[str] = asyncio.Queue()

    def served(self, stream: int, body: bytes) -> None:
        self.told.put_nowait("served")

    def rejected(self, stream: int, pause_ms: int) -> None:
        self.told.put_nowait("refused")

    def failed(self, stream: int, reason: str) -> None:
        self.told.put_nowait("failed")

    def unread_bytes(self) -> int:
        return 0


def ask_of(
    route: str = "stock-add", trace: str = "a" * 16, nonce: str | None = None
) -> ParsedRequest:
    return ParsedRequest(route, trace, "acme", 4_000.0, 10.0, 1.0, False, 3, STATEMENT, nonce)


@pytest.mark.parametrize("reset", [False, True])
@pytest.mark.parametrize("busy", [False, True])
@on_uvloop
async def test_a_send_that_meets_an_engine_s_close_never_ran(reset: bool, busy: bool) -> None:
    """The close is here, unread, as the request is decided on: what proves that nothing ran is its
    order. ``busy``: another attempt is out on the connection.
    """
    engine = Engine()
    async with running(make_config(target_entry("s-1", await engine.start()))) as rig:
        rig.node.dispatcher.pools.dedicated_connections = not busy
        client = await rig.client()
        client.ask()
        assert (await client.answer())[1] == frames.SERVED
        if busy:
            engine.script = lambda *_: None
            client.ask(2, trace="2" * 16)
            await until(lambda: len(engine.commands_named(b"do")) == 2)
            engine.script = lambda e, parts, w: e.answer_served(parts, w)
        number = engine.writers[0].transport.get_extra_info("socket").fileno()
        with socket.socket(fileno=os.dup(number)) as its:
            if reset:
                its.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                engine.writers[0].transport.abort()
                await until(lambda: engine.writers[0].transport.is_closing())
            its.shutdown(socket.SHUT_RDWR)
        caller = Caller()
        rig.node.dispatcher.submit(caller, 1, ask_of())
        assert await within(caller.told.get()) == "served"
        assert [do[1] for do in engine.commands_named(b"do")].count(b"a" * 16) == 1
        assert len(engine.writers) == 2
        assert (
            engine.command_writers[
                engine.commands.index(next(p for p in engine.commands if p[1] == b"a" * 16))
            ]
            is engine.writers[1]
        )


# a busy machine is no late connect
PATIENT = {**platform_settings()["policy_limits"], "connect_timeout": 800 * MS}


class Held:
    """An engine that takes connections one at a time: the next one that is dialled does not come
    up.
    """

    def __init__(self) -> None:
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(0)
        self.listener.setblocking(False)
        self.port = int(self.listener.getsockname()[1])

    async def take(self) -> Client:
        made, _ = await asyncio.get_running_loop().sock_accept(self.listener)
        return Client(*await asyncio.open_connection(sock=made))

    def fill(self) -> socket.socket:
        """Its queue is full from now on."""
        return socket.create_connection(("127.0.0.1", self.port))


@on_uvloop
async def test_a_connect_that_comes_up_late_is_no_engine_that_is_out() -> None:
    """It has spoken meanwhile on the connection that it has: what waited goes there."""
    held = Held()
    async with running(make_config(target_entry("s-1", held.port), policy_limits=PATIENT)) as rig:
        client = await rig.client()
        client.ask(1, trace="1" * 16)
        engine = await within(held.take())
        await within(engine.reader.readuntil(STATEMENT))
        with held.fill():
            client.ask(2, trace="2" * 16)
            pool = next(iter(rig.node.dispatcher.pools.by_number.values()))
            await until(lambda: pool.waiting_attempts)
            engine.writer.write(resp.encode(b"1" * 16, b"update", b"tell=pct,amount=0.5", b""))
            assert b"2" * 16 in await within(engine.reader.readuntil(STATEMENT))
            for trace in (b"1" * 16, b"2" * 16):
                engine.writer.write(resp.encode(trace, b"served", b"chunks=1", b"a\tb\tc\n"))
            assert {(await client.answer())[:2] for _ in range(2)} == {
                (1, frames.SERVED),
                (2, frames.SERVED),
            }
        assert not next(iter(rig.node.dispatcher.facade.controller.endpoints.values())).ejected
        held.listener.close()


@on_uvloop
async def test_a_connect_that_fails_at_a_silent_engine_still_counts_against_it() -> None:
    held = Held()
    async with running(make_config(target_entry("s-1", held.port), policy_limits=PATIENT)) as rig:
        client = await rig.client()
        client.ask(1, trace="1" * 16)
        engine = await within(held.take())
        with held.fill():
            client.ask(2, trace="2" * 16)
            assert (await client.answer())[:2] == (2, frames.REFUSED)
        assert next(iter(rig.node.dispatcher.facade.controller.endpoints.values())).ejected
        engine.writer.close()
        held.listener.close()


@on_uvloop
async def test_an_engine_in_a_new_life_at_its_old_address_gets_new_connections() -> None:
    engine = Engine()
    port = await engine.start()
    async with running(make_config(target_entry("s-1", port))) as rig:
        client = await rig.client()
        client.ask(1, trace="1" * 16)
        assert (await client.answer())[1] == frames.SERVED
        born = rig.node.dispatcher.now() // MS - 60_000
        rig.node.dispatcher.endpoint_list_changed(
            parse_event(topology_event(2, target_entry("s-1", port, boot_ms=born)))
        )
        client.ask(2, trace="2" * 16)
        assert (await client.answer())[1] == frames.SERVED
        assert engine.command_writers[-1] is engine.writers[1]
        assert len(engine.writers) == 2


# --- windows ---


@pytest.mark.parametrize("late", [False, True])
@on_uvloop
async def test_a_keyed_repeat_leaves_within_its_window_or_not_at_all(
    late: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Danger: decided on within the window, it waits for a slow connection and leaves after it."""
    window = 600 * MS
    gate, dialled = gated(monkeypatch, first=1)  # the repeat's waits
    classes = [
        {
            "name": "claim",
            "aim": S,
            "deadline": 20 * S,
            "worth": 1.0,
            "effect": "idempotency_key",
            "window": window,
        }
    ]
    engines = [
        Engine(lambda e, parts, w: w.write(resp.encode(parts[1], b"crashed", b"-", b"")))
        for _ in range(2)
    ]
    targets = [target_entry(f"s-{n}", await e.start()) for n, e in enumerate(engines)]
    async with running(make_config(*targets, classes=classes)) as rig:
        caller = Caller()
        rig.node.dispatcher.submit(caller, 1, ask_of("claim", nonce="k1"))
        await until(lambda: len(dialled) == 2 and dialled[1].waiting_attempts)
        assert sum(len(e.commands_named(b"do")) for e in engines) == 1
        if late:
            rig.node.clock.anchor += window
        gate.set()
        assert await within(caller.told.get()) == "refused"  # its engines all know the key
        assert sum(len(e.commands_named(b"do")) for e in engines) == 1 + (not late)


@on_uvloop
async def test_an_attempt_taken_back_as_its_connection_comes_up_does_not_leave(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Danger: it is reported as never sent with the next tick, and would run beside the one that
    follows.
    """
    engine, (gate, _) = Engine(), gated(monkeypatch)
    limits = {**platform_settings()["policy_limits"], "cancel": True}
    async with running(
        make_config(target_entry("s-1", await engine.start()), policy_limits=limits)
    ) as rig:
        broker, caller = rig.node.dispatcher, Caller()
        request = broker.submit(caller, 1, ask_of("glance"))
        pool = next(iter(broker.pools.by_number.values()))
        assert pool.waiting_attempts
        report = broker.outcomes.report_deferred
        # The next tick is still to come.
        monkeypatch.setattr(broker.outcomes, "report_deferred", lambda: None)
        broker.cancellations.cancel_attempt(CancelAttempt(request.id, 0))
        gate.set()
        await until(lambda: pool.connections and not pool.waiting_attempts)
        assert not engine.commands_named(b"do")
        monkeypatch.setattr(broker.outcomes, "report_deferred", report)
        broker.timers.wake_next_tick()
        assert await within(caller.told.get()) == "served"
        assert len(engine.commands_named(b"do")) == 1


# --- health beside a drain ---


def test_with_every_open_engine_held_to_be_out_one_that_drains_keeps_none_of_them_shut() -> None:
    """Danger: where all are held to be out, all are tried; one that drains in good health is none
    to try.
    """
    h = Harness(make_settings(query_class(deadline_ns=60 * S)), entry(1), entry(2), entry(3))
    h.do(
        api.EndpointListUpdate(
            api.ListUpdateKind.CHANGES, (entry(3, state=api.EndpointState.DRAINING),)
        )
    )
    for number in (1, 2):
        h.controller.outliers.set_ejected(h.now, h.controller.endpoints[number], True)
        h.controller.endpoints[number].next_trial_ns = h.now + 9 * S
    h.arrive("r", estimate_ns=40 * MS)
    assert h.sends("r")[0].endpoint in (1, 2)


# --- settings ---


KEYED = {
    "name": "claim",
    "aim": S,
    "deadline": 5 * S,
    "worth": 1.0,
    "effect": "idempotency_key",
    "window": S,
}


@pytest.mark.parametrize(
    ("change", "line"),
    [
        ({"window": None}, "settings.classes.window: is missing"),
        ({"deadline": None}, "settings.classes.deadline: is missing"),
        ({"effect": "at_most_twice"}, "settings.classes.effect: unknown value 'at_most_twice'"),
        ({"effect": None}, "settings.classes.effect: is missing"),
        ({"group": "planet"}, "settings.classes.group: unknown value 'planet'"),
        ({"deadline": 0}, "settings.classes.deadline: must be above 0"),
    ],
)
@on_uvloop
async def test_settings_that_leave_a_repeat_to_a_guess_end_the_start_and_change_nothing_later(
    tmp_path: Path, change: dict[str, Any], line: str
) -> None:
    bad = platform_settings(
        classes=[{k: v for k, v in {**KEYED, **change}.items() if v is not None}]
    )
    env = write_config(tmp_path, settings=bad)
    whole = f"{line}, in {tmp_path / 'config.json'}"
    made = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "query_broker",
        "serve",
        cwd=ROOT,
        env=env,
        stderr=asyncio.subprocess.PIPE,
    )
    try:
        assert (await within(made.communicate()))[1].decode() == f"larchhall: {whole}\n"
        assert made.returncode == 2
    finally:
        if made.returncode is None:  # it serves
            made.kill()
            await made.wait()
    async with running(make_config(classes=[KEYED]), env) as rig:
        before = rig.node.config
        rig.node.reload()
        assert rig.node.config is before
        assert rig.node.dispatcher.config.settings is before.settings
        assert any(line in said for said in rig.logged), rig.logged


def test_a_number_of_any_length_is_one_line(tmp_path: Path) -> None:
    env = write_config(tmp_path)
    (tmp_path / "config.json").write_text('{"seed": ' + "9" * 5_000 + "}")
    done = subprocess.run(
        [sys.executable, "-m", "query_broker", "serve"],
        env=env,
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    assert done.returncode == 2
    assert done.stderr.startswith("larchhall: PROXY_CONFIG: ")
    assert done.stderr.count("\n") == 1
