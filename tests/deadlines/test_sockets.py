"""Deadlines on real sockets: what nobody wants any more is not begun, what runs is followed to its
end.
"""

from __future__ import annotations

import asyncio
import os
import socket
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from query_broker.deadlines.handover_checks import HandOver, HandOverStatistics, StopReason
from query_broker.deadlines.retry_budget import RetryBudgetSettings
from query_broker.deadlines.settings import DeadlineSettings, Logs
from query_broker.discovery.event_codec import parse_event
from query_broker.dispatch.deadline_controls import DeadlineControls
from query_broker.operator_config.service import ConfiguredNode
from query_broker.operator_config.settings import OperatorConfig
from query_broker.protocols import client_frames as frames
from query_broker.protocols import resp
from query_broker.server.node import Node

from ..server.test_admin_api import admin_call
from ..server.test_upgrade import co_process, meet
from ..support.sockets import (
    MS,
    TRACE,
    Client,
    Engine,
    Rig,
    gated,
    make_config,
    on_uvloop,
    platform_settings,
    running,
    target_entry,
    topology_event,
    until,
    within,
)

pytestmark = pytest.mark.real_time

LARGE = b"SELECT 1 FROM sales_17.orders /* " + b"x" * 200_000 + b" */"
CANCEL = {**platform_settings()["policy_limits"], "cancel": True}
COPIES = {**platform_settings()["policy_limits"], "cancel": True, "second_copies": True}


class Slow:
    """An engine that reads only when it is told to, from a small buffer."""

    def __init__(self) -> None:
        self.held: list[socket.socket] = []
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        self.listener.setblocking(False)
        self.port = int(self.listener.getsockname()[1])
        self.parsers: dict[socket.socket, resp.RespParser] = {}
        self.seen: list[list[bytes]] = []

    async def read(self, most: int = 1 << 30) -> None:
        """All that has come, or so many bytes of each connection."""
        loop = asyncio.get_running_loop()
        while True:
            try:
                self.held.append((await asyncio.wait_for(loop.sock_accept(self.listener), 0.01))[0])
            except TimeoutError:
                break
        for held in self.held:
            held.setblocking(False)
            parser, left = self.parsers.setdefault(held, resp.RespParser()), most
            while left > 0:
                try:
                    data = held.recv(min(left, 65_536))
                except (BlockingIOError, ConnectionError):
                    break
                if not data:
                    break
                left -= len(data)
                self.seen += _commands(parser, data)

    def words(self, word: bytes) -> list[list[bytes]]:
        return [parts for parts in self.seen if parts[0] == word]

    def close(self) -> None:
        for held in [self.listener, *self.held]:
            held.close()


def _commands(parser: resp.RespParser, data: bytes) -> list[list[bytes]]:
    """Danger: statements are longer than the answers that the parser is made for."""
    parser.buffer += data
    whole: list[list[bytes]] = []
    while parser.buffer.startswith(b"*"):
        parts, at = [], parser.buffer.find(b"\r\n") + 2
        count = int(parser.buffer[1 : at - 2]) if at > 1 else 9
        for _ in range(count):
            end = parser.buffer.find(b"\r\n", at)
            if at < 2 or end < 0 or len(parser.buffer) < end + 4 + int(parser.buffer[at + 1 : end]):
                return whole
            size = int(parser.buffer[at + 1 : end])
            parts.append(bytes(parser.buffer[end + 2 : end + 2 + size]))
            at = end + 4 + size
        del parser.buffer[:at]
        whole.append(parts)
    return whole


def controls(rig: Rig) -> DeadlineControls:
    return rig.node.dispatcher.deadline_controls


def statistics(rig: Rig) -> HandOverStatistics:
    return controls(rig).statistics


def tally(rig: Rig, hand: HandOver, why: StopReason) -> int:
    return statistics(rig).stopped[hand, why]


def trace(number: int) -> str:
    return f"{number:016x}"


async def jammed(rig: Rig, most: int = 1) -> Client:
    """A client whose large request is half written before an engine that does not read."""
    rig.node.dispatcher.pools.max_connections = most
    client = await rig.client()
    client.ask(1, body=LARGE, trace=trace(1), patience="5000", route="stock-add", weight="1.0")
    await until(lambda: rig.node.dispatcher.connection_events.blocked)
    return client


