"""Starts of several real processes of this program while parts of the system break."""

from __future__ import annotations

import asyncio
import json
import os
import resource
import signal
import time
from collections.abc import Callable
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from query_broker.cli.main import main
from query_broker.emulator.clients import RequestLog
from query_broker.emulator.cluster import MS, EmulatedCluster, broker_config
from query_broker.emulator.discovery_service import (
    ScriptedDiscoveryService,
    target_entry,
    topology_event,
)
from query_broker.emulator.faulty_links import (
    Direction,
    Fault,
    FaultKind,
    FaultSchedule,
    FaultyLink,
    partition_faults,
)
from query_broker.emulator.processes import BrokerFleet, BrokerProcess
from query_broker.protocols import client_frames as frames
from query_broker.startup.endpoint_snapshot import EndpointSnapshot, encode

from ..support import deployments
from ..support.sockets import HANG, Engine, on_uvloop, until, write_config

pytestmark = pytest.mark.real_time

FAST = (
    "start(list_connects = 100, list_wait = 0.5, contact_wait = 0.5, engine_probes = 200, ramp = "
    "1, "
    "floor = 0.25{})"
)


@contextmanager
def fleet(count: int, raw: dict[str, Any], more: str = "", **changes: Any) -> Any:
    raw = {**raw, "settings": {**raw["settings"], **changes}}
    with BrokerFleet(count, raw, FAST.format(more)) as started:
        yield started


async def world_of(*uids: str) -> tuple[EmulatedCluster, dict[str, Any]]:
    world = EmulatedCluster()
    await world.start(*uids)
    raw = broker_config(world, "127.0.0.1:1", **{**deployments.WAREHOUSE, "fleet_size": 4})
    del raw["known"]  # from the bus alone
    return world, raw


async def status(member: BrokerProcess, true: Callable[[dict[str, Any]], bool]) -> dict[str, Any]:
    """The answer of its operators' address, once this holds of it."""
    end = time.monotonic() + HANG
    answer: dict[str, Any] = {}
    while time.monotonic() < end:
        try:
            answer = await asyncio.to_thread(member.status)
        except OSError:
            answer = {}
        if answer and true(answer):
            return answer
        await asyncio.sleep(0.05)
    raise AssertionError(f"n{member.number}: {answer}\n{member.log()}")


async def save_a_snapshot(raw: dict[str, Any], more: str) -> None:
    """One broker starts, has the list, and ends."""
    with fleet(1, raw, more) as brokers:
        brokers.start()
        await status(brokers.processes[0], ready)
        brokers.processes[0].signal(signal.SIGTERM)
        await asyncio.to_thread(brokers.processes[0].wait, HANG)


def at(stage: str) -> Callable[[dict[str, Any]], bool]:
    return lambda answer: answer["stage"] == stage


def ready(answer: dict[str, Any]) -> bool:
    return bool(answer["ready"])


@on_uvloop
async def test_all_start_while_the_discovery_service_is_down_and_serve_once_it_is_back() -> None:
    world, raw = await world_of("s-1", "s-2")
    script = FaultSchedule([Fault(0.0, 3_600.0, "bus", FaultKind.REJECT)], time.monotonic)
    link = FaultyLink("bus", "127.0.0.1", world.discovery_port, script)
    with fleet(4, {**raw, "bus": f"127.0.0.1:{await link.start()}"}) as brokers:
        brokers.start()
        for member in brokers.processes:
            answer = await status(member, at("list"))
            assert not answer["ready"]
            assert answer["list"] == "none"
            assert answer["waits_for"] == "the bus"
            await until(lambda member=member: "still asking, not ready" in member.log())  # type: ignore[misc]
        script.faults.clear()  # it is back
        for member in brokers.processes:
            answer = await status(member, at("full"))
            assert answer["list"] == "bus"
            assert answer["confirmed"]
            assert answer["listed"] == 2
        book = RequestLog("127.0.0.1", brokers.processes[0].port)
        for _ in range(20):
            await book.send_request("", "glance", 2, 4_000 * MS)
        await book.wait_until_idle(HANG)
        assert [a.code for a in book.records] == [frames.SERVED] * 20
        book.close()
    link.stop()
    world.stop()


