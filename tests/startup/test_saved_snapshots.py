"""Starts from the endpoint snapshot on disk, with unusable snapshots and failing disks."""

from __future__ import annotations

import asyncio
import resource
import signal
import time
from pathlib import Path

import pytest

from query_broker.emulator.clients import RequestLog
from query_broker.emulator.cluster import MS
from query_broker.emulator.discovery_service import target_entry
from query_broker.emulator.faulty_links import Fault, FaultKind
from query_broker.emulator.processes import BrokerProcess
from query_broker.protocols import client_frames as frames
from query_broker.startup.endpoint_snapshot import EndpointSnapshot, encode

from ..support import deployments
from ..support.sockets import HANG_TIMEOUT_S, on_uvloop, until
from .broker_processes import (
    discovery_link,
    emulated_cluster,
    fast_fleet,
    is_at_stage,
    is_ready,
    make_raw_config,
    save_snapshot,
    wait_for_status,
)

pytestmark = pytest.mark.real_time

CLASSES = deployments.COUNTERS["classes"]


async def wait_for_log(broker: BrokerProcess, text: str) -> None:
    """Wait until the log of the broker contains a text."""
    await until(lambda: text in broker.log())


@on_uvloop
async def test_unconfirmed_snapshot_serves_only_idempotent_requests(
    tmp_path: Path,
) -> None:
    """An address in the snapshot may have been reassigned to another endpoint."""
    options = f', last_list = "{tmp_path / "list"}", installation = "here"'
    down = Fault(0.0, 5.0, "bus", FaultKind.REJECT)
    async with emulated_cluster("s-1", "s-2") as cluster:
        await save_snapshot(make_raw_config(cluster, classes=CLASSES), options)
        async with discovery_link(cluster, down) as link:
            raw_config = make_raw_config(cluster, link, classes=CLASSES)
            with fast_fleet(1, raw_config, options) as brokers:
                broker = brokers.processes[0]
                brokers.start()
                status = await wait_for_status(broker, is_ready)
                assert status["list"] == "disk"
                assert not status["confirmed"]
                assert status["listed"] == 2
                # The reload must not lift the restriction to idempotent requests.
                broker.signal(signal.SIGHUP)
                await wait_for_log(broker, "reload: done")
                request_log = RequestLog("127.0.0.1", broker.port)
                lookup = await request_log.send_request("", "glance", 2, 4_000 * MS)
                load = await request_log.send_request("", "load", 2, 4_000 * MS)
                await request_log.wait_until_idle(HANG_TIMEOUT_S)
                assert lookup.code == frames.SERVED
                assert load.code == frames.REFUSED
                assert load.retry_after_ms >= 0
                await wait_for_status(broker, lambda status: status["confirmed"])
                later_load = await request_log.send_request("", "load", 2, 4_000 * MS)
                await request_log.wait_until_idle(HANG_TIMEOUT_S)
                assert later_load.code == frames.SERVED
                request_log.close()


@on_uvloop
async def test_reassigned_address_receives_only_idempotent_requests(
    tmp_path: Path,
) -> None:
    options = f', last_list = "{tmp_path / "list"}"'
    down = Fault(0.0, 2.0, "bus", FaultKind.REJECT)
    async with emulated_cluster("s-1") as cluster:
        await save_snapshot(make_raw_config(cluster, classes=CLASSES), options)
        former = cluster.engines["s-1"]  # still listens, now as another engine
        async with discovery_link(cluster, down) as link:
            cluster.discovery.publish(
                {**cluster.discovery.targets["s-1"], "state": "terminated"},
                target_entry("s-9", former.port),
            )
            raw_config = make_raw_config(cluster, link, classes=CLASSES)
            with fast_fleet(1, raw_config, options) as brokers:
                broker = brokers.processes[0]
                brokers.start()
                await wait_for_status(broker, is_ready)
                request_log = RequestLog("127.0.0.1", broker.port)
                loads = [
                    await request_log.send_request("", "load", 2, 4_000 * MS) for _ in range(5)
                ]
                await request_log.wait_until_idle(HANG_TIMEOUT_S)
                assert [load.code for load in loads] == [frames.REFUSED] * 5
                assert not [run for run in former.machine.ledger if run.request_class == b"load"]
                await wait_for_status(
                    broker, lambda status: status["confirmed"] and status["listed"] == 1
                )
                later_load = await request_log.send_request("", "load", 2, 4_000 * MS)
                await request_log.wait_until_idle(HANG_TIMEOUT_S)
                assert later_load.code == frames.SERVED
                request_log.close()


def snapshot_from_tomorrow() -> str:
    """Return a snapshot as left by a run after which the clock was set back."""
    tomorrow_ns = time.time_ns() + 86_400 * 10**9
    return encode(EndpointSnapshot("", 9, tomorrow_ns, (target_entry("s-9", 9),)))


@pytest.mark.parametrize(
    "content",
    [
        pytest.param("", id="empty"),
        pytest.param("larchhall-list 1 00\n{}\n", id="wrong checksum"),
        pytest.param("nonsense", id="no header line"),
        pytest.param(snapshot_from_tomorrow(), id="saved tomorrow"),
    ],
)
@on_uvloop
async def test_unusable_snapshot_is_renamed_and_the_start_waits_for_discovery(
    tmp_path: Path, content: str
) -> None:
    snapshot = tmp_path / "list"
    snapshot.write_text(content)
    async with emulated_cluster("s-1") as cluster:
        with fast_fleet(1, make_raw_config(cluster), f', last_list = "{snapshot}"') as brokers:
            brokers.start()
            status = await wait_for_status(brokers.processes[0], is_ready)
            assert status["list"] == "bus"
            assert "set aside" in brokers.processes[0].log()
            assert (tmp_path / "list.bad").read_text() == content
        assert not snapshot.exists() or snapshot.read_text().startswith("larchhall-list 1 ")


@on_uvloop
async def test_unwritable_folder_is_logged_and_the_broker_serves(tmp_path: Path) -> None:
    options = f', last_list = "{tmp_path}/none/list"'
    async with emulated_cluster("s-1") as cluster:
        with fast_fleet(1, make_raw_config(cluster), options) as brokers:
            broker = brokers.processes[0]
            brokers.start()
            await wait_for_status(broker, is_at_stage("full"))
            await wait_for_log(broker, "endpoint snapshot: not saved")
            assert await broker.is_ready()


@on_uvloop
async def test_full_disk_only_prevents_saving_the_snapshot(tmp_path: Path) -> None:
    """A limit on the file size simulates the full disk: a write beyond it is partial and fails."""
    options = f', last_list = "{tmp_path / "list"}"'
    async with emulated_cluster("s-1") as cluster:
        uids = [f"s-{number}" for number in range(2, 300)]
        cluster.discovery.publish(*(target_entry(uid, 9, "terminating") for uid in uids))
        with fast_fleet(2, make_raw_config(cluster), options) as brokers:
            brokers.start()
            for broker in brokers.processes:
                assert broker.process is not None
                resource.prlimit(broker.process.pid, resource.RLIMIT_FSIZE, (8_192, 8_192))
            for broker in brokers.processes:
                await wait_for_status(broker, is_at_stage("full"))
                await wait_for_log(broker, "endpoint snapshot: not saved")
                assert await broker.is_ready()
            assert not list(tmp_path.iterdir())  # no partial file is left behind
            brokers.processes[0].signal(signal.SIGTERM)
            assert await asyncio.to_thread(brokers.processes[0].wait, HANG_TIMEOUT_S) == 0