def held(rig: Rig) -> Any:
    return [c for p in rig.node.dispatcher.pools.by_number.values() for c in p.connections]


@on_uvloop
async def test_a_client_that_leaves_takes_its_unsent_request_back_whole() -> None:
    slow = Slow()
    async with running(make_config(target_entry("s-1", slow.port))) as rig:
        client = await jammed(rig)
        for number in (2, 3):
            client.ask(number, trace=trace(number), weight="1.0")
        await until(lambda: held(rig)[0].write_queue.keyed)
        client.send(frames.ABANDON, 2)
        await until(lambda: tally(rig, HandOver.SOCKET, StopReason.LEFT) == 1)
        await until(lambda: trace(2).encode() not in held(rig)[0].in_flight)
        client.send(frames.ABANDON, 1)  # half of it has left: the rest must follow
        for _ in range(400):
            await slow.read()
            if len(slow.words(b"do")) == 2:
                break
            await asyncio.sleep(0.005)
        assert [d[1] for d in slow.words(b"do")] == [trace(1).encode(), trace(3).encode()]
        assert slow.words(b"do")[0][3] == LARGE
        assert statistics(rig).begun_after == {StopReason.LEFT: 1}
    slow.close()


@on_uvloop
async def test_a_deadline_that_passes_while_the_frame_is_half_written() -> None:
    slow = Slow()
    async with running(make_config(target_entry("s-1", slow.port))) as rig:
        rig.node.dispatcher.pools.max_connections = 1
        client = await rig.client()
        client.ask(1, body=LARGE, trace=trace(1), patience="300", route="stock-add", weight="1.0")
        client.ask(2, trace=trace(2), patience="300", route="stock-add", weight="1.0")
        codes = {}
        for _ in range(2):
            stream, code, _, _ = await client.answer()
            codes[stream] = code
        # The first may run, so it failed; of the second no byte had left, so a retry is harmless.
        assert codes == {1: frames.FAILED, 2: frames.REFUSED}
        for _ in range(100):
            await slow.read()
            await asyncio.sleep(0.005)
        assert [d[1] for d in slow.words(b"do")] == [trace(1).encode()]
        assert statistics(rig).begun_after == {StopReason.PAST: 1}
    slow.close()


@on_uvloop
async def test_what_has_waited_tells_the_time_that_is_left_and_none_goes_without_any() -> None:
    """A deadline that passes in transit: the engine would get less than nothing to work with."""
    slow = Slow()
    async with running(make_config(target_entry("s-1", slow.port))) as rig:
        client = await jammed(rig)
        client.ask(2, trace=trace(2), patience="4000", weight="1.0")
        await until(lambda: held(rig)[0].write_queue.keyed)
        (attempt,) = (f.about for f in held(rig)[0].write_queue.keyed.values())
        await asyncio.sleep(0.2)
        for _ in range(400):
            await slow.read()
            if len(slow.words(b"do")) == 2:
                break
            await asyncio.sleep(0.005)
        limit = int(dict(p.split(b"=") for p in slow.words(b"do")[1][2].split(b","))[b"limit"])
        assert limit <= 3_800
        attempt.deadline_ns = rig.node.dispatcher.now()
        attempt.reported = False
        assert not rig.node.dispatcher.connection_events.may_proceed(attempt)
        assert tally(rig, HandOver.SOCKET, StopReason.PAST) == 1
    slow.close()


@on_uvloop
async def test_a_client_that_leaves_between_the_decision_and_the_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    engine, (gate, _) = Engine(), gated(monkeypatch)
    async with running(make_config(target_entry("s-1", await engine.start()))) as rig:
        client = await rig.client()
        client.ask(1, trace=trace(1), weight="1.0")
        client.ask(2, trace=trace(2), weight="1.0")
        await until(lambda: len(rig.node.dispatcher.requests) == 2)
        client.send(frames.ABANDON, 1)
        await until(
            lambda: tally(rig, HandOver.POOL, StopReason.LEFT) == 1
            and len(rig.node.dispatcher.requests) == 1
        )
        gate.set()
        assert (await client.answer())[:2] == (2, frames.SERVED)
        assert [d[1] for d in engine.commands_named(b"do")] == [trace(2).encode()]