@on_uvloop
async def test_a_discovery_service_that_accepts_and_stays_silent_is_called_again() -> None:
    world, raw = await world_of("s-1")
    script = FaultSchedule(
        [Fault(0.0, 4.0, "bus", FaultKind.STALL, Direction.BACKWARD)], time.monotonic
    )
    link = FaultyLink("bus", "127.0.0.1", world.discovery_port, script)
    with fleet(2, {**raw, "bus": f"127.0.0.1:{await link.start()}"}) as brokers:
        brokers.start()
        for member in brokers.processes:
            await status(member, at("full"))
        assert len(link.connected_at_s) <= 2 * 8  # not retried as if it were dead
    link.stop()
    world.stop()


@on_uvloop
async def test_a_discovery_service_that_restarts_its_offsets_is_followed_again() -> None:
    bus = ScriptedDiscoveryService()
    engine = Engine()
    port = await engine.start()
    raw = {
        "listen": "",
        "bus": f"127.0.0.1:{await bus.start()}",
        "settings": {**deployments.WAREHOUSE, "fleet_size": 1},
    }
    with fleet(1, raw) as brokers:
        brokers.start()
        await until(lambda: bus.subscriptions)
        bus.publish(topology_event(1, target_entry("s-1", port), full=True))
        for number in range(2, 6):
            bus.publish(topology_event(number))
        await status(brokers.processes[0], ready)
        for beat in (3, 5, 3, 3):  # one beat may be a replica's that lags
            bus.publish(beat)
        await until(lambda: len(bus.subscriptions) == 2)
        assert bus.subscriptions[1] == b"from 0\n"
        bus.publish(
            topology_event(
                1,
                target_entry("s-1", port),
                target_entry("s-2", port + 1, "terminating"),
                target_entry("s-3", 9),
                full=True,
            )
        )
        await status(brokers.processes[0], lambda answer: answer["listed"] == 2)


@on_uvloop
async def test_the_snapshot_serves_idempotent_requests_alone_until_it_is_confirmed(
    tmp_path: Path,
) -> None:
    """An address in the snapshot may be another endpoint's by now."""
    world, raw = await world_of("s-1", "s-2")
    snapshot = tmp_path / "list"
    more = f', last_list = "{snapshot}", installation = "here"'
    raw["settings"] = {**raw["settings"], "classes": deployments.COUNTERS["classes"]}
    await save_a_snapshot(raw, more)
    script = FaultSchedule([Fault(0.0, 5.0, "bus", FaultKind.REJECT)], time.monotonic)
    link = FaultyLink("bus", "127.0.0.1", world.discovery_port, script)
    with fleet(1, {**raw, "bus": f"127.0.0.1:{await link.start()}"}, more) as brokers:
        member = brokers.processes[0]
        brokers.start()
        answer = await status(member, ready)
        assert answer["list"] == "disk"
        assert not answer["confirmed"]
        assert answer["listed"] == 2
        # the settings as they are in the file would let non-idempotent requests go
        member.signal(signal.SIGHUP)
        await until(lambda: "reload: done" in member.log())
        book = RequestLog("127.0.0.1", member.port)
        safe, unsafe = [
            await book.send_request("", route, 2, 4_000 * MS) for route in ("glance", "load")
        ]
        await book.wait_until_idle(HANG)
        assert (safe.code, unsafe.code) == (
            frames.SERVED,
            frames.REFUSED,
        )
        assert unsafe.retry_after_ms >= 0
        await status(member, lambda answer: answer["confirmed"])
        later = await book.send_request("", "load", 2, 4_000 * MS)
        await book.wait_until_idle(HANG)
        assert later.code == frames.SERVED
        book.close()
    link.stop()
    world.stop()


def from_tomorrow() -> str:
    """The clock has been set back between the runs."""
    return encode(
        EndpointSnapshot("", 9, time.time_ns() + 86_400 * 10**9, (target_entry("s-9", 9),))
    )


