"""Two processes of one broker: the inherited socket, the handover, and the limits they divide."""

from __future__ import annotations

import asyncio
import os
import socket
from dataclasses import replace
from pathlib import Path
from typing import NamedTuple

import pytest

from query_broker.discovery.event_codec import parse_event
from query_broker.protocols import client_frames as frames

from ..support.sockets import (
    Engine,
    RunningBroker,
    make_config,
    on_uvloop,
    running,
    target_entry,
    topology_event,
    until,
    within,
    write_config,
)
from .co_processes import co_process, meet, peer_processes
from .program import run_program

pytestmark = pytest.mark.real_time


@on_uvloop
async def test_disabling_or_enabling_an_endpoint_applies_to_both_processes(
    tmp_path: Path,
) -> None:
    engine = Engine()
    config = make_config(target_entry("s-1", await engine.start()), operator=True)
    with socket.create_server(("127.0.0.1", 0)) as listener:
        async with co_process(config, listener, tmp_path) as old:
            assert old.node.admin_api.set_endpoint_disabled("s-1", disabled=True)
            async with co_process(config, listener, tmp_path) as new:
                # Already before the new process serves any client.
                assert new.node.dispatcher.administrative_states.is_disabled("s-1")
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
async def test_at_sigterm_the_old_process_stops_accepting_and_serves_requests_in_flight(
    tmp_path: Path,
) -> None:
    """Shutting the shared socket down would end it for the new process and the platform too."""
    engine = Engine(lambda *_: None)
    config = make_config(target_entry("s-1", await engine.start()))
    with socket.create_server(("127.0.0.1", 0)) as listener:
        async with co_process(config, listener, tmp_path) as old:
            client = await old.client()
            client.send_request(stream=1)
            await until(lambda: engine.commands_named(b"do"))
            async with co_process(config, listener, tmp_path) as new:
                await meet(old, new)
                old.node.shutdown.begin()
                assert await client.frame() == (frames.NO_MORE, 0, b"")
                client.send_request(
                    stream=2, trace="2" * 16
                )  # as if sent before the announcement came
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
                newcomers[0].send_request(trace="3" * 16)
                await until(lambda: len(engine.commands_named(b"do")) == 3)
                await until(lambda: not peer_processes(new).others)
        assert not os.listdir(tmp_path)
        (await asyncio.open_connection(*listener.getsockname()))[1].close()  # still listening


@on_uvloop
async def test_the_only_process_on_an_inherited_socket_still_accepts_after_sigterm(
    tmp_path: Path,
) -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        async with co_process(make_config(target_entry("s-1", 9)), listener, tmp_path) as broker:
            broker.node.shutdown.begin()
            assert broker.node.ready()
            assert broker.node.server is not None
            assert broker.node.server.is_serving()


@on_uvloop
async def test_a_process_without_an_endpoint_list_is_not_a_successor(tmp_path: Path) -> None:
    """Otherwise the old process would leave new connections to one that can't serve them."""
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


class ProcessLimits(NamedTuple):
    """The limits that the processes of a broker divide among them."""

    client_connections: int
    engine_connections: int
    statement_bytes: int


def limits_of(broker: RunningBroker) -> ProcessLimits:
    dispatcher = broker.node.dispatcher
    return ProcessLimits(
        broker.node.admission.max_connections,
        dispatcher.pools.max_connections,
        dispatcher.statement_capacity_bytes,
    )


@on_uvloop
async def test_limits_are_divided_while_two_processes_are_alive_and_restored_afterwards(
    tmp_path: Path,
) -> None:
    config = make_config(target_entry("s-1", 9), operator=True)
    with socket.create_server(("127.0.0.1", 0)) as listener:
        async with co_process(config, listener, tmp_path) as old:
            undivided = limits_of(old)
            async with co_process(config, listener, tmp_path) as new:
                await meet(old, new)
                for broker in (old, new):
                    divided = limits_of(broker)
                    assert divided.engine_connections <= undivided.engine_connections // 2
                    assert divided.statement_bytes < undivided.statement_bytes
            await until(lambda: not peer_processes(old).others)
            assert limits_of(old) == undivided
            dispatcher = old.node.dispatcher
            pools = dispatcher.pools
            dispatcher.apply_capacity_share(2, 42)
            # What remains of the descriptors covers the reserves of two processes.
            assert dispatcher.max_clients + 42 + 2 * pools.max_connections <= config.sockets - 90
            dispatcher.config = replace(dispatcher.config, sockets=64)
            dispatcher.apply_capacity_share(
                3, 60
            )  # even the smallest limit must leave descriptors for clients
            assert dispatcher.max_clients >= 7
            assert pools.max_connections >= 4


@on_uvloop
async def test_idle_engine_connections_beyond_the_divided_limit_are_closed(tmp_path: Path) -> None:
    """A connection counts until its loss is reported: a loop that waited for that would hang."""
    engine = Engine(lambda *_: None)
    async with running(make_config(target_entry("s-1", await engine.start()))) as broker:
        client = await broker.client()
        pools = broker.node.dispatcher.pools
        for stream in range(1, 13):
            client.send_request(stream=stream, trace=f"{stream:016x}")
        await until(lambda: len(engine.commands_named(b"do")) == 12)
        for do in engine.commands_named(b"do"):
            engine.answer_served(do, engine.writer_of(do))
            await client.answer()
        open_connections = pools._count_connections()
        assert open_connections > 4
        pools.set_max_connections(3)
        pools.set_max_connections(2)  # connections that are ending must not be counted again
        await until(lambda: pools._count_connections() == 2)


@pytest.mark.parametrize(
    "descriptor",
    ["x", "-1", "99", "1"],
    ids=["not a number", "negative", "not open", "not a socket"],
)
def test_a_descriptor_that_is_not_a_listening_socket_is_reported_under_its_key(
    tmp_path: Path, descriptor: str
) -> None:
    env = {**write_config(tmp_path), "PROXY_ACCEPT_FD": descriptor}
    result = run_program(env)
    assert result.returncode == 2
    assert result.stderr.startswith("larchhall: PROXY_ACCEPT_FD: ")