@pytest.mark.parametrize("how", ["out", "drained"])
@on_uvloop
async def test_an_engine_taken_out_or_drained_meanwhile_gets_nothing_that_waited(how: str) -> None:
    slow, other = Slow(), Engine()
    spare = await other.start()
    async with running(make_config(target_entry("s-1", slow.port))) as rig:
        client = await jammed(rig)
        client.ask(2, trace=trace(2), route="stock-add", weight="1.0")
        await until(lambda: held(rig)[0].write_queue.keyed)
        rig.node.dispatcher.pools.max_connections = 8
        rig.node.dispatcher.endpoint_list_changed(
            parse_event(topology_event(2, target_entry("s-2", spare)))
        )
        if how == "out":
            rig.node.dispatcher.set_endpoint_disabled("s-1", True)
        else:
            rig.node.dispatcher.endpoint_list_changed(
                parse_event(topology_event(3, target_entry("s-1", slow.port, "terminating")))
            )
        for _ in range(400):
            await slow.read()
            if other.commands_named(b"do"):
                break
            await asyncio.sleep(0.005)
        # Unsafe, and sent elsewhere all the same: it never left for the first engine.
        assert (await client.answer())[:2] == (2, frames.SERVED)
        assert [d[1] for d in slow.words(b"do")] == [trace(1).encode()]
        assert (
            tally(rig, HandOver.SOCKET, StopReason.OUT if how == "out" else StopReason.DRAINED) == 1
        )
    slow.close()


@on_uvloop
async def test_an_engine_that_reads_a_byte_at_a_time_holds_up_nobody_else() -> None:
    slow, other = Slow(), Engine()
    async with running(make_config(target_entry("s-1", slow.port))) as rig:
        client = await jammed(rig, 2)
        rig.node.dispatcher.endpoint_list_changed(
            parse_event(topology_event(2, target_entry("s-2", await other.start())))
        )
        rig.node.dispatcher.pools.max_connections = 16
        for number in range(2, 32):
            await slow.read(1)
            client.ask(number, trace=trace(number), weight="1.0", patience="400")
            await asyncio.sleep(0.005)
        codes = [(await client.answer())[1] for _ in range(30)]
        assert codes.count(frames.SERVED) >= 10
        assert len(codes) == 30
        assert all(len(c.write_queue.heap) <= c.write_queue.most for c in held(rig))
    slow.close()


@on_uvloop
async def test_five_hundred_clients_that_leave_at_once_begin_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    engine, (gate, _) = Engine(), gated(monkeypatch)
    wide = {"size_cores": [4_000], "parallelism": [1, 2]}  # so that all of them are admitted
    made = make_config(target_entry("s-1", await engine.start()), tenants=[], specifics=wide)
    async with running(replace(made, sockets=2_048, memory_mb=256)) as rig:
        clients = [await rig.client() for _ in range(500)]
        for number, client in enumerate(clients, 100):
            client.ask(1, trace=trace(number), weight="0.1", customer=None)
        await until(lambda: rig.node.dispatcher.request_table.unanswered_count == 500)
        for client in clients:
            client.writer.transport.abort()
        await until(
            lambda: not rig.node.dispatcher.request_table.unanswered_count
            and not rig.node.dispatcher.requests
        )
        assert tally(rig, HandOver.POOL, StopReason.LEFT) == 500
        gate.set()
        last = await rig.client()
        last.ask(1, trace=trace(1), weight="0.1", customer=None)
        assert (await last.answer())[1] == frames.SERVED
        assert [d[1] for d in engine.commands_named(b"do")] == [trace(1).encode()]
        assert not rig.node.dispatcher.outcomes.deferred
        assert not rig.node.dispatcher.request_table.statement_bytes


# --- cancels ---


@on_uvloop
async def test_no_undo_leaves_where_engines_do_not_honour_it() -> None:
    engine = Engine(lambda *_: None)
    async with running(make_config(target_entry("s-1", await engine.start()))) as rig:
        client = await rig.client()
        for number in range(1, 6):
            client.ask(number, trace=trace(number), patience="300", weight="1.0")
        await until(lambda: len(engine.commands_named(b"do")) == 5)
        client.send(frames.ABANDON, 1)
        for _ in range(4):
            await client.answer()
        await until(lambda: not rig.node.dispatcher.requests)
        assert not engine.commands_named(b"undo")
        assert statistics(rig).cancels_sent == 0


