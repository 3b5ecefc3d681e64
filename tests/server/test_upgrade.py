"""Two processes of one broker: the inherited socket, the status that they exchange, and the
handover.
"""

from __future__ import annotations

import asyncio
import fcntl
import os
import socket
import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from query_broker import decisions as api
from query_broker.config import Config
from query_broker.discovery.event_codec import parse_event
from query_broker.protocols import client_frames as frames
from query_broker.server.peer_process import PeerProcesses
from query_broker.server.process_status import StatusFormatError, status_from_fields

from ..support.helpers import MS, Harness, S, entry, make_settings, query_class
from ..support.sockets import (
    ROOT,
    Engine,
    Rig,
    make_config,
    on_uvloop,
    running,
    target_entry,
    topology_event,
    until,
    within,
    write_config,
)

pytestmark = pytest.mark.real_time


@asynccontextmanager
async def co_process(config: Config, listener: socket.socket, folder: Path) -> AsyncIterator[Rig]:
    """A process of the broker on the platform's socket."""
    async with running(
        replace(config, accept_fd=os.dup(listener.fileno()), folder=str(folder))
    ) as rig:
        yield rig


def peer_processes(rig: Rig) -> PeerProcesses:
    assert rig.node.peer_processes is not None
    return rig.node.peer_processes


async def meet(*rigs: Rig) -> None:
    await until(lambda: all(peer_processes(rig).others for rig in rigs))


@on_uvloop
async def test_an_endpoint_disabled_or_enabled_at_one_process_is_so_at_the_other(
    tmp_path: Path,
) -> None:
    engine = Engine()
    config = make_config(target_entry("s-1", await engine.start()), operator=True)
    with socket.create_server(("127.0.0.1", 0)) as listener:
        async with co_process(config, listener, tmp_path) as old:
            assert old.node.admin_api.set_endpoint_disabled("s-1", disabled=True)
            async with co_process(config, listener, tmp_path) as new:
                assert new.node.dispatcher.administrative_states.is_disabled(
                    "s-1"
                )  # before it serves anybody
                assert new.node.dispatcher.facade.avoided_endpoints() == 1
                await meet(old, new)
                assert new.node.admin_api.set_endpoint_disabled("s-1", disabled=False)
                await until(
                    lambda: not old.node.dispatcher.administrative_states.is_disabled("s-1")
                )
                (known,) = old.node.dispatcher.facade.controller.endpoints.values()
                assert known.warmup_ends_ns > old.node.clock.now()
                assert old.node.admin_api.set_endpoint_disabled("s-1", disabled=True)
                await until(lambda: new.node.dispatcher.administrative_states.is_disabled("s-1"))


@on_uvloop
async def test_at_sigterm_the_old_process_leaves_its_queue_and_serves_what_is_in_flight(
    tmp_path: Path,
) -> None:
    """A shutdown of the shared socket would end it for the new process and the platform."""
    engine = Engine(lambda *_: None)
    config = make_config(target_entry("s-1", await engine.start()))
    with socket.create_server(("127.0.0.1", 0)) as listener:
        async with co_process(config, listener, tmp_path) as old:
            client = await old.client()
            client.ask(stream=1)
            await until(lambda: engine.commands_named(b"do"))
            async with co_process(config, listener, tmp_path) as new:
                await meet(old, new)
                old.node.shutdown.begin()
                assert await client.frame() == (frames.NO_MORE, 0, b"")
                client.ask(stream=2, trace="2" * 16)  # it crossed the message to leave
                await until(lambda: len(engine.commands_named(b"do")) == 2)
                newcomers = [await new.client() for _ in range(5)]
                await until(lambda: len(new.node.clients) == 5)
                assert not old.node.ready()
                assert not peer_processes(old).accepting
                assert len(old.node.clients) == 1
                for do in engine.commands_named(b"do"):
                    engine.answer_served(do, engine.writer_of(do))
                assert {(await client.answer())[:2] for _ in "12"} == {
                    (1, frames.SERVED),
                    (2, frames.SERVED),
                }
                await within(old.node.stopped.wait())
                newcomers[0].ask(trace="3" * 16)
                await until(lambda: len(engine.commands_named(b"do")) == 3)
                await until(lambda: not peer_processes(new).others)
        assert not os.listdir(tmp_path)
        (await asyncio.open_connection(*listener.getsockname()))[1].close()  # it listens still


@on_uvloop
async def test_a_process_alone_on_an_inherited_socket_accepts_connections_after_sigterm(
    tmp_path: Path,
) -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        async with co_process(make_config(target_entry("s-1", 9)), listener, tmp_path) as rig:
            rig.node.shutdown.begin()
            assert rig.node.ready()
            assert rig.node.server is not None
            assert rig.node.server.is_serving()


