"""Clients on real sockets: one test for each rule."""

from __future__ import annotations

import asyncio
import gc
import weakref

import pytest

from query_broker.dispatch.deadline_controls import DEFAULT_ANSWER_MARGIN_NS
from query_broker.protocols import client_frames as frames
from query_broker.protocols import resp

from ..support.sockets import (
    MS,
    STATEMENT,
    TRACE,
    Engine,
    make_config,
    on_uvloop,
    platform_settings,
    running,
    target_entry,
    until,
)

pytestmark = pytest.mark.real_time


def pages(*bodies: bytes, say: int = 0) -> Engine:
    """An engine that serves a result in pages and knows no page without a body."""

    def script(engine: Engine, parts: list[bytes], writer: asyncio.StreamWriter) -> None:
        if parts[0] == b"do":
            writer.write(
                resp.encode(parts[1], b"served", b"chunks=%d" % (say or len(bodies)), bodies[0])
            )
        elif parts[0] == b"page" and int(parts[2]) < len(bodies):
            writer.write(resp.encode(parts[1], b"rows", b"at=" + parts[2], bodies[int(parts[2])]))
        elif parts[0] == b"page":
            writer.write(resp.encode(parts[1], b"crashed", b"-", b""))

    return Engine(script)


@on_uvloop
async def test_a_result_in_pages_is_one_complete_answer_in_order() -> None:
    engine = pages(b"1\ta\tb\n", b"2\ta\tb\n", b"3\ta\tb\n")
    async with running(make_config(target_entry("s-1", await engine.start()))) as rig:
        client = await rig.client()
        client.ask(stream=5)
        assert await client.answer() == (5, frames.SERVED, {}, b"1\ta\tb\n2\ta\tb\n3\ta\tb\n")
        await until(lambda: engine.commands_named(b"forget"))
        do = engine.commands_named(b"do")[0]
        fields = resp.read_pairs(do[2])
        assert (do[1], do[3]) == (TRACE.encode(), b"SELECT 1 FROM sales_17.orders")
        assert fields["cls"] == "glance"
        assert 3_000 < int(fields["limit"]) <= 4_000
        assert fields["reserve"] == "20"
        assert 0 <= int(fields["level"]) <= 3


@on_uvloop
async def test_a_lost_page_is_no_short_result_and_its_request_fails() -> None:
    engine = pages(b"1\ta\tb\n", say=2)
    async with running(make_config(target_entry("s-1", await engine.start()))) as rig:
        client = await rig.client()
        client.ask(route="stock-add")
        assert (await client.answer())[1] == frames.FAILED
        assert len(engine.commands_named(b"do")) == 1


@pytest.mark.parametrize(
    "data",
    [
        b"\0\0\0\x04",
        b"\0\0\0\x05\x03\0\0\0\x01",
        b"\xff\xff\xff\xff",
        frames.frame(frames.REQUEST, 1, b"\x01\x05r"),
        frames.frame(frames.REQUEST, 0, b"\0"),
        frames.frame(frames.ASK_READY, 1, b""),
    ],
)
@on_uvloop
async def test_a_malformed_frame_gets_an_error_on_stream_0_and_the_connection_closes(
    data: bytes,
) -> None:
    engine = Engine(lambda *_: None)
    async with running(make_config(target_entry("s-1", await engine.start()))) as rig:
        client = await rig.client()
        client.writer.write(data)
        stream, code, _, _ = await client.answer()
        assert (stream, code) == (0, frames.FAILED)
        assert await client.ended()
        assert not engine.commands
        assert not rig.node.dispatcher.requests


@on_uvloop
async def test_a_reused_stream_breaks_the_connection() -> None:
    async with running(make_config()) as rig:
        client = await rig.client()
        client.ask(stream=2)
        client.ask(stream=2)
        assert (await client.answer())[:2] == (2, frames.REFUSED)
        assert (await client.answer())[0] == 0
        assert await client.ended()