@pytest.mark.parametrize("end", ["left", "closed", "deadline"])
@on_uvloop
async def test_running_work_is_undone_when_nobody_waits_for_it(end: str) -> None:
    engine = Engine(lambda *_: None)
    async with running(
        make_config(target_entry("s-1", await engine.start()), policy_limits=CANCEL)
    ) as rig:
        client = await rig.client()
        client.ask(
            1, patience="300" if end == "deadline" else "4000", route="stock-add", weight="1.0"
        )
        await until(lambda: engine.commands_named(b"do"))
        if end == "left":
            client.send(frames.ABANDON, 1)
        elif end == "closed":
            client.writer.transport.abort()
        else:
            assert (await client.answer())[1] == frames.FAILED
        await until(lambda: engine.commands_named(b"undo"))
        assert {d[1] for d in engine.commands_named(b"undo")} == {TRACE.encode()}
        await until(lambda: statistics(rig).stopped_after_cancel == 1)  # by silence
        assert statistics(rig).cancels_sent == 1
        assert len(engine.commands_named(b"undo")) <= 3
        assert held(rig)[0].is_idle()
        assert not rig.node.dispatcher.requests


@on_uvloop
async def test_an_answer_that_crosses_the_undo_is_dropped_and_counted() -> None:
    engine = Engine(lambda *_: None)
    async with running(
        make_config(target_entry("s-1", await engine.start()), policy_limits=CANCEL)
    ) as rig:
        client = await rig.client()
        client.ask(1, weight="1.0")
        await until(lambda: engine.commands_named(b"do"))
        client.send(frames.ABANDON, 1)
        await until(lambda: engine.commands_named(b"undo"))
        engine.answer_served(engine.commands_named(b"do")[0], engine.writers[0])
        await until(lambda: statistics(rig).answered_after_cancel == 1)
        client.ask(2, trace=trace(2), weight="1.0")
        await until(lambda: len(engine.commands_named(b"do")) == 2)
        engine.answer_served(engine.commands_named(b"do")[1], engine.writers[-1])
        assert (await client.answer())[:2] == (2, frames.SERVED)
        assert statistics(rig).stopped_after_cancel == 0


@on_uvloop
async def test_the_copy_that_lost_is_undone() -> None:
    engines = [Engine(lambda *_: None), Engine(lambda *_: None)]
    targets = [target_entry(f"s-{i}", await e.start()) for i, e in enumerate(engines)]
    async with running(make_config(*targets, policy_limits=COPIES)) as rig:
        client = await rig.client()
        client.ask(1, weight="20.0")
        await until(lambda: sum(len(e.commands_named(b"do")) for e in engines) == 2)
        one = next(e for e in engines if e.commands_named(b"do"))
        one.answer_served(one.commands_named(b"do")[0], one.writers[0])
        assert (await client.answer())[1] == frames.SERVED
        await until(lambda: sum(len(e.commands_named(b"undo")) for e in engines) >= 1)
        assert statistics(rig).cancels_sent == 1


@on_uvloop
async def test_a_late_answer_that_crosses_a_time_out_is_dropped() -> None:
    engine = Engine(lambda *_: None)
    async with running(make_config(target_entry("s-1", await engine.start()))) as rig:
        client = await rig.client()
        client.ask(1, patience="300", route="stock-add", weight="1.0")
        assert (await client.answer())[:2] == (1, frames.FAILED)
        await until(lambda: not rig.node.dispatcher.requests)
        engine.answer_served(engine.commands_named(b"do")[0], engine.writers[0])
        await until(lambda: statistics(rig).late_answers == 1)
        client.send(frames.ASK_READY, 0, b"\0")
        assert (await client.frame())[0] == frames.READY  # and no second answer before it


@on_uvloop
async def test_pages_are_forgotten_as_soon_as_nobody_wants_them() -> None:
    def script(engine: Engine, parts: list[bytes], writer: asyncio.StreamWriter) -> None:
        if parts[0] == b"do":
            writer.write(resp.encode(parts[1], b"served", b"chunks=3", b"a\tb\tc\n"))

    engine = Engine(script)
    async with running(make_config(target_entry("s-1", await engine.start()))) as rig:
        client = await rig.client()
        client.ask(1, weight="1.0")
        await until(lambda: len(engine.commands_named(b"page")) == 2)
        client.send(frames.ABANDON, 1)
        await until(lambda: engine.commands_named(b"forget"))
        await until(lambda: not rig.node.dispatcher.requests and held(rig)[0].is_idle())


