"""What comes in the last moments of a graceful shutdown; see `docs/design/rare-moments.md`."""

from __future__ import annotations

import signal
import socket
from pathlib import Path

import pytest

from query_broker.protocols import client_frames as frames
from query_broker.server.graceful_shutdown import GracefulShutdown

from ..protocols.scripted_engines import broker_with_engines, silent_engine
from ..support.helpers import MS
from ..support.sockets import (
    Engine,
    connect,
    make_known,
    on_uvloop,
    process,
    target_entry,
    until,
    within,
)
from .request_frames import HALF_A_REQUEST, read_to_end, request_frame

pytestmark = pytest.mark.real_time


@on_uvloop
async def test_what_comes_after_the_shutdown_is_not_forwarded_and_resets_nothing() -> None:
    """Dispatched, the request would be lost with the process; left unread, it would reset the
    connection, and the last answer with it.
    """
    engine = Engine()
    async with broker_with_engines(engine) as rig:
        with socket.create_connection(("127.0.0.1", rig.port)) as raw:
            raw.sendall(request_frame(1))
            await until(lambda: engine.commands_named(b"do"))
            drain = GracefulShutdown(rig.node)
            drain.begun_at_ns = rig.node.clock.now()
            # in the system's buffer between the last look and the end
            raw.sendall(request_frame(2) + HALF_A_REQUEST)
            drain._end_connections()
            read = await read_to_end(raw)  # raises where it is reset
        await within(rig.node.stopped.wait())
        assert len(engine.commands_named(b"do")) == 1
        assert read == frames.answer(1, frames.SERVED, {}, b"a\tb\tc\n")


@on_uvloop
async def test_a_client_that_rests_to_the_end_and_second_signals_change_nothing(
    tmp_path: Path,
) -> None:
    engine = silent_engine()
    known = make_known(target_entry("s-1", await engine.start()))
    async with process(tmp_path, known=known) as (broker, port):
        client = await within(connect(port))
        resting = await within(connect(port))
        client.ask()
        resting.send(frames.ASK_READY, 0, b"\0")
        assert (await resting.frame())[0] == frames.READY
        await until(lambda: engine.commands_named(b"do"))
        broker.send_signal(signal.SIGTERM)
        assert await resting.frame() == (frames.NO_MORE, 0, b"")
        assert await client.frame() == (frames.NO_MORE, 0, b"")
        for later_signal in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
            broker.send_signal(later_signal)
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
    engine = silent_engine()
    glance = {
        "name": "glance",
        "aim": 300 * MS,
        "deadline": 700 * MS,
        "worth": 1.0,
        "effect": "read_like",
    }
    async with broker_with_engines(engine, classes=[glance]) as rig:
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


@on_uvloop
async def test_connections_that_wait_in_the_queue_when_the_shutdown_is_announced_are_served() -> (
    None
):
    """The system has accepted them; closing the listener would reset them."""
    engine = Engine()
    async with broker_with_engines(engine) as rig:
        drain = GracefulShutdown(rig.node)
        drain.begun_at_ns = rig.node.clock.now()
        waiting = [socket.create_connection(("127.0.0.1", rig.port)) for _ in range(20)]
        for number, raw in enumerate(waiting):
            raw.sendall(request_frame(1, trace=f"{number:016x}"))
        drain._announce_leaving()  # the loop has had no turn since
        for raw in waiting:
            assert frames.answer(1, frames.SERVED, {}, b"a\tb\tc\n") in await read_to_end(raw)
            raw.close()