@on_uvloop
async def test_an_unusable_request_gets_one_failed_answer_and_the_connection_goes_on() -> None:
    engine = Engine()
    async with running(make_config(target_entry("s-1", await engine.start()))) as rig:
        client = await rig.client()
        bad: list[dict[str, str | None]] = [
            {"route": "upload"},
            {"route": None},
            {"customer": "x"},
            {"customer": None},
            {"redo": "2"},
            {"trace": "9b"},
            {"trace": None},
            {"trace": "g" * 16},
            {"patience": "0"},
            {"patience": None},
        ]
        bad += [
            {name: value}
            for name in ("patience", "weight", "ram")
            for value in ("-1", "nan", "inf", "1e99", "x", "", "1_0", " 1", "٣", "9" * 400)
        ]
        for stream, changes in enumerate(bad, 1):
            client.ask(stream, STATEMENT, **{"trace": f"{stream:016x}", **changes})
            assert (await client.answer())[:2] == (stream, frames.FAILED), changes
        for stream, statement in enumerate((b"", b" \n", b"SELECT \xff", b"SELECT \0"), 100):
            client.ask(stream, statement, trace=f"{stream:016x}")
            assert (await client.answer())[:2] == (stream, frames.FAILED)
        assert not engine.commands
        assert not rig.node.dispatcher.requests
        client.ask(stream=200)
        assert (await client.answer())[:2] == (200, frames.SERVED)


@on_uvloop
async def test_an_id_that_is_not_new_reaches_no_engine_with_another_statement() -> None:
    engine = Engine(lambda *_: None)
    async with running(make_config(target_entry("s-1", await engine.start()))) as rig:
        client = await rig.client()
        other = await rig.client()
        client.ask(stream=1, weight="900.0")
        await until(lambda: engine.commands_named(b"do"))
        for stream in (2, 3):  # the same frame again, as a flood sends it
            client.ask(stream=stream, weight="900.0")
            assert (await client.answer())[:2] == (stream, frames.FAILED)
        for stream, changes in enumerate(
            ({"body": b"SELECT 2 FROM sales_17.orders"}, {"route": "stock-add"}), 1
        ):
            other.ask(stream=stream, **changes)  # type: ignore[arg-type]
            assert (await other.answer())[:2] == (stream, frames.FAILED)
        assert len(engine.commands_named(b"do")) == 1
        engine.answer_served(engine.commands_named(b"do")[0], engine.writers[0])
        assert (await client.answer())[:2] == (1, frames.SERVED)
        assert not rig.node.dispatcher.request_table.by_client_id


@on_uvloop
async def test_a_timeout_beyond_that_of_its_class_is_cut_to_it() -> None:
    engine = Engine(lambda *_: None)
    async with running(make_config(target_entry("s-1", await engine.start()))) as rig:
        client = await rig.client()
        client.ask(patience="3600000")
        await until(lambda: engine.commands_named(b"do"))
        [request] = rig.node.dispatcher.requests.values()
        assert request.deadline_ns < rig.node.clock.now() + 5_000 * MS


@on_uvloop
async def test_thousands_of_frames_at_once_leave_others_their_turn() -> None:
    async with running(make_config()) as rig:
        flood = await rig.client()
        other = await rig.client()
        flood.writer.write(frames.frame(frames.ASK_READY, 1, b"\0") * 20_000)
        other.send(frames.ASK_READY, 1, b"\0")
        served: list[int] = []
        ready = rig.node.ready

        def counted_ready() -> bool:
            served.append(len(served))
            return ready()

        rig.node.ready = counted_ready  # type: ignore[method-assign]
        assert await other.frame() == (frames.READY, 1, b"\0\0")
        assert len(served) < 10_000
        for _ in range(20_000):
            assert await flood.frame() == (frames.READY, 1, b"\0\0")


@on_uvloop
async def test_incomplete_frames_are_bounded_in_all() -> None:
    async with running(make_config()) as rig:
        rig.node.dispatcher.statement_capacity_bytes = 310_000
        clients = [await rig.client() for _ in range(3)]
        for client in clients:
            client.writer.write((200_000).to_bytes(4, "big") + b"\x02" + bytes(150_000))
        await until(lambda: any(connection.broken for connection in rig.node.clients))
        assert rig.node.partial_frame_bytes <= 310_000
        assert sum(connection.broken for connection in rig.node.clients) == 1
        for client in clients:
            client.writer.close()
        await until(lambda: not rig.node.clients)
        assert rig.node.partial_frame_bytes == 0