@on_uvloop
async def test_a_retry_keeps_its_class_s_rule() -> None:
    """The first attempt of one may have begun, of the other it has not left: only the latter goes
    again.
    """
    slow, other = Slow(), Engine()
    spare = await other.start()
    async with running(make_config(target_entry("s-1", slow.port))) as rig:
        client = await jammed(rig)
        client.ask(2, trace=trace(2), route="stock-add", weight="1.0")
        await until(lambda: held(rig)[0].write_queue.keyed)
        rig.node.dispatcher.pools.max_connections = 8
        rig.node.dispatcher.endpoint_list_changed(
            parse_event(topology_event(2, target_entry("s-2", spare)))
        )
        held(rig)[0].transport.abort()  # as if the engine had reset it
        answers = {}
        for _ in range(2):
            stream, code, _, _ = await client.answer()
            answers[stream] = code
        assert answers == {1: frames.FAILED, 2: frames.SERVED}
        assert [d[1] for d in other.commands_named(b"do")] == [trace(2).encode()]
    slow.close()


@on_uvloop
async def test_what_has_not_left_when_all_is_closed_out_is_refused() -> None:
    slow, other = Slow(), Engine()
    spare = await other.start()
    async with running(make_config(target_entry("s-1", slow.port))) as rig:
        client = await jammed(rig)
        client.ask(2, trace=trace(2), route="stock-add", weight="1.0")
        await until(lambda: held(rig)[0].write_queue.keyed)
        rig.node.dispatcher.endpoint_list_changed(
            parse_event(topology_event(2, target_entry("s-2", spare)))
        )
        rig.node.dispatcher.cancellations.close_out_all()
        answers = {}
        for _ in range(2):
            stream, code, _, _ = await client.answer()
            answers[stream] = code
        assert answers == {1: frames.FAILED, 2: frames.REFUSED}
        assert not other.commands_named(b"do")
    slow.close()


@on_uvloop
async def test_a_successor_takes_over_while_frames_wait_in_the_outbox(tmp_path: Path) -> None:
    slow = Slow()
    made = make_config(target_entry("s-1", slow.port))
    with socket.create_server(("127.0.0.1", 0)) as listening:
        async with co_process(made, listening, tmp_path) as old:
            client = await jammed(old)
            client.ask(2, trace=trace(2), patience="900", route="stock-add", weight="200")
            await until(lambda: held(old)[0].write_queue.keyed)
            async with co_process(made, listening, tmp_path) as new:
                await meet(old, new)
                old.node.shutdown.begin()
                assert (await client.frame())[0] == frames.NO_MORE
                assert (await client.answer())[:2] == (2, frames.REFUSED)  # it never left
                client.send(frames.ABANDON, 1)
                await within(old.node.stopped.wait())
                for _ in range(50):
                    await slow.read()
                    await asyncio.sleep(0.005)
                assert all(d[1] != trace(2).encode() for d in slow.words(b"do"))
    slow.close()


# --- what operators may set ---


def filed(**said: Any) -> Any:
    return lambda config, environ: ConfiguredNode(config, OperatorConfig(**said), "", environ)


@on_uvloop
async def test_a_half_closed_client_gets_its_answers_where_that_is_said() -> None:
    for said, answered in ((DeadlineSettings(half_close="answer"), True), (None, False)):
        engine = Engine(lambda *_: None)
        made = make_config(target_entry("s-1", await engine.start()))
        async with running(made, make=filed(deadlines=said)) as rig:
            client = await rig.client()
            client.ask(1, weight="1.0")
            await until(lambda: engine.commands_named(b"do"))  # noqa: B023
            client.writer.write_eof()
            if answered:
                await asyncio.sleep(0.05)
                engine.answer_served(engine.commands_named(b"do")[0], engine.writers[0])
                assert (await client.answer())[:2] == (1, frames.SERVED)
                assert await client.ended()
            else:
                await until(lambda: not rig.node.dispatcher.request_table.unanswered_count)
            await until(lambda: not rig.node.clients)


