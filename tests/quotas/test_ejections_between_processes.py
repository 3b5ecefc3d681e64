"""Ejections and overrides shared by several real processes, with faults between them."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Collection
from pathlib import Path

import pytest

from query_broker.decisions.facade import AttemptResult
from query_broker.emulator.clients import RequestLog
from query_broker.emulator.cluster import MS, EmulatedCluster
from query_broker.emulator.data_engine import ScriptedEngine
from query_broker.emulator.discovery_service import target_entry
from query_broker.emulator.faulty_links import partition_faults
from query_broker.outlier_consensus.messages import (
    Endpoint,
    Observation,
    ObserverReport,
    ObserverReports,
)
from query_broker.outlier_consensus.service import OutlierConsensusService
from query_broker.outlier_consensus.settings import OutlierConsensusSettings, gossip_rounds
from query_broker.protocols import resp

from ..support.member_processes import MemberProcesses
from ..support.sockets import HANG, make_config, on_uvloop, running, until
from .broker_processes import LONG_S, POLL_INTERVAL_S, Status, invoke, send_queries, sharing_fleet
from .fake_node import FakeMembership

pytestmark = pytest.mark.real_time


def fail_queries(
    endpoint: ScriptedEngine, parts: list[bytes], writer: asyncio.StreamWriter
) -> None:
    """Fail every query, and answer health checks."""
    if parts[0] == b"do":
        writer.write(resp.encode(parts[1], b"crashed", b"-", b""))
    elif parts[0] in (b"top", b"ping"):
        writer.write(resp.encode(parts[1], b"green", b"meter=inflight:0", b""))


async def consensus_status(peers: MemberProcesses, number: int) -> Status:
    try:
        status: Status = await asyncio.to_thread(peers.fleet.processes[number].status, "/verdicts")
    except OSError:
        return {"verdicts": [], "words": [], "lost": []}
    return status


async def until_consensus(
    peers: MemberProcesses, condition: Callable[[Status], bool], numbers: Collection[int] = range(5)
) -> None:
    """Wait until a condition holds for the status of each of the brokers."""
    deadline = time.monotonic() + HANG
    for number in numbers:
        while not condition(status := await consensus_status(peers, number)):
            log = peers.fleet.processes[number].log()
            assert time.monotonic() < deadline, f"n{number}: {status}\n{log}"
            await asyncio.sleep(POLL_INTERVAL_S)


def override_is(uid: str, value: str) -> Callable[[Status], bool]:
    """Return whether the one override of an endpoint has a value."""
    return lambda status: [
        override["word"] for override in status["words"] if override["uid"] == uid
    ] == [value]


def has_value(key: str, value: str) -> Callable[[Status], bool]:
    """Return whether one of the overrides under a key of the status has a value."""
    return lambda status: value in [override["word"] for override in status[key]]


async def eject_on_evidence_of_two(peers: MemberProcesses, failing_engine: ScriptedEngine) -> None:
    """Let two brokers meet failures; another one then sends nothing to the failing endpoint."""
    stop = asyncio.Event()
    loads = [asyncio.create_task(send_queries(peers, number, 30, stop)) for number in (0, 1)]
    await until_consensus(
        peers, lambda status: [ejection["uid"] for ejection in status["verdicts"]] == ["bad"]
    )
    queries_before = len(failing_engine.commands_named(b"do"))
    request_log = RequestLog("127.0.0.1", peers.fleet.processes[3].port)
    for _ in range(30):
        await request_log.send_request("acme", "glance", 1, 4_000 * MS)
        await asyncio.sleep(0.02)
    await request_log.wait_until_idle(HANG)
    assert {request.code for request in request_log.records} == {0}
    assert len(failing_engine.commands_named(b"do")) == queries_before
    stop.set()
    for load in loads:
        (await load).close()
    request_log.close()


async def override_on_both_sides_of_a_partition(peers: MemberProcesses) -> None:
    """Let two operators override one endpoint: all come to the same, and the loser is shown."""
    peers.spoil(LONG_S, *partition_faults(0, 0, ["n0", "n1", "n2"], ["n3", "n4"]))
    one = peers.fleet.processes[0]
    other = peers.fleet.processes[4]
    assert (await asyncio.to_thread(one.call_admin_api, "/verdicts/pin/s-2", "POST"))[0] == 200
    assert (await asyncio.to_thread(other.call_admin_api, "/verdicts/out/s-2", "POST"))[0] == 200
    assert (await asyncio.to_thread(other.call_admin_api, "/verdicts/out/none", "POST"))[0] == 404
    await until_consensus(peers, has_value("words", "pinned"), (1, 2))
    peers.heal()
    await until_consensus(peers, override_is("s-2", "out"))
    await until_consensus(peers, has_value("lost", "pinned"), (0, 1, 2))


async def clear_and_show(peers: MemberProcesses) -> None:
    address = f"127.0.0.1:{peers.fleet.processes[0].admin_port}"
    cleared = await invoke("verdicts", "clear", "s-2", "--address", address)
    assert cleared.exit_code == 0
    await until_consensus(peers, override_is("s-2", "back"))
    shown = await invoke("verdicts", "show", "--address", address)
    assert shown.exit_code == 0
    assert "bad for all" in shown.output
    assert "no, another did" in shown.output


@on_uvloop
async def test_all_act_on_what_two_observed_and_overrides_stand_above_it(tmp_path: Path) -> None:
    """Three brokers have no traffic at all, and eject what two others have found to fail."""
    cluster = EmulatedCluster()
    await cluster.start("s-1", "s-2", "s-3")
    failing_engine = ScriptedEngine(fail_queries)
    port = await failing_engine.start()
    cluster.discovery.publish(target_entry("bad", port))
    async with sharing_fleet(5, tmp_path, cluster) as peers:
        await eject_on_evidence_of_two(peers, failing_engine)
        await override_on_both_sides_of_a_partition(peers)
        peers.fleet.processes[2].kill()
        peers.fleet.processes[2].start()
        await until_consensus(peers, has_value("words", "out"), [2])  # one that joins later
        await clear_and_show(peers)
        assert not [member for member in peers.fleet.processes if " fault: " in member.log()]
    failing_engine.server.close()
    cluster.stop()


@on_uvloop
async def test_first_to_eject_keeps_its_failures_until_all_have_received_them() -> None:
    """A success of its health check would replace the failures in its report before others have
    received them: no ejection of theirs would ever rest on two observers.
    """
    failing_engine = ScriptedEngine(fail_queries)
    async with running(make_config(target_entry("bad", await failing_engine.start()))) as rig:
        clock = rig.node.clock
        consensus_settings = OutlierConsensusSettings(
            observers=2, failures=2, max_ejected_fraction=1.0
        )
        membership = FakeMembership("n0", "n1", "n2")
        service = OutlierConsensusService(rig.node, membership, consensus_settings)
        number = rig.node.dispatcher.endpoint_table.by_uid["bad"].number
        for _ in range(2):
            service.attempt_ended(number, AttemptResult.ERROR)
        observation = Observation(Endpoint("bad", 0), 2, 0, 0, -1)
        service.observations.receive(
            clock.now(),
            ObserverReports((ObserverReport("n1", "east", 1, 0, (observation,)),)),
            membership.names(),
        )
        clock.anchor += consensus_settings.gossip_interval_ns
        service._tick()
        assert [endpoint.uid for endpoint in service.consensus.ejections] == ["bad"]
        service.health_check_ended(number, AttemptResult.SERVED)  # of one that was under way
        service._tick()
        own = service.observations.write_report(clock.now()).observations[0]
        assert (own.failures, own.successes) == (2, 0)
        assert not failing_engine.commands_named(b"top")
        clock.anchor += gossip_rounds(3) * consensus_settings.gossip_interval_ns
        service._tick()
        await until(
            lambda: service.observations.write_report(clock.now()).observations[0].successes
        )
        assert failing_engine.commands_named(b"top")
        assert service.consensus.ejections  # for as long as it was to last
    failing_engine.server.close()