@on_uvloop
async def test_with_no_engine_the_rejection_comes_at_once_and_carries_a_pause() -> None:
    async with running(make_config()) as rig:
        client = await rig.client()
        client.ask(route="stock-add", patience="20000")
        stream, code, fields, body = await client.answer()
        assert (stream, code, body) == (1, frames.REFUSED, b"")
        assert int(fields["pause"]) > 0


@on_uvloop
async def test_an_abandoned_request_is_not_answered_and_its_pages_are_not_fetched() -> None:
    engine = Engine(lambda *_: None)
    async with running(make_config(target_entry("s-1", await engine.start()))) as rig:
        client = await rig.client()
        other = await rig.client()
        client.ask(stream=1, weight="900.0")
        other.ask(stream=1, weight="900.0", trace="0" * 16)
        await until(lambda: len(engine.commands_named(b"do")) == 2)
        client.send(frames.ABANDON, 1)
        other.writer.close()
        await until(
            lambda: not any(request.client for request in rig.node.dispatcher.requests.values())
        )
        for do in engine.commands_named(b"do"):
            engine.writer_of(do).write(resp.encode(do[1], b"served", b"chunks=3", b"1\ta\tb\n"))
        await until(lambda: len(engine.commands_named(b"forget")) == 2)
        assert not engine.commands_named(b"page")
        assert not engine.commands_named(b"undo")
        assert not rig.node.dispatcher.requests
        client.send(frames.ASK_READY, 0, b"\0")
        # the next frame: no answer went before it
        assert await client.frame() == (frames.READY, 0, b"\0\0")


@on_uvloop
async def test_the_final_answer_comes_before_the_timeout() -> None:
    engine = Engine(lambda *_: None)
    async with running(make_config(target_entry("s-1", await engine.start()))) as rig:
        client = await rig.client()
        loop = asyncio.get_running_loop()
        sent = loop.time()
        client.ask(patience="300")
        await until(lambda: engine.commands_named(b"do"))
        request = next(iter(rig.node.dispatcher.requests.values()))
        assert request.deadline_ns <= rig.node.clock.now() + 300 * MS - DEFAULT_ANSWER_MARGIN_NS
        assert (await client.answer())[1] == frames.REFUSED
        assert loop.time() - sent > 0.25


@on_uvloop
async def test_a_slow_reader_is_not_read_from_and_delays_no_other_client() -> None:
    row = b"x" * 5_900 + b"\tb\tc\n"
    engine = pages(*[row] * 8)
    async with running(make_config(target_entry("s-1", await engine.start()))) as rig:
        slow = await rig.client()
        quick = await rig.client()
        transport = slow.writer.transport
        transport.pause_reading()  # type: ignore[attr-defined]
        stream = 0
        while not any(connection.paused_since_ns for connection in rig.node.clients):
            stream += 1
            slow.ask(stream=stream, trace=f"{stream:016x}")
            await until(lambda: len(engine.commands_named(b"forget")) == stream)  # noqa: B023
        quick.ask()
        assert (await quick.answer())[3] == row * 8
        transport.resume_reading()  # type: ignore[attr-defined]
        for _ in range(stream):
            assert (await slow.answer())[3] == row * 8
        assert not any(connection.paused_since_ns for connection in rig.node.clients)


@on_uvloop
async def test_more_than_32_open_requests_fail_alone() -> None:
    engine = Engine(lambda *_: None)
    config = make_config(
        target_entry("s-1", await engine.start()), **platform_settings(fleet_size=1)
    )
    async with running(config) as rig:
        client = await rig.client()
        for stream in range(1, 34):
            client.ask(stream=stream, trace=f"{stream:016x}", weight="1.0")
        assert (await client.answer())[:2] == (33, frames.FAILED)
        assert len(rig.node.dispatcher.requests) == 32


