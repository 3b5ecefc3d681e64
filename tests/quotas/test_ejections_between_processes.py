"""Ejections and overrides shared by several broker processes, with network faults."""

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
from ..support.sockets import HANG_TIMEOUT_S, make_config, on_uvloop, running, until
from .broker_processes import (
    FAULT_DURATION_S,
    POLL_INTERVAL_S,
    Status,
    invoke,
    send_queries,
    started_broker_fleet,
)
from .fake_node import FakeMembership

pytestmark = pytest.mark.real_time


def fail_queries(
    endpoint: ScriptedEngine, parts: list[bytes], writer: asyncio.StreamWriter
) -> None:
    """Answer every query with a failure, and health checks with success."""
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


async def wait_for_consensus_status(
    peers: MemberProcesses, condition: Callable[[Status], bool], numbers: Collection[int] = range(5)
) -> None:
    """Wait until the condition holds for the consensus status of each of the brokers."""
    deadline = time.monotonic() + HANG_TIMEOUT_S
    for number in numbers:
        while not condition(status := await consensus_status(peers, number)):
            log = peers.fleet.processes[number].log()
            assert time.monotonic() < deadline, f"n{number}: {status}\n{log}"
            await asyncio.sleep(POLL_INTERVAL_S)


def only_override_has_value(uid: str, value: str) -> Callable[[Status], bool]:
    """Return a condition: the endpoint has exactly one override, with this value."""
    return lambda status: [
        override["word"] for override in status["words"] if override["uid"] == uid
    ] == [value]


def some_override_has_value(key: str, value: str) -> Callable[[Status], bool]:
    """Return a condition: some override under this key of the status has the value."""
    return lambda status: value in [override["word"] for override in status[key]]


async def check_ejection_by_two_observers(
    peers: MemberProcesses, failing_engine: ScriptedEngine
) -> None:
    """Check that a third broker does not use an endpoint that failed for two others."""
    stop = asyncio.Event()
    loads = [asyncio.create_task(send_queries(peers, number, 30, stop)) for number in (0, 1)]
    await wait_for_consensus_status(
        peers, lambda status: [ejection["uid"] for ejection in status["verdicts"]] == ["bad"]
    )
    queries_before = len(failing_engine.commands_named(b"do"))
    request_log = RequestLog("127.0.0.1", peers.fleet.processes[3].port)
    for _ in range(30):
        await request_log.send_request("acme", "glance", 1, 4_000 * MS)
        await asyncio.sleep(0.02)
    await request_log.wait_until_idle(HANG_TIMEOUT_S)
    assert {request.code for request in request_log.records} == {0}
    assert len(failing_engine.commands_named(b"do")) == queries_before
    stop.set()
    for load in loads:
        (await load).close()
    request_log.close()


async def check_concurrent_overrides_in_a_partition(peers: MemberProcesses) -> None:
    """Check that overrides from both sides of a partition merge, and that the loser is shown."""
    peers.inject_faults(FAULT_DURATION_S, *partition_faults(0, 0, ["n0", "n1", "n2"], ["n3", "n4"]))
    one = peers.fleet.processes[0]
    other = peers.fleet.processes[4]
    assert (await asyncio.to_thread(one.call_admin_api, "/verdicts/pin/s-2", "POST"))[0] == 200
    assert (await asyncio.to_thread(other.call_admin_api, "/verdicts/out/s-2", "POST"))[0] == 200
    assert (await asyncio.to_thread(other.call_admin_api, "/verdicts/out/none", "POST"))[0] == 404
    await wait_for_consensus_status(peers, some_override_has_value("words", "pinned"), (1, 2))
    peers.clear_faults()
    await wait_for_consensus_status(peers, only_override_has_value("s-2", "out"))
    await wait_for_consensus_status(peers, some_override_has_value("lost", "pinned"), (0, 1, 2))


async def check_clear_and_show_commands(peers: MemberProcesses) -> None:
    address = f"127.0.0.1:{peers.fleet.processes[0].admin_port}"
    cleared = await invoke("verdicts", "clear", "s-2", "--address", address)
    assert cleared.exit_code == 0
    await wait_for_consensus_status(peers, only_override_has_value("s-2", "back"))
    shown = await invoke("verdicts", "show", "--address", address)
    assert shown.exit_code == 0
    assert "bad for all" in shown.output
    assert "no, another did" in shown.output


@on_uvloop
async def test_all_brokers_eject_on_two_observers_and_overrides_take_precedence(
    tmp_path: Path,
) -> None:
    """Three brokers without traffic eject the endpoint that failed for the two others."""
    cluster = EmulatedCluster()
    await cluster.start("s-1", "s-2", "s-3")
    failing_engine = ScriptedEngine(fail_queries)
    port = await failing_engine.start()
    cluster.discovery.publish(target_entry("bad", port))
    async with started_broker_fleet(5, tmp_path, cluster) as peers:
        await check_ejection_by_two_observers(peers, failing_engine)
        await check_concurrent_overrides_in_a_partition(peers)
        peers.fleet.processes[2].kill()
        peers.fleet.processes[2].start()
        # The restarted broker receives the override from the others.
        await wait_for_consensus_status(peers, some_override_has_value("words", "out"), [2])
        await check_clear_and_show_commands(peers)
        assert not [member for member in peers.fleet.processes if " fault: " in member.log()]
    failing_engine.server.close()
    cluster.stop()


@on_uvloop
async def test_first_ejecting_broker_reports_failures_until_all_received_them() -> None:
    """A successful health check must not replace the failures in the first broker's report before
    the others have received them: they would then never have two observers for an ejection.
    """
    failing_engine = ScriptedEngine(fail_queries)
    async with running(make_config(target_entry("bad", await failing_engine.start()))) as harness:
        clock = harness.node.clock
        consensus_settings = OutlierConsensusSettings(
            observers=2, failures=2, max_ejected_fraction=1.0
        )
        membership = FakeMembership("n0", "n1", "n2")
        service = OutlierConsensusService(harness.node, membership, consensus_settings)
        number = harness.node.dispatcher.endpoint_table.by_uid["bad"].number
        for _ in range(2):
            service.attempt_ended(number, AttemptResult.ERROR)
        observation = Observation(Endpoint("bad", 0), 2, 0, 0, -1)
        service.observations.receive(
            clock.now(),
            ObserverReports((ObserverReport("n1", "east", 1, 0, (observation,)),)),
            membership.names(),
        )
        clock.unix_offset_ns += consensus_settings.gossip_interval_ns
        service._tick()
        assert [endpoint.uid for endpoint in service.consensus.ejections] == ["bad"]
        service.health_check_ended(number, AttemptResult.SERVED)  # a check that was already running
        service._tick()
        own = service.observations.write_report(clock.now()).observations[0]
        assert (own.failures, own.successes) == (2, 0)
        assert not failing_engine.commands_named(b"top")
        clock.unix_offset_ns += gossip_rounds(3) * consensus_settings.gossip_interval_ns
        service._tick()
        await until(
            lambda: service.observations.write_report(clock.now()).observations[0].successes
        )
        assert failing_engine.commands_named(b"top")
        assert service.consensus.ejections  # until its minimum duration has passed
    failing_engine.server.close()
