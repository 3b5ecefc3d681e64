"""Two processes of one broker: the inherited socket, what they tell each other, and the
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

from .helpers import MS, Harness, S, entry, make_settings, query_class
from .sockets import (
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


@asynccontextmanager
async def beside(config: Config, held: socket.socket, folder: Path) -> AsyncIterator[Rig]:
    """A process of the broker on the platform's socket."""
    async with running(replace(config, accept_fd=os.dup(held.fileno()), folder=str(folder))) as rig:
        yield rig


def siblings(rig: Rig) -> PeerProcesses:
    assert rig.node.peer_processes is not None
    return rig.node.peer_processes


async def meet(*rigs: Rig) -> None:
    await until(lambda: all(siblings(rig).others for rig in rigs))


@on_uvloop
async def test_a_ban_told_to_one_process_holds_at_the_other_and_so_does_the_call_back(
    tmp_path: Path,
) -> None:
    engine = Engine()
    config = make_config(target_entry("s-1", await engine.start()), operator=True)
    with socket.create_server(("127.0.0.1", 0)) as held:
        async with beside(config, held, tmp_path) as old:
            assert old.node.admin_api.set_engine("s-1", out=True)
            async with beside(config, held, tmp_path) as new:
                assert new.node.dispatcher.administrative_states.is_disabled(
                    "s-1"
                )  # before it serves anybody
                assert new.node.dispatcher.facade.avoided() == 1
                await meet(old, new)
                assert new.node.admin_api.set_engine("s-1", out=False)
                await until(
                    lambda: not old.node.dispatcher.administrative_states.is_disabled("s-1")
                )
                (known,) = old.node.dispatcher.facade.controller.engines.values()
                assert known.cold_until > old.node.clock.now()
                assert old.node.admin_api.set_engine("s-1", out=True)
                await until(lambda: new.node.dispatcher.administrative_states.is_disabled("s-1"))


@on_uvloop
async def test_at_sigterm_the_old_one_leaves_the_queue_to_the_new_one_and_serves_what_it_has(
    tmp_path: Path,
) -> None:
    """Danger: a shutdown of the shared socket would end it for the new process and the platform."""
    engine = Engine(lambda *_: None)
    config = make_config(target_entry("s-1", await engine.start()))
    with socket.create_server(("127.0.0.1", 0)) as held:
        async with beside(config, held, tmp_path) as old:
            client = await old.client()
            client.ask(stream=1)
            await until(lambda: engine.commands_named(b"do"))
            async with beside(config, held, tmp_path) as new:
                await meet(old, new)
                old.node.shutdown.begin()
                assert await client.frame() == (frames.NO_MORE, 0, b"")
                client.ask(stream=2, trace="2" * 16)  # it crossed the word to leave off
                await until(lambda: len(engine.commands_named(b"do")) == 2)
                newcomers = [await new.client() for _ in range(5)]
                await until(lambda: len(new.node.clients) == 5)
                assert (
                    not old.node.ready()
                    and not siblings(old).accepting
                    and len(old.node.clients) == 1
                )
                for do in engine.commands_named(b"do"):
                    engine.answer_served(do, engine.writer_of(do))
                assert {(await client.answer())[:2] for _ in "12"} == {
                    (1, frames.SERVED),
                    (2, frames.SERVED),
                }
                await within(old.node.stopped.wait())
                newcomers[0].ask(trace="3" * 16)
                await until(lambda: len(engine.commands_named(b"do")) == 3)
                await until(lambda: not siblings(new).others)
        assert not os.listdir(tmp_path)
        (await asyncio.open_connection(*held.getsockname()))[1].close()  # it listens still