@on_uvloop
async def test_a_process_without_an_endpoint_list_is_no_successor(tmp_path: Path) -> None:
    """The old one would leave the queue to a process that can serve none of it."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        async with co_process(make_config(target_entry("s-1", 9)), listener, tmp_path) as old:
            async with co_process(make_config(listed=False), listener, tmp_path) as new:
                await meet(old, new)
                assert not peer_processes(old).has_successor()
                new.node.endpoint_list_changed(
                    parse_event(topology_event(2, target_entry("s-1", 9)))
                )
                peer_processes(old).poll()
                assert peer_processes(old).has_successor()


@on_uvloop
async def test_limits_are_divided_while_two_processes_are_alive_and_restored_after_that(
    tmp_path: Path,
) -> None:
    config = make_config(target_entry("s-1", 9), operator=True)
    with socket.create_server(("127.0.0.1", 0)) as listener:
        async with co_process(config, listener, tmp_path) as old:
            undivided = (
                old.node.admission.max_connections,
                old.node.dispatcher.pools.max_connections,
                old.node.dispatcher.statement_capacity_bytes,
            )
            async with co_process(config, listener, tmp_path) as new:
                await meet(old, new)
                for rig in (old, new):
                    assert rig.node.dispatcher.pools.max_connections <= undivided[1] // 2
                    assert rig.node.dispatcher.statement_capacity_bytes < undivided[2]
            await until(lambda: not peer_processes(old).others)
            assert (
                old.node.admission.max_connections,
                old.node.dispatcher.pools.max_connections,
                old.node.dispatcher.statement_capacity_bytes,
            ) == undivided
            broker = old.node.dispatcher
            broker.divide(2, 42)
            # two reserves
            assert broker.max_clients + 42 + 2 * broker.pools.max_connections <= config.sockets - 90
            broker.config = replace(broker.config, sockets=64)
            broker.divide(3, 60)  # the least limit, divided, must leave a part for clients
            assert broker.max_clients >= 7
            assert broker.pools.max_connections >= 4


@on_uvloop
async def test_idle_engine_connections_past_the_divided_limit_end(tmp_path: Path) -> None:
    """They count until their loss is reported; a loop that waits for that stands still for good."""
    engine = Engine(lambda *_: None)
    async with running(make_config(target_entry("s-1", await engine.start()))) as rig:
        client = await rig.client()
        pools = rig.node.dispatcher.pools
        for stream in range(1, 13):
            client.ask(stream=stream, trace=f"{stream:016x}")
        await until(lambda: len(engine.commands_named(b"do")) == 12)
        for do in engine.commands_named(b"do"):
            engine.answer_served(do, engine.writer_of(do))
            await client.answer()
        open_connections = pools._count_connections()
        assert open_connections > 4
        pools.set_max_connections(3)
        pools.set_max_connections(2)  # those that are ending are not counted on twice
        await until(lambda: pools._count_connections() == 2)


@on_uvloop
async def test_files_of_a_killed_process_are_removed_unread(tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        async with co_process(make_config(target_entry("s-1", 9)), listener, tmp_path) as rig:
            name = peer_processes(rig).files.prefix + "9-dead"
            (tmp_path / f"{name}.json").write_text(
                '{"accepting": true, "words": {"s-1": [9, true]}}'
            )
            (tmp_path / f"{name}.lock").touch()
            with open(tmp_path / f"{peer_processes(rig).files.prefix}8-alive.lock", "w") as lock:
                fcntl.flock(lock, fcntl.LOCK_EX)
                (tmp_path / f"{peer_processes(rig).files.prefix}8-alive.json").write_text(
                    '{"words": {"s-1": ['
                )
                await until(lambda: peer_processes(rig).others)
                assert not (tmp_path / f"{name}.json").exists()
                assert not rig.node.dispatcher.administrative_states.is_disabled("s-1")
                assert not peer_processes(
                    rig
                ).has_successor()  # an incomplete file: nothing is known of it


@on_uvloop
async def test_a_status_is_written_in_place_and_an_incomplete_one_known_by_its_checksum(
    tmp_path: Path,
) -> None:
    """To replace the file flushes it to the disk, and the loop stands still meanwhile."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        async with co_process(
            make_config(target_entry("s-1", 9), operator=True), listener, tmp_path
        ) as rig:
            ours = peer_processes(rig)
            (file,) = tmp_path.glob("*.json")
            inode = file.stat().st_ino
            name = file.name.removesuffix(".json")
            assert rig.node.admin_api.set_endpoint_disabled("s-1", disabled=True)
            long = file.read_bytes()
            status = ours.files.read(name)
            assert status is not None
            assert "s-1" in status.administrative_states
            rig.node.dispatcher.administrative_states.states.clear()
            ours.publish_status()
            short = file.read_bytes()
            status = ours.files.read(name)
            assert file.stat().st_ino == inode
            assert status is not None
            assert status.administrative_states == {}
            torn = 0
            for at in range(len(long)):
                file.write_bytes(short[:at] + long[at:])
                read = ours.files.read(name)
                assert read is None or read.administrative_states.keys() <= {"s-1"}
                torn += read is None
            assert torn > len(short.rstrip()) // 2


