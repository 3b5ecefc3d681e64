"""How the result of an attempt decides whether its request is rejected, failed or retried."""

from __future__ import annotations

import pytest

from query_broker.discovery.event_codec import parse_event
from query_broker.dispatch.validation import ParsedRequest
from query_broker.endpoints.connection_pool import REMOVED_SILENCE_LIMIT_NS
from query_broker.protocols import client_frames as frames
from query_broker.protocols import resp

from ..dispatch.recording_client import Outcome, RecordingClient
from ..support.sockets import (
    TRACE,
    Engine,
    make_config,
    on_uvloop,
    running,
    target_entry,
    topology_event,
    until,
)
from .closed_ports import ClosedPorts
from .scripted_engines import (
    broker_with_engines,
    engine_that_answers,
    engine_that_writes_and_closes,
    first_pool,
    silent_engine,
)

pytestmark = pytest.mark.real_time


@on_uvloop
async def test_a_load_is_rejected_if_the_engine_refuses_the_connect(
    closed_ports: ClosedPorts,
) -> None:
    async with running(make_config(target_entry("s-1", closed_ports.reserve()))) as broker:
        client = await broker.client()
        client.send_request(route="stock-add", patience="20000")
        assert (await client.answer())[1] == frames.REFUSED


@on_uvloop
async def test_a_request_is_retried_at_another_engine_after_a_refused_connect(
    closed_ports: ClosedPorts,
) -> None:
    reachable_engine = Engine()
    config = make_config(
        target_entry("s-1", await reachable_engine.start()),
        target_entry("s-2", closed_ports.reserve()),
    )
    async with running(config) as broker:
        client = await broker.client()
        for stream in range(1, 9):
            client.send_request(
                stream=stream, route="stock-add", patience="20000", trace=f"{stream:016x}"
            )
            assert (await client.answer())[:2] == (stream, frames.SERVED)


@pytest.mark.parametrize("result", [b"overload", b"nobody"], ids=["overload", "nobody"])
@on_uvloop
async def test_a_load_that_is_answered_with_overload_or_nobody_is_rejected(result: bytes) -> None:
    async with broker_with_engines(engine_that_answers(result)) as broker:
        client = await broker.client()
        client.send_request(route="stock-add", patience="20000")
        assert (await client.answer())[1] == frames.REFUSED


async def assert_failed_and_dispatched_once(engine: Engine) -> None:
    """Check that a load fails without a retry, since it may have run at the only engine."""
    async with broker_with_engines(engine) as broker:
        client = await broker.client()
        client.send_request(route="stock-add", patience="20000")
        assert (await client.answer())[1] == frames.FAILED
        assert len(engine.commands_named(b"do")) == 1


@pytest.mark.parametrize("result", [b"crashed", b"what"], ids=["crashed", "unknown"])
@on_uvloop
async def test_a_load_that_is_answered_with_crashed_or_an_unknown_kind_fails(result: bytes) -> None:
    await assert_failed_and_dispatched_once(engine_that_answers(result))


def answer_bytes(result: bytes, fields: bytes, body: bytes) -> bytes:
    """Return an answer to the request that `Client.send_request` sends."""
    return resp.encode(TRACE.encode(), result, fields, body)


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(b"", id="no answer"),
        pytest.param(b"-ERR\r\n", id="an error"),
        pytest.param(b"*4\r\n$3000000000\r\n", id="a part too long"),
        pytest.param(answer_bytes(b"served", b"chunks=x", b""), id="no number of pages"),
        pytest.param(
            answer_bytes(b"served", b"chunks=1", b"1\ta\tb\n" * 8_001), id="a page too long"
        ),
        pytest.param(answer_bytes(b"rows", b"at=1", b"1\ta\tb\n"), id="a page before the answer"),
        pytest.param(answer_bytes(b"served", b"chunks=1", b"1\ta\n"), id="two columns"),
        pytest.param(answer_bytes(b"served", b"chunks=1", b"1\ta\tb"), id="no end of the line"),
        pytest.param(answer_bytes(b"served", b"chunks=1", b"1\ta\tb\tc\n"), id="four columns"),
        pytest.param(answer_bytes(b"served", b"chunks=1", b"\xff\ta\tb\n"), id="no UTF-8"),
        pytest.param(answer_bytes(b"served", b"chunks=1", b"1\ta\tb\n\n"), id="an empty line"),
        pytest.param(answer_bytes(b"served", b"chunks=1", b"noise"), id="no columns"),
    ],
)
@on_uvloop
async def test_a_load_with_a_malformed_or_missing_answer_fails(
    data: bytes,
) -> None:
    await assert_failed_and_dispatched_once(engine_that_writes_and_closes(data))


