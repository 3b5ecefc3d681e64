"""Start and shutdown of a broker, and its behaviour when idle."""

from __future__ import annotations

import asyncio
import resource
import signal
import socket
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from query_broker import __version__
from query_broker.cli.main import IMPORT_PAUSE_S, main
from query_broker.protocols import client_frames as frames
from query_broker.server.graceful_shutdown import GracefulShutdown
from query_broker.server.listener import raise_descriptor_limit

from ..support.sockets import (
    Engine,
    connect,
    free_port,
    known_setting,
    make_config,
    on_uvloop,
    platform_settings,
    process,
    running,
    target_entry,
    until,
    within,
    write_config,
)
from .program import run_program

pytestmark = pytest.mark.real_time


@pytest.mark.parametrize(
    ("changes", "key"),
    [
        ({"listen": "nowhere"}, "listen"),
        ({"seed": "xyz"}, "seed"),
        ({"settings": {}}, "settings.classes"),
        ({"settings": platform_settings(tick=0)}, "settings.tick"),
        ({"bus": "b"}, "bus"),
        ({"limits": {"sockets": "many"}}, "limits.sockets"),
    ],
    ids=["address", "seed", "no classes", "no tick", "bus address", "limit"],
)
def test_an_invalid_configuration_prints_one_line_that_names_the_key(
    tmp_path: Path, changes: Any, key: str
) -> None:
    result = run_program(write_config(tmp_path, **changes), "serve")
    assert result.returncode == 2
    assert result.stderr.startswith(f"larchhall: {key}: ")
    assert result.stderr.count("\n") == 1


@on_uvloop
async def test_after_sigterm_a_request_in_flight_is_served_and_the_process_exits_with_0(
    tmp_path: Path,
) -> None:
    engine = Engine(lambda *_: None)
    known = known_setting(target_entry("s-1", await engine.start()))
    async with process(tmp_path, known=known) as (broker, port):
        first = await connect(port)
        first.send_request(stream=1, trace="1" * 16)
        await until(lambda: len(engine.commands_named(b"do")) == 1)
        broker.send_signal(signal.SIGTERM)
        assert await first.frame() == (frames.NO_MORE, 0, b"")
        engine.answer_served(engine.commands_named(b"do")[0], engine.writers[0])
        assert (await first.answer())[1] == frames.SERVED
        assert await within(broker.wait()) == 0