@on_uvloop
async def test_alone_on_an_inherited_socket_it_goes_on_taking_after_sigterm(tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as held:
        async with beside(make_config(target_entry("s-1", 9)), held, tmp_path) as rig:
            rig.node.shutdown.begin()
            assert rig.node.ready() and rig.node.server is not None and rig.node.server.is_serving()


@on_uvloop
async def test_one_without_an_engine_list_is_no_successor(tmp_path: Path) -> None:
    """Danger: the old one would leave the queue to a process that can serve none of it."""
    with socket.create_server(("127.0.0.1", 0)) as held:
        async with beside(make_config(target_entry("s-1", 9)), held, tmp_path) as old:
            async with beside(make_config(listed=False), held, tmp_path) as new:
                await meet(old, new)
                assert not siblings(old).has_successor()
                new.node.endpoint_list_changed(
                    parse_event(topology_event(2, target_entry("s-1", 9)))
                )
                siblings(old).poll()
                assert siblings(old).has_successor()


@on_uvloop
async def test_limits_are_divided_while_two_live_and_given_back(tmp_path: Path) -> None:
    config = make_config(target_entry("s-1", 9), operator=True)
    with socket.create_server(("127.0.0.1", 0)) as held:
        async with beside(config, held, tmp_path) as old:
            whole = (
                old.node.admission.max_connections,
                old.node.dispatcher.pools.most,
                old.node.dispatcher.room,
            )
            async with beside(config, held, tmp_path) as new:
                await meet(old, new)
                for rig in (old, new):
                    assert (
                        rig.node.dispatcher.pools.most <= whole[1] // 2
                        and rig.node.dispatcher.room < whole[2]
                    )
            await until(lambda: not siblings(old).others)
            assert (
                old.node.admission.max_connections,
                old.node.dispatcher.pools.most,
                old.node.dispatcher.room,
            ) == whole
            broker = old.node.dispatcher
            broker.divide(2, 42)
            # two reserves
            assert broker.most_clients + 42 + 2 * broker.pools.most <= config.sockets - 90
            broker.config = replace(broker.config, sockets=64)
            broker.divide(3, 60)  # danger: the least limit, divided, must leave a part for clients
            assert broker.most_clients >= 7 and broker.pools.most >= 4


@on_uvloop
async def test_idle_engine_connections_past_the_divided_limit_end(tmp_path: Path) -> None:
    """Danger: they count until their loss is told; a loop that waits for that stands still for
    good.
    """
    engine = Engine(lambda *_: None)
    async with running(make_config(target_entry("s-1", await engine.start()))) as rig:
        client, pools = await rig.client(), rig.node.dispatcher.pools
        for stream in range(1, 13):
            client.ask(stream=stream, trace=f"{stream:016x}")
        await until(lambda: len(engine.commands_named(b"do")) == 12)
        for do in engine.commands_named(b"do"):
            engine.answer_served(do, engine.writer_of(do))
            await client.answer()
        held = pools._held()
        assert held > 4
        pools.limit(3)
        pools.limit(2)  # those that are ending are not counted on twice
        await until(lambda: pools._held() == 2)


@on_uvloop
async def test_what_a_killed_process_left_counts_for_nothing(tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as held:
        async with beside(make_config(target_entry("s-1", 9)), held, tmp_path) as rig:
            name = siblings(rig).files.prefix + "9-dead"
            (tmp_path / f"{name}.json").write_text(
                '{"accepting": true, "words": {"s-1": [9, true]}}'
            )
            (tmp_path / f"{name}.lock").touch()
            with open(tmp_path / f"{siblings(rig).files.prefix}8-alive.lock", "w") as lock:
                fcntl.flock(lock, fcntl.LOCK_EX)
                (tmp_path / f"{siblings(rig).files.prefix}8-alive.json").write_text(
                    '{"words": {"s-1": ['
                )
                await until(lambda: siblings(rig).others)
                assert not (
                    tmp_path / f"{name}.json"
                ).exists() and not rig.node.dispatcher.administrative_states.is_disabled("s-1")
                assert not siblings(rig).has_successor()  # half a file: nothing is known of it


@on_uvloop
async def test_what_is_told_is_written_in_place_and_half_of_it_is_known_by_its_sum(
    tmp_path: Path,
) -> None:
    """Danger: to replace the file flushes it to the disk, and the loop stands still meanwhile."""
    with socket.create_server(("127.0.0.1", 0)) as held:
        async with beside(
            make_config(target_entry("s-1", 9), operator=True), held, tmp_path
        ) as rig:
            ours = siblings(rig)
            (file,) = tmp_path.glob("*.json")
            inode, name = file.stat().st_ino, file.name.removesuffix(".json")
            assert rig.node.admin_api.set_engine("s-1", out=True)
            long = file.read_bytes()
            status = ours.files.read(name)
            assert status is not None and "s-1" in status.administrative_states
            rig.node.dispatcher.administrative_states.states.clear()
            ours.tell()
            short = file.read_bytes()
            status = ours.files.read(name)
            assert file.stat().st_ino == inode
            assert status is not None and status.administrative_states == {}
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
def test_a_file_that_none_of_us_wrote_is_refused(raw: Any) -> None:
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
    assert done.returncode == 2 and done.stderr.startswith("larchhall: PROXY_ACCEPT_FD: ")


# --- the module: two processes go by one share ---


def test_work_of_the_other_process_counts_against_the_bound_and_ends_with_it() -> None:
    """Danger: each fills the whole share, and together they overrun the engine."""
    h = Harness(make_settings(), entry(1))
    bound = int(h.controller.engines[1].bound)
    h.do(
        api.CoProcessLoad(
            {1: api.OutstandingWork(40, bound, 0), 7: api.OutstandingWork(1, 1, 1)}, 2
        )
    )
    h.arrive("r", estimate_ns=100 * MS)
    assert not h.sends("r") and isinstance(h.answers("r")[0], api.Reject)
    # theirs is not told back as ours
    assert h.controller.outstanding(h.now)[1] == api.OutstandingWork(0, 0, 0)
    h.do(api.CoProcessLoad({}, 1))
    assert h.backlog() == 0
    h.arrive("s", estimate_ns=100 * MS)
    assert h.sends("s")


def test_a_cold_engine_gets_no_more_of_two_processes_than_of_one() -> None:
    h = Harness(make_settings(), entry(1, started_ns=100 * S))
    h.do(api.CoProcessLoad({1: api.OutstandingWork(0, 0, 2 * S)}, 2))
    h.arrive("r", estimate_ns=100 * MS)
    assert not h.sends("r")
    h.do(api.CoProcessLoad({}, 1))
    h.arrive("s", estimate_ns=100 * MS)
    assert h.sends("s")


def test_a_tenant_s_share_is_halved_between_two_that_take_requests() -> None:
    tenants = (api.Tenant("a", 4.0),)

    def within_share(taking: int) -> int:
        h = Harness(make_settings(query_class(), tenants=tenants), entry(1))
        h.do(api.CoProcessLoad({}, taking))
        for i in range(10):
            h.arrive(f"r{i}", estimate_ns=MS, tenant="a")
        return sum(not r.over_share for r in h.controller.requests.values())

    assert (within_share(1), within_share(2)) == (8, 4)


def test_an_engine_whose_start_is_told_ahead_is_judged_all_the_same() -> None:
    """Danger: its silences and failures would teach nothing until that time."""
    h = Harness(make_settings(), entry(1, started_ns=110 * S))
    h.arrive("r", estimate_ns=MS)
    h.end("r", api.AttemptResult.CONNECT_FAILED)
    assert h.controller.engines[1].suspect


def test_what_was_sent_before_a_call_back_teaches_nothing_of_the_engine_as_it_is_now() -> None:
    h = Harness(make_settings(), entry(1), entry(2))
    h.arrive("r", estimate_ns=MS)
    engine = h.sends("r")[0].endpoint
    h.do(api.AdministrativeChange(engine, True, h.now))
    h.now += S
    h.do(api.AdministrativeChange(engine, False, h.now))
    h.end("r", api.AttemptResult.CONNECT_FAILED)
    assert not h.controller.engines[engine].suspect and h.controller.avoided() == 0