@pytest.mark.parametrize(
    "raw",
    [
        [],
        {"words": 3},
        {"words": {"a": [1]}},
        {"out": {"x": [1, 2, 3]}},
        {"out": {"1": [1]}},
        {"clients": None},
    ],
)
def test_a_status_file_of_another_program_is_rejected(raw: Any) -> None:
    with pytest.raises(StatusFormatError):
        status_from_fields(raw)


@pytest.mark.parametrize("descriptor", ["x", "-1", "99", "1"])
def test_a_descriptor_that_is_no_listening_socket_is_a_faulty_key(
    tmp_path: Path, descriptor: str
) -> None:
    env = {**write_config(tmp_path), "PROXY_ACCEPT_FD": descriptor}
    done = subprocess.run(
        [sys.executable, "-m", "query_broker"],
        env=env,
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    assert done.returncode == 2
    assert done.stderr.startswith("larchhall: PROXY_ACCEPT_FD: ")


# --- the decisions: two processes divide one quota ---


def test_work_of_the_other_process_counts_against_the_bound_and_ends_with_it() -> None:
    """Each would fill the complete bound, and together they would overrun the endpoint."""
    harness = Harness(make_settings(), entry(1))
    bound = int(harness.controller.endpoints[1].bound_ns)
    harness.do(
        api.CoProcessLoad(
            {1: api.OutstandingWork(40, bound, 0), 7: api.OutstandingWork(1, 1, 1)}, 2
        )
    )
    harness.arrive("r", estimate_ns=100 * MS)
    assert not harness.sends("r")
    assert isinstance(harness.answers("r")[0], api.Reject)
    # the work of the others is not reported as that of this process
    assert harness.controller.outstanding(harness.now)[1] == api.OutstandingWork(0, 0, 0)
    harness.do(api.CoProcessLoad({}, 1))
    assert harness.backlog() == 0
    harness.arrive("s", estimate_ns=100 * MS)
    assert harness.sends("s")


def test_an_endpoint_that_warms_up_gets_no_more_from_two_processes_than_from_one() -> None:
    harness = Harness(make_settings(), entry(1, started_ns=100 * S))
    harness.do(api.CoProcessLoad({1: api.OutstandingWork(0, 0, 2 * S)}, 2))
    harness.arrive("r", estimate_ns=100 * MS)
    assert not harness.sends("r")
    harness.do(api.CoProcessLoad({}, 1))
    harness.arrive("s", estimate_ns=100 * MS)
    assert harness.sends("s")


def test_the_quota_of_a_tenant_is_halved_between_two_accepting_processes() -> None:
    tenants = (api.Tenant("a", 4.0),)

    def within_quota(accepting: int) -> int:
        harness = Harness(make_settings(query_class(), tenants=tenants), entry(1))
        harness.do(api.CoProcessLoad({}, accepting))
        for number in range(10):
            harness.arrive(f"r{number}", estimate_ns=MS, tenant="a")
        return sum(not request.over_quota for request in harness.controller.requests.values())

    assert (within_quota(1), within_quota(2)) == (8, 4)


def test_an_endpoint_whose_start_lies_ahead_is_observed_all_the_same() -> None:
    """Its timeouts and failures would count for nothing until that time."""
    harness = Harness(make_settings(), entry(1, started_ns=110 * S))
    harness.arrive("r", estimate_ns=MS)
    harness.end("r", api.AttemptResult.CONNECT_FAILED)
    assert harness.controller.endpoints[1].ejected


def test_an_attempt_dispatched_before_an_enable_is_no_observation_of_the_endpoint() -> None:
    harness = Harness(make_settings(), entry(1), entry(2))
    harness.arrive("r", estimate_ns=MS)
    engine = harness.sends("r")[0].endpoint
    harness.do(api.AdministrativeChange(engine, True, harness.now))
    harness.now += S
    harness.do(api.AdministrativeChange(engine, False, harness.now))
    harness.end("r", api.AttemptResult.CONNECT_FAILED)
    assert not harness.controller.endpoints[engine].ejected
    assert harness.controller.avoided() == 0