@on_uvloop
async def test_a_lookup_is_retried_at_another_engine_after_a_lost_connection() -> None:
    closing_engine = engine_that_writes_and_closes(b"")
    async with broker_with_engines(closing_engine, Engine()) as broker:
        client = await broker.client()
        for stream in range(1, 9):
            client.send_request(stream=stream, trace=f"{stream:016x}")
            assert (await client.answer())[:2] == (stream, frames.SERVED)


@on_uvloop
async def test_a_draining_engine_gets_no_new_attempts() -> None:
    engine = Engine()
    async with running(
        make_config(target_entry("s-1", await engine.start(), "terminating"))
    ) as broker:
        client = await broker.client()
        client.send_request()
        assert (await client.answer())[1] == frames.REFUSED
        assert not engine.commands


@on_uvloop
async def test_a_load_is_rejected_if_no_descriptor_is_left_for_its_connection() -> None:
    engine = Engine()
    async with broker_with_engines(engine) as broker:
        broker.node.dispatcher.pools.max_connections = -1
        client = await broker.client()
        client.send_request(route="stock-add", patience="20000")
        assert (await client.answer())[1] == frames.REFUSED
        assert not engine.commands
        endpoints = broker.node.dispatcher.facade.controller.endpoints.values()
        assert not any(endpoint.ejected for endpoint in endpoints)


@on_uvloop
async def test_an_attempt_at_a_silent_engine_fails_once_it_is_listed_as_terminated() -> None:
    engine = silent_engine()
    port = await engine.start()
    async with running(make_config(target_entry("s-1", port))) as running_broker:
        client = await running_broker.client()
        broker = running_broker.node.dispatcher
        client.send_request(route="stock-add", patience="20000")
        await until(lambda: engine.commands_named(b"do"))
        pool = first_pool(running_broker)
        pool.sweep(broker.now() + 2 * REMOVED_SILENCE_LIMIT_NS)
        assert not pool.connections[0].closed  # silent, but not listed as terminated
        broker.endpoint_list_changed(
            parse_event(topology_event(2, target_entry("s-1", port, "terminated")))
        )
        pool.sweep(broker.now())
        assert not pool.connections[0].closed
        pool.sweep(broker.now() + 2 * REMOVED_SILENCE_LIMIT_NS)
        assert (await client.answer())[1] == frames.FAILED


@on_uvloop
async def test_an_exception_in_one_timer_does_not_prevent_the_answers_of_others() -> None:
    engine = silent_engine()
    async with broker_with_engines(engine) as broker:
        client = await broker.client()
        facade = broker.node.dispatcher.facade

        def raise_error(now_ns: int) -> None:
            raise ZeroDivisionError

        facade.controller.orders.timers[-1] = (raise_error, ())
        client.send_request(patience="300")
        await until(lambda: engine.commands_named(b"do"))
        facade.due.append(-1)
        assert (await client.answer())[1] == frames.REFUSED
        assert any("ZeroDivisionError" in line for line in broker.logged)


@on_uvloop
async def test_nothing_is_dispatched_to_an_address_removed_during_the_connect() -> None:
    engine = Engine()
    port = await engine.start()
    async with running(make_config(target_entry("s-1", port))) as broker:
        recorder = RecordingClient()
        load = ParsedRequest("stock-add", TRACE, "acme", 20_000, 10, 16, False, 17, b"x")
        broker.node.dispatcher.submit(recorder, 1, load)
        # In the same iteration of the event loop, so that the connect is in progress.
        broker.node.dispatcher.endpoint_list_changed(
            parse_event(topology_event(2, target_entry("s-2", port, "terminating")))
        )
        await until(lambda: recorder.answers)
        assert [answer.outcome for answer in recorder.answers] == [Outcome.REJECTED]
        assert not engine.commands


@on_uvloop
async def test_requests_get_a_retry_after_time_if_every_connect_is_refused(
    closed_ports: ClosedPorts,
) -> None:
    config = make_config(
        *[target_entry(f"s-{number}", closed_ports.reserve()) for number in range(30)],
        fleet_size=40,
        charges={"handshake": 0.08},
    )
    async with running(config) as broker:
        client = await broker.client()
        for stream in range(1, 11):
            route = "stock-add" if stream % 2 else "glance"
            client.send_request(stream, trace=f"{stream:016x}", route=route)
            code, fields = (await client.answer())[1:3]
            assert code == frames.REFUSED
            assert int(fields["pause"]) > 0