@on_uvloop
async def test_statements_in_memory_are_bounded_and_released() -> None:
    engine = Engine(lambda *_: None)
    async with running(make_config(target_entry("s-1", await engine.start()))) as rig:
        rig.node.dispatcher.statement_capacity_bytes = 100
        client = await rig.client()
        client.ask(1, b"x" * 90, weight="900.0")
        client.ask(2, b"x" * 20, trace="2" * 16)
        assert (await client.answer())[:2] == (2, frames.REFUSED)
        await until(lambda: engine.commands_named(b"do"))
        engine.answer_served(engine.commands_named(b"do")[0], engine.writers[0])
        assert (await client.answer())[:2] == (1, frames.SERVED)
        assert rig.node.dispatcher.request_table.statement_bytes == 0


@on_uvloop
async def test_a_fault_in_the_decisions_costs_one_request_and_its_answer_is_failed() -> None:
    engine = Engine()
    async with running(make_config(target_entry("s-1", await engine.start()))) as rig:
        client = await rig.client()
        facade = rig.node.dispatcher.facade
        pick = facade.pick
        facade.pick = None  # type: ignore[method-assign, assignment]
        client.ask(1)
        assert (await client.answer())[:2] == (1, frames.FAILED)
        facade.pick = pick  # type: ignore[method-assign]
        client.ask(2, trace="2" * 16)
        assert (await client.answer())[:2] == (2, frames.SERVED)
        assert not rig.node.dispatcher.requests
        assert not facade.controller.requests


@pytest.mark.parametrize(
    ("complete", "incomplete", "gets_error"),
    [
        (b"", b"", True),
        (b"", frames.frame(frames.REQUEST, 1, b"\0")[:9], True),
        (frames.frame(frames.ASK_READY, 1, b"\0"), b"", False),
        (frames.frame(frames.ASK_READY, 1, b"\0"), b"\0\0", True),
    ],
    ids=["silent", "half a request", "asked once and stays", "half a second one"],
)
@on_uvloop
async def test_a_silent_incomplete_or_idle_client_is_disconnected_by_a_timer(
    complete: bytes, incomplete: bytes, gets_error: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    for name in ("FIRST_FRAME_TIMEOUT_NS", "FRAME_TIMEOUT_NS", "IDLE_TIMEOUT_NS"):
        monkeypatch.setattr(f"query_broker.protocols.client_timeouts.{name}", 50 * MS)
    async with running(make_config()) as rig:
        client = await rig.client()
        client.writer.write(complete + incomplete)
        if complete:
            assert (await client.frame())[0] == frames.READY
        if gets_error:
            assert (await client.answer())[:2] == (0, frames.FAILED)
        assert await client.ended()
        client.writer.close()
        await until(lambda: not rig.node.clients)


@on_uvloop
async def test_the_error_for_60_mb_arrives_although_most_of_it_is_never_read() -> None:
    async with running(make_config()) as rig:
        client = await rig.client()
        client.writer.write((60 << 20).to_bytes(4, "big") + b"\x02" + bytes(8 << 20))
        stream, code, _, why = await client.answer()
        assert (stream, code) == (0, frames.FAILED)
        assert b"length" in why
        assert await client.ended()
        assert rig.node.partial_frame_bytes == 0
        await until(lambda: not rig.node.clients)


@on_uvloop
async def test_a_lost_connection_and_its_parts_are_freed_without_the_garbage_collector() -> None:
    engine = pages(b"1\ta\tb\n")
    async with running(make_config(target_entry("s-1", await engine.start()))) as rig:
        client = await rig.client()
        client.ask()
        assert (await client.answer())[1] == frames.SERVED
        (connection,) = rig.node.admission.connections
        held: list[weakref.ref[object]] = [
            weakref.ref(connection),
            weakref.ref(connection.reader),
            weakref.ref(connection.requests),
            weakref.ref(connection.timeouts),
        ]
        del connection
        gc.disable()
        try:
            client.writer.close()
            await until(lambda: [part() for part in held] == [None] * len(held))
        finally:
            gc.enable()