@on_uvloop
async def test_nothing_changes_for_clients_during_the_grace_period_after_sigterm(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    for name in ("GRACE_PERIOD_S", "LINGER_S"):  # the test runs the shutdown steps itself
        monkeypatch.setattr(f"query_broker.server.graceful_shutdown.{name}", 3_600.0)
    engine = Engine()
    async with running(make_config(target_entry("s-1", await engine.start()))) as broker:
        shutdown = GracefulShutdown(broker.node)
        shutdown.begin()
        client = await broker.client()
        client.send(frames.ASK_READY, 0, b"\0")
        assert await client.frame() == (frames.READY, 0, b"\0\0")
        client.send_request(stream=1)
        assert (await client.answer())[1] == frames.SERVED
        shutdown._announce_leaving()
        assert await client.frame() == (frames.NO_MORE, 0, b"")
        client.send(frames.ASK_READY, 0, b"\0")
        client.send_request(
            stream=2, trace="2" * 16
        )  # sent before the client received the announcement
        assert await client.frame() == (frames.READY, 0, b"\x01\0")
        assert (await client.answer())[:2] == (2, frames.SERVED)
        with pytest.raises(ConnectionRefusedError):
            await broker.client()


def test_an_address_in_use_is_reported_under_its_settings_key(tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as other:
        env = write_config(tmp_path, listen=f"127.0.0.1:{other.getsockname()[1]}")
        result = run_program(env)
    assert result.returncode == 2
    assert result.stderr.startswith("larchhall: listen: 127.0.0.1:")


@on_uvloop
async def test_open_requests_get_a_final_answer_at_the_end_of_the_drain() -> None:
    engine = Engine(lambda *_: None)
    async with running(make_config(target_entry("s-1", await engine.start()))) as broker:
        client = await broker.client()
        client.send_request(stream=1, route="stock-add", patience="20000", trace="1" * 16)
        client.send_request(stream=2, trace="2" * 16)
        await until(lambda: len(engine.commands_named(b"do")) == 2)
        shutdown = GracefulShutdown(broker.node)
        shutdown.started_at_ns = broker.node.clock.now() - int(shutdown.close_out_after_s * 1e9)
        shutdown._await_requests()
        answers = dict([(await client.answer())[:2], (await client.answer())[:2]])
        assert answers == {1: frames.FAILED, 2: frames.REFUSED}
        await within(broker.node.stopped.wait())


@on_uvloop
async def test_the_drain_waits_for_a_partly_received_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("query_broker.server.graceful_shutdown.LINGER_S", 0.0)
    engine = Engine()
    async with running(make_config(target_entry("s-1", await engine.start()))) as broker:
        client = await broker.client()
        fields = {"route": "glance", "trace": "1" * 16, "patience": "4000", "customer": "acme"}
        payload = frames.write_fields(fields) + b"SELECT 1"
        frame = frames.frame(frames.REQUEST, 1, payload)
        client.writer.write(frame[:9])
        await until(lambda: broker.node.partial_frame_bytes)
        shutdown = GracefulShutdown(broker.node)
        shutdown.started_at_ns = broker.node.clock.now()
        shutdown._announce_leaving()
        shutdown._await_requests()
        assert not broker.node.stopped.is_set()
        client.writer.write(frame[9:])
        assert await client.frame() == (frames.NO_MORE, 0, b"")
        assert (await client.answer())[:2] == (1, frames.SERVED)
        await within(broker.node.stopped.wait())


@on_uvloop
async def test_a_broker_restarts_at_the_same_address_after_a_kill(tmp_path: Path) -> None:
    engine = Engine()
    port = free_port()
    known = known_setting(target_entry("s-1", await engine.start()))
    for start in range(2):
        async with process(tmp_path, port, known=known):
            client = await connect(port)  # left open, so that the address stays in use
            client.send_request()
            assert (await client.answer())[1] == frames.SERVED, start


@on_uvloop
async def test_no_state_remains_of_a_disconnected_client() -> None:
    engine = Engine()
    async with running(make_config(target_entry("s-1", await engine.start()))) as broker:
        client = await broker.client()
        client.send_request()
        await client.answer()
        client.writer.close()
        await until(lambda: not broker.node.clients)
        assert not broker.node.dispatcher.requests
        assert not broker.node.dispatcher.facade.controller.requests


def test_version_and_check_config_are_printed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    version = CliRunner().invoke(main, ["version"])
    assert version.exit_code == 0
    assert version.output.startswith(f"larchhall {__version__}\nuvloop ")
    for key, value in write_config(tmp_path).items():
        monkeypatch.setenv(key, value)
    checked = CliRunner().invoke(main, ["check-config"])
    assert checked.exit_code == 0
    assert checked.output.startswith("n0: ok, 2 classes")
    write_config(tmp_path, listen="x")
    assert CliRunner().invoke(main, ["check-config"]).exit_code == 2


@on_uvloop
async def test_at_the_connection_limit_idle_clients_are_evicted_and_busy_ones_stay() -> None:
    engine = Engine(lambda *_: None)
    async with running(make_config(target_entry("s-1", await engine.start()))) as broker:
        assert broker.node.admission.max_connections >= broker.node.config.sockets // 3
        broker.node.admission.max_connections = 2
        busy = await broker.client()
        silent = await broker.client()
        busy.send_request()
        await until(lambda: engine.commands_named(b"do"))
        newcomer = await broker.client()  # evicts the connection that has sent nothing
        assert await silent.ended()
        newcomer.send_request(trace="2" * 16)
        await until(lambda: len(engine.commands_named(b"do")) == 2)
        assert await (await broker.client()).ended()  # rejected: all others wait for an answer
        for do, client in zip(engine.commands_named(b"do"), (busy, newcomer), strict=True):
            engine.answer_served(do, engine.writer_of(do))
            assert (await client.answer())[1] == frames.SERVED


def test_the_descriptor_limit_is_raised_up_to_the_hard_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    limits = (30, 100)
    limits_set: list[tuple[int, int]] = []
    monkeypatch.setattr(resource, "getrlimit", lambda which: limits)
    monkeypatch.setattr(resource, "setrlimit", lambda which, to: limits_set.append(to))
    assert raise_descriptor_limit(1_024) == 100
    assert limits_set == [(100, 100)]
    limits = (50, resource.RLIM_INFINITY)
    assert raise_descriptor_limit(40) == 40
    assert len(limits_set) == 1


@pytest.mark.parametrize("inherited", [True, False], ids=["inherited", "own"])
def test_the_start_pauses_if_another_process_of_the_broker_may_be_serving(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, inherited: bool
) -> None:
    """Starting without pauses would take the core from the other process and stall its loop."""
    steps: list[Any] = []
    monkeypatch.setattr("query_broker.cli.main.time.sleep", steps.append)
    monkeypatch.setattr(
        "query_broker.server.node.serve", lambda make: steps.append(make.args[0].accept_fd)
    )
    env = write_config(tmp_path) | {"PROXY_ACCEPT_FD": "3" if inherited else ""}
    assert CliRunner().invoke(main, ["serve"], env=env).exit_code == 0
    expected: list[Any] = [IMPORT_PAUSE_S, 3] if inherited else [None]
    assert steps == expected


@on_uvloop
async def test_an_idle_broker_ticks_rarely_and_an_earlier_timer_wakes_it() -> None:
    """Counting ticks makes a broker with 200 ticks a second fail at any machine speed."""
    async with running(make_config()) as broker:
        node = broker.node
        ticks = 0
        tick = node.dispatcher.tick

        def count_tick() -> None:
            nonlocal ticks
            ticks += 1
            tick()

        node.dispatcher.tick = count_tick  # type: ignore[method-assign]
        start_ns = node.clock.now()
        await asyncio.sleep(1.0)
        assert 1 <= ticks <= 10 * (node.clock.now() - start_ns) / 1e9
        ticks_when_fired: list[int] = []
        node.dispatcher.timer_wheel.set_timer(
            node.clock.now() + 20_000_000, lambda: ticks_when_fired.append(ticks)
        )
        ticks_before = ticks
        await until(lambda: bool(ticks_when_fired))
        assert ticks_when_fired[0] <= ticks_before + 3