@on_uvloop
async def test_a_client_that_stops_reading_has_left_after_the_time_that_is_set() -> None:
    big = b"a\tb\tc\n" * 7_000
    engine = Engine(
        lambda e, parts, writer: writer.write(
            resp.encode(parts[1], b"served", b"chunks=1", big) if parts[0] == b"do" else b""
        )
    )
    made = make_config(target_entry("s-1", await engine.start()))
    async with running(made, make=filed(deadlines=DeadlineSettings(slow_reader=200 * MS))) as rig:
        client = await rig.client()
        await until(lambda: rig.node.clients)
        for end in (
            client.writer.transport,
            *(c.transport for c in rig.node.clients if c.transport),
        ):
            end.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 8_192)
            end.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8_192)
        for number in range(1, 33):
            client.ask(number, trace=trace(number), weight="1.0")
        await until(lambda: not rig.node.clients)


@on_uvloop
async def test_further_attempts_stay_within_their_budget() -> None:
    def reset(engine: Engine, parts: list[bytes], writer: asyncio.StreamWriter) -> None:
        if parts[0] == b"do":
            writer.write(resp.encode(parts[1], b"crashed", b"-", b""))

    engines = [Engine(reset) for _ in range(3)]
    targets = [target_entry(f"s-{i}", await e.start()) for i, e in enumerate(engines)]
    terms = DeadlineSettings(further=RetryBudgetSettings(share=0.0, burst=2.0))
    async with running(make_config(*targets), make=filed(deadlines=terms)) as rig:
        client = await rig.client()
        for number in range(1, 11):
            client.ask(number, trace=trace(number), weight="1.0")
            assert (await client.answer())[1] == frames.REFUSED
        assert sum(len(e.commands_named(b"do")) for e in engines) == 12
        assert tally(rig, HandOver.POOL, StopReason.BUDGET)
        assert controls(rig).retry_budget is not None


@on_uvloop
async def test_a_learned_margin_stages_and_what_was_taken_back_are_told() -> None:
    engine = Engine()
    made = make_config(target_entry("s-1", await engine.start()), operator=True)
    async with running(
        made, make=filed(deadlines=DeadlineSettings(learn=True), logs=Logs("json", 1.0))
    ) as rig:
        client = await rig.client()
        for number in range(1, 81):
            client.ask(number, trace=trace(number), weight="1.0")
            assert (await client.answer())[1] == frames.SERVED
        text = (await admin_call(rig, b"GET /metrics HTTP/1.1\r\n\r\n"))[2]
        for stage in ("read", "decide", "connect", "write", "engine", "answer"):
            assert f'larchhall_stage_seconds_count{{type="glance",stage="{stage}"}} 80' in text
        assert "larchhall_margin_seconds 0.01" in text
        assert "larchhall_undone_total 0" in text
        controls(rig).stages.learn(rig.node.dispatcher.now())  # type: ignore[union-attr]
        assert controls(rig).stages.margin < 10 * MS  # type: ignore[union-attr]
        ordinary = Node(made, os.environ)
        assert b"larchhall_" not in ordinary.dispatcher.metrics()
        assert ordinary.dispatcher.deadline_controls.stages is None


@on_uvloop
async def test_time_may_count_from_the_first_byte() -> None:
    engine = Engine(lambda *_: None)
    made = make_config(target_entry("s-1", await engine.start()))
    for terms in (DeadlineSettings(count_from="first"), DeadlineSettings(count_from="last")):
        async with running(made, make=filed(deadlines=terms)) as rig:
            client = await rig.client()
            fields = {
                "route": "glance",
                "trace": trace(7),
                "patience": "3000",
                "customer": "acme",
                "weight": "1.0",
            }
            whole = frames.frame(frames.REQUEST, 1, frames.write_fields(fields) + b"SELECT 1")
            client.writer.write(whole[:30])
            await asyncio.sleep(0.3)
            client.writer.write(whole[30:])
            await until(lambda: rig.node.dispatcher.requests)
            (request,) = rig.node.dispatcher.requests.values()
            taken = request.deadline_ns - request.accepted_ns
            assert (taken < 2_750 * MS) == (terms.count_from == "first")
            assert taken <= 2_990 * MS
            client.writer.transport.abort()
            await until(lambda: not rig.node.dispatcher.request_table.unanswered_count)