@pytest.mark.parametrize(
    "content",
    ["", "larchhall-list 1 00\n{}\n", "nonsense", from_tomorrow()],
    ids=["empty", "wrong sum", "no list", "saved tomorrow"],
)
@on_uvloop
async def test_a_bad_snapshot_is_set_aside_and_the_discovery_service_waited_for(
    tmp_path: Path, content: str
) -> None:
    world, raw = await world_of("s-1")
    path = tmp_path / "list"
    path.write_text(content)
    with fleet(1, raw, f', last_list = "{path}"') as brokers:
        brokers.start()
        answer = await status(brokers.processes[0], ready)
        assert answer["list"] == "bus"
        assert "set aside" in brokers.processes[0].log()
        assert (tmp_path / "list.bad").read_text() == content
    assert not path.exists() or path.read_text().startswith("larchhall-list 1 ")
    world.stop()


@on_uvloop
async def test_a_folder_that_cannot_be_written_is_logged_and_harms_nothing(tmp_path: Path) -> None:
    world, raw = await world_of("s-1")
    with fleet(1, raw, f', last_list = "{tmp_path}/none/list"') as brokers:
        brokers.start()
        await status(brokers.processes[0], at("full"))
        await until(lambda: "last list: not kept" in brokers.processes[0].log())
        assert await brokers.processes[0].is_ready()
    world.stop()


@on_uvloop
async def test_a_full_disk_costs_the_snapshot_alone(tmp_path: Path) -> None:
    """The limit on a file's size stands for the disk: each write past it fails, half of it done."""
    world, raw = await world_of("s-1")
    world.discovery.publish(*(target_entry(f"s-{i}", 9, "terminating") for i in range(2, 300)))
    snapshot = tmp_path / "list"
    with fleet(2, raw, f', last_list = "{snapshot}"') as brokers:
        brokers.start()
        for member in brokers.processes:
            assert member.process is not None
            resource.prlimit(member.process.pid, resource.RLIMIT_FSIZE, (8_192, 8_192))
        for member in brokers.processes:
            await status(member, at("full"))
            await until(lambda member=member: "last list: not kept" in member.log())  # type: ignore[misc]
            assert await member.is_ready()
        assert not list(tmp_path.iterdir())  # no half of one is left behind
        brokers.processes[0].signal(signal.SIGTERM)
        assert await asyncio.to_thread(brokers.processes[0].wait, HANG) == 0
    world.stop()


@on_uvloop
async def test_endpoints_that_accept_and_never_answer_delay_no_start() -> None:
    world, raw = await world_of("s-1")
    silent = Engine(lambda *_: None)
    port = await silent.start()
    world.discovery.publish(target_entry("s-2", port), target_entry("s-3", port))
    with fleet(3, raw) as brokers:
        brokers.start()
        for member in brokers.processes:
            answer = await status(member, ready)
            assert "time-out: heard of 1 of 3 only" in str(answer["passed"])
            await status(member, at("full"))
    world.stop()


@pytest.mark.parametrize("configured", [2, 18])  # they are 6
@on_uvloop
async def test_a_fleet_size_wrong_by_three_is_a_rate_or_a_wait_wrong_by_three(
    configured: int,
) -> None:
    world, raw = await world_of("s-1")
    link = FaultyLink("bus", "127.0.0.1", world.discovery_port, FaultSchedule([], time.monotonic))
    raw["settings"] = {**raw["settings"], "fleet_size": configured}
    slow = "start(list_connects = 4, engine_probes = 200, ramp = 1, floor = 0.25)"
    with BrokerFleet(6, {**raw, "bus": f"127.0.0.1:{await link.start()}"}, slow) as brokers:
        brokers.start()
        for member in brokers.processes:
            await status(member, at("full"))
        most = max(
            sum(0 <= other - one < 1.0 for other in link.connected_at_s)
            for one in link.connected_at_s
        )
        assert len(link.connected_at_s) == 6
        assert most <= (4 + 2) * max(1, 6 // configured)
    link.stop()
    world.stop()


@on_uvloop
async def test_half_of_them_killed_in_the_ramp_and_a_paused_one_that_wakes_all_get_there() -> None:
    world, raw = await world_of("s-1", "s-2", "s-3")
    with fleet(4, raw) as brokers:
        brokers.start()
        for member in brokers.processes:
            await status(member, ready)
        for member in brokers.processes[:2]:
            member.kill()
            member.start()
        paused = brokers.processes[3]
        client = RequestLog("127.0.0.1", paused.port)
        in_hand = [
            await client.send_request("", "glance", work, 1_500 * MS)
            for work in (500, 1_000, 60_000)
        ]
        await until(lambda: sum(len(e.machine.running) for e in world.engines.values()) >= 1)
        paused.signal(signal.SIGSTOP)
        world.drain("s-3")  # it sleeps over this
        await asyncio.sleep(2.0)
        paused.signal(signal.SIGCONT)
        await client.wait_until_idle(HANG)
        assert [a.answer_count for a in in_hand] == [1, 1, 1]
        client.close()
        for member in brokers.processes:
            answer = await status(
                member, lambda answer: answer["stage"] == "full" and answer["listed"] == 2
            )
            assert answer["share"] == 1.0
        book = RequestLog("127.0.0.1", paused.port)
        for _ in range(30):
            await book.send_request("", "glance", 2, 4_000 * MS)
        await book.wait_until_idle(HANG)
        assert [a.code for a in book.records] == [frames.SERVED] * 30
        assert world.queries_after_drain(550 * MS) == 0
        book.close()
    world.stop()


@pytest.mark.parametrize("stage", ["list", "contact", "ramp"])
@on_uvloop
async def test_signals_at_every_stage_stop_or_reload_and_hang_nothing(stage: str) -> None:
    world, raw = await world_of("s-1")
    silent = Engine(lambda *_: None)
    port = await silent.start()
    if stage == "list":
        raw["bus"] = "127.0.0.1:9"
    if stage == "contact":
        world.discovery.publish(target_entry("s-2", port), target_entry("s-3", port + 1))
    long = (
        FAST.replace("contact_wait = 0.5", "contact_wait = 30")
        .replace("ramp = 1", "ramp = 60")
        .replace("floor = 0.25{}", "floor = 0.01, contact_part = 0.9")
    )
    with BrokerFleet(1, {**raw, "settings": {**raw["settings"], "fleet_size": 1}}, long) as brokers:
        member = brokers.processes[0]
        brokers.start()
        await status(member, at(stage))
        member.signal(signal.SIGHUP)
        await until(lambda: "reload: " in member.log())
        assert "reload: done" in member.log()
        await status(member, at(stage))
        member.signal(signal.SIGTERM)
        assert await asyncio.to_thread(member.wait, HANG) == 0
    world.stop()


@on_uvloop
async def test_a_flapping_discovery_service_is_called_within_the_rate_and_loses_no_event() -> None:
    world, raw = await world_of("s-1")
    flaps = [Fault(at_, at_ + 1.0, "bus", FaultKind.REJECT) for at_ in (0.0, 2.0, 4.0)]
    resets = [Fault(at_, at_, "bus", FaultKind.RESET) for at_ in (2.0, 4.0)]
    link = FaultyLink(
        "bus", "127.0.0.1", world.discovery_port, FaultSchedule([*flaps, *resets], time.monotonic)
    )
    with fleet(4, {**raw, "bus": f"127.0.0.1:{await link.start()}"}) as brokers:
        brokers.start()
        await asyncio.sleep(3.0)
        world.discovery.publish(
            target_entry("s-2", world.engines["s-1"].port + 1, "terminating"),
            target_entry("s-3", 9),
        )
        for member in brokers.processes:
            await status(member, lambda answer: answer["stage"] == "full" and answer["listed"] == 2)
        assert len(link.connected_at_s) < 100 * link.schedule.now_s() + 4
    link.stop()
    world.stop()


@on_uvloop
async def test_a_discovery_service_slow_to_all_is_waited_for_and_not_called_more_often() -> None:
    world, raw = await world_of("s-1")
    for i in range(60):
        world.discovery.publish(*(target_entry(f"gone-{i}-{j}", 9, "terminated") for j in range(6)))
    size = sum(len(json.dumps(e)) for e in world.discovery.events)
    script = FaultSchedule(
        [Fault(0.0, 60.0, "bus", FaultKind.RATE, Direction.BACKWARD, bytes_per_s=4 * size / 3.0)],
        time.monotonic,
    )
    link = FaultyLink("bus", "127.0.0.1", world.discovery_port, script)
    with fleet(4, {**raw, "bus": f"127.0.0.1:{await link.start()}"}) as brokers:
        brokers.start()
        for member in brokers.processes:
            await status(member, lambda answer: answer["stage"] == "full" and answer["listed"] == 1)
        await until(lambda: link.counts["back"] >= 4 * size)
        assert len(link.connected_at_s) <= 8
    link.stop()
    world.stop()


@on_uvloop
async def test_new_clients_and_new_connections_to_endpoints_are_admitted_one_by_one() -> None:
    """A front end that finds a broker again hands it everything at once."""
    world, raw = await world_of("s-1")
    came: list[float] = []
    world.engines["s-1"].connection_observer = came.append
    script = FAST.replace("ramp = 1", "ramp = 60").format(", accepts = 20, engine_connects = 4")
    with BrokerFleet(
        2, {**raw, "settings": {**raw["settings"], "fleet_size": 2}}, script
    ) as brokers:
        brokers.start()
        member = brokers.processes[0]
        await status(member, ready)
        clients = [RequestLog("127.0.0.1", member.port) for _ in range(30)]
        begun = time.monotonic()
        for book in clients:
            await book.send_request("", "glance", 1, 8_000 * MS)
        for book in clients:
            await book.wait_until_idle(HANG)
        assert all(a.answer_count == 1 for book in clients for a in book.records)
        answered = sorted(a.answered_ns for book in clients for a in book.records)
        assert answered[-1] - answered[0] > 0.1e9
        assert time.monotonic() - begun < HANG
        text = (await asyncio.to_thread(member.call_admin_api, "/metrics"))[1].decode()
        assert 'edge_proxy_start_seconds{stage="contact"}' in text
        assert "edge_proxy_start_share" in text
        for book in clients:
            book.close()
    assert len([t for t in came if t < begun + 0.2]) <= 12
    world.stop()


@on_uvloop
async def test_with_cells_each_cell_ramps_and_serves() -> None:
    world, raw = await world_of("s-1", "s-2")
    raw["settings"] = {
        **raw["settings"],
        "fleet_size": 1,
        "tenants": [{"name": "acme"}, {"name": "other"}],
    }
    cells = (
        '\nepoch(1)\ncell("a", engines = ["s-1"])\ncell("b", engines = ["s-2"])\n'
        'default_cell("a")\n'
        'tenant("other", cell = "b")'
    )
    with BrokerFleet(1, raw, FAST.format("") + cells) as brokers:
        brokers.start()
        member = brokers.processes[0]
        answer = await status(member, at("ramp"))
        assert answer["listed"] == 2
        assert (await asyncio.to_thread(member.call_admin_api, "/cells"))[0] == 200
        book = RequestLog("127.0.0.1", member.port)
        for part in range(2):
            for i in range(20):
                await book.send_request(("acme", "other")[i % 2], "glance", 2, 4_000 * MS)
            await book.wait_until_idle(HANG)
            if part == 0:  # what does not fit while it ramps is refused at once
                assert {a.code for a in book.records} <= {frames.SERVED, frames.REFUSED}
                await status(member, at("full"))
        assert {a.code for a in book.records[20:]} == {frames.SERVED}
        book.close()
    assert all(e.received for e in world.engines.values())
    world.stop()


@on_uvloop
async def test_an_address_reassigned_while_all_were_down_gets_idempotent_requests_alone(
    tmp_path: Path,
) -> None:
    world, raw = await world_of("s-1")
    snapshot = tmp_path / "list"
    more = f', last_list = "{snapshot}"'
    raw["settings"] = {**raw["settings"], "classes": deployments.COUNTERS["classes"]}
    await save_a_snapshot(raw, more)
    port = world.engines["s-1"].port  # listens still, and is another engine now
    script = FaultSchedule([Fault(0.0, 2.0, "bus", FaultKind.REJECT)], time.monotonic)
    link = FaultyLink("bus", "127.0.0.1", world.discovery_port, script)
    world.discovery.publish(
        {**world.discovery.targets["s-1"], "state": "terminated"}, target_entry("s-9", port)
    )
    with fleet(1, {**raw, "bus": f"127.0.0.1:{await link.start()}"}, more) as brokers:
        member = brokers.processes[0]
        brokers.start()
        await status(member, ready)
        book = RequestLog("127.0.0.1", member.port)
        requests = [await book.send_request("", "load", 2, 4_000 * MS) for _ in range(5)]
        await book.wait_until_idle(HANG)
        assert [request.code for request in requests] == [frames.REFUSED] * 5
        assert not [
            run for run in world.engines["s-1"].machine.ledger if run.request_class == b"load"
        ]
        await status(member, lambda answer: answer["confirmed"] and answer["listed"] == 1)
        later = await book.send_request("", "load", 2, 4_000 * MS)
        await book.wait_until_idle(HANG)
        assert later.code == frames.SERVED
        book.close()
    link.stop()
    world.stop()


@on_uvloop
async def test_all_endpoints_and_all_brokers_starting_at_once_overload_nothing() -> None:
    world = EmulatedCluster()
    await world.start("s-0")
    await world.add("s-1", "s-2", "s-3", cold=True)
    world.terminate("s-0")
    raw = broker_config(world, "127.0.0.1:1", **{**deployments.WAREHOUSE, "fleet_size": 4})
    del raw["known"]
    with fleet(4, raw) as brokers:
        brokers.start()
        clients = []
        for member in brokers.processes:
            await status(member, ready)
            clients.append(RequestLog("127.0.0.1", member.port))
        for _ in range(40):
            for book in clients:
                await book.send_request("", "glance", 200, 4_000 * MS)
            await asyncio.sleep(0.05)
        for book in clients:
            await book.wait_until_idle(HANG)
        requests = [request for book in clients for request in book.records]
        assert not [request for request in requests if request.answer_count != 1]
        assert not any(e.machine.crashed for e in world.engines.values())
        assert sum(request.code == frames.SERVED for request in requests) > 20
        for book in clients:
            book.close()
    world.stop()


@on_uvloop
async def test_a_cut_in_one_way_stalls_that_way_alone_and_partitions_name_their_links() -> None:
    """The emulated link itself."""

    async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(100):
            received.append(data)
            writer.write(data)

    received: list[bytes] = []
    server = await asyncio.start_server(echo, "127.0.0.1", 0)
    now = 0.0
    script = FaultSchedule(
        [Fault(0.0, 1.0, "a-b", FaultKind.STALL, Direction.BACKWARD)], lambda: now
    )
    link = FaultyLink("a-b", "127.0.0.1", server.sockets[0].getsockname()[1], script)
    reader, writer = await asyncio.open_connection("127.0.0.1", await link.start())
    writer.write(b"x")
    await until(lambda: received)
    assert link.counts["back"] == 0
    now = 2.0
    assert await asyncio.wait_for(reader.read(1), HANG) == b"x"
    assert {f.link_pattern for f in partition_faults(0, 1, ["a"], ["b", "c"])} == {
        "a-b",
        "a-c",
        "b-a",
        "c-a",
    }
    link.stop()
    server.close()


def test_check_config_prints_the_rates_of_this_fleet(tmp_path: Path) -> None:
    env = write_config(tmp_path, settings={**deployments.WAREHOUSE, "fleet_size": 300, "me": 7})
    script = tmp_path / "ops.star"
    script.write_text("start(list_connects = 100)")
    done = CliRunner().invoke(main, ["check-config", "--operator-file", str(script)], env=env)
    assert done.exit_code == 0
    assert "place 7 of 300" in done.output
    assert "3.00 s at the most" in done.output


@on_uvloop
async def test_start_show_prints_stage_by_stage() -> None:
    world, raw = await world_of("s-1")
    with fleet(1, raw) as brokers:
        brokers.start()
        member = brokers.processes[0]
        await status(member, at("full"))
        address = f"127.0.0.1:{member.admin_port}"
        arguments = ["start", "show", "--address", address]
        shown = await asyncio.to_thread(CliRunner().invoke, main, arguments)
        assert shown.exit_code == 0
        assert "contact" in shown.output
        assert "full *" in shown.output
        printed = await asyncio.to_thread(CliRunner().invoke, main, [*arguments, "--json"])
        passed = [p["stage"] for p in json.loads(printed.output)["passed"]]
        assert passed == ["settings", "list", "contact", "ramp"]
    assert all(m.process.poll() is not None for m in brokers.processes)
    assert not os.path.exists(member.folder)
    world.stop()
