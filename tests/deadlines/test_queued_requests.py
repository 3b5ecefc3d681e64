"""Requests that wait in the write queue of a connection whose engine does not read."""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path
from typing import Any

import pytest

from query_broker.deadlines.handover_checks import HandOver, StopReason
from query_broker.protocols import client_frames as frames

from ..server.co_processes import co_process, meet
from ..support.sockets import (
    Client,
    Engine,
    make_config,
    on_uvloop,
    target_entry,
    until,
    within,
)
from .deadline_brokers import (
    LARGE_STATEMENT,
    broker_with_engine_ports,
    change_endpoint,
    client_with_partly_written_request,
    client_with_queued_request,
    engine_connections,
    request_id,
    statistics,
    stopped_count,
    wait_for_queued_request,
)
from .slow_engine import slow_engine

pytestmark = pytest.mark.real_time

ID_1 = request_id(1).encode()
ID_2 = request_id(2).encode()
ID_3 = request_id(3).encode()


async def codes_of_two_answers(client: Client) -> dict[int, int]:
    """Return the codes of the next two answers, by stream."""
    codes = {}
    for _ in range(2):
        stream, code, _, _ = await client.answer()
        codes[stream] = code
    return codes


@on_uvloop
async def test_cancelled_requests_are_never_sent_completely_and_the_others_go_on() -> None:
    async with slow_engine() as slow, broker_with_engine_ports(slow.port) as broker:
        client = await client_with_partly_written_request(broker)
        for number in (2, 3):
            client.send_request(number, trace=request_id(number), weight="1.0")
        await wait_for_queued_request(broker)
        client.send(frames.ABANDON, 2)
        await until(lambda: stopped_count(broker, HandOver.SOCKET, StopReason.CLIENT_LEFT) == 1)
        await until(lambda: ID_2 not in engine_connections(broker)[0].in_flight)
        client.send(frames.ABANDON, 1)  # partly written: the rest of the frame must not follow
        await slow.read_until(lambda: slow.requests())
        await slow.read_rounds(20)
        assert slow.request_ids() == [ID_3]
        first_buffer, second_buffer = slow.buffers.values()
        assert 0 < len(first_buffer) < len(LARGE_STATEMENT)
        assert not second_buffer
        assert statistics(broker).partial_write_counts == {StopReason.CLIENT_LEFT: 1}


@on_uvloop
async def test_at_the_deadline_a_partly_written_request_fails_and_an_unsent_one_is_rejected() -> (
    None
):
    async with slow_engine() as slow, broker_with_engine_ports(slow.port) as broker:
        broker.node.dispatcher.pools.max_connections = 1
        client = await broker.client()
        fields: dict[str, Any] = {"patience": "300", "route": "stock-add", "weight": "1.0"}
        client.send_request(1, body=LARGE_STATEMENT, trace=request_id(1), **fields)
        client.send_request(2, trace=request_id(2), **fields)
        codes = await codes_of_two_answers(client)
        # The first was being sent, so it fails. No byte of the second was, so it can be retried.
        assert codes == {1: frames.FAILED, 2: frames.REFUSED}
        await slow.read_rounds(100)
        assert slow.request_ids() == []
        assert statistics(broker).partial_write_counts == {StopReason.DEADLINE_PASSED: 1}


@on_uvloop
async def test_a_queued_request_states_its_remaining_time_and_is_not_sent_without_any() -> None:
    """If the deadline passes while a request is queued, the engine would get a negative time."""
    async with slow_engine() as slow, broker_with_engine_ports(slow.port) as broker:
        client = await client_with_queued_request(broker, patience="4000")
        (attempt,) = (
            frame.subject for frame in engine_connections(broker)[0].write_queue.by_key.values()
        )
        await asyncio.sleep(0.2)
        await slow.read_until(lambda: len(slow.requests()) == 2)
        fields = dict(field.split(b"=") for field in slow.requests()[1][2].split(b","))
        assert int(fields[b"limit"]) <= 3_800
        attempt.deadline_ns = broker.node.dispatcher.now()
        attempt.reported = False
        assert not broker.node.dispatcher.connection_events.may_proceed(attempt)
        assert stopped_count(broker, HandOver.SOCKET, StopReason.DEADLINE_PASSED) == 1
        client.writer.close()  # the client must stay connected until here


@pytest.mark.parametrize(
    "reason",
    [StopReason.ENDPOINT_DISABLED, StopReason.ENDPOINT_DRAINING],
    ids=["disabled", "drained"],
)
@on_uvloop
async def test_a_queued_request_is_not_sent_to_a_disabled_or_draining_engine(
    reason: StopReason,
) -> None:
    other = Engine()
    other_port = await other.start()
    async with slow_engine() as slow, broker_with_engine_ports(slow.port) as broker:
        client = await client_with_queued_request(broker, route="stock-add")
        broker.node.dispatcher.pools.max_connections = 8
        change_endpoint(broker, 2, target_entry("s-2", other_port))
        if reason is StopReason.ENDPOINT_DISABLED:
            broker.node.dispatcher.set_endpoint_disabled("s-1", True)
        else:
            change_endpoint(broker, 3, target_entry("s-1", slow.port, "terminating"))
        await slow.read_until(lambda: other.commands_named(b"do"))
        # The request is not idempotent, but may go elsewhere: the first engine never got it.
        assert (await client.answer())[:2] == (2, frames.SERVED)
        assert slow.request_ids() == [ID_1]
        assert stopped_count(broker, HandOver.SOCKET, reason) == 1


@on_uvloop
async def test_an_engine_that_reads_one_byte_at_a_time_does_not_delay_another_engine() -> None:
    other = Engine()
    async with slow_engine() as slow, broker_with_engine_ports(slow.port) as broker:
        client = await client_with_partly_written_request(broker, max_connections=2)
        change_endpoint(broker, 2, target_entry("s-2", await other.start()))
        broker.node.dispatcher.pools.max_connections = 16
        for number in range(2, 32):
            await slow.read(1)
            client.send_request(number, trace=request_id(number), weight="1.0", patience="400")
            await asyncio.sleep(0.005)
        codes = [(await client.answer())[1] for _ in range(30)]
        assert codes.count(frames.SERVED) >= 10
        assert len(codes) == 30
        queues = [connection.write_queue for connection in engine_connections(broker)]
        assert all(len(queue.heap) <= queue.max_frames for queue in queues)


@on_uvloop
async def test_after_a_reset_a_non_idempotent_request_is_retried_only_if_it_was_not_sent() -> None:
    """The first attempt of one request may have run, that of the other was not sent.

    Only the latter may be retried.
    """
    other = Engine()
    other_port = await other.start()
    async with slow_engine() as slow, broker_with_engine_ports(slow.port) as broker:
        client = await client_with_queued_request(broker, route="stock-add")
        broker.node.dispatcher.pools.max_connections = 8
        change_endpoint(broker, 2, target_entry("s-2", other_port))
        engine_connections(broker)[0].transport.abort()  # as if the engine had reset it
        codes = await codes_of_two_answers(client)
        assert codes == {1: frames.FAILED, 2: frames.SERVED}
        assert [command[1] for command in other.commands_named(b"do")] == [ID_2]


@on_uvloop
async def test_unsent_requests_are_rejected_at_the_close_out() -> None:
    other = Engine()
    other_port = await other.start()
    async with slow_engine() as slow, broker_with_engine_ports(slow.port) as broker:
        client = await client_with_queued_request(broker, route="stock-add")
        change_endpoint(broker, 2, target_entry("s-2", other_port))
        broker.node.dispatcher.cancellations.close_out_all()
        codes = await codes_of_two_answers(client)
        assert codes == {1: frames.FAILED, 2: frames.REFUSED}
        assert not other.commands_named(b"do")


@on_uvloop
async def test_a_queued_request_is_rejected_when_a_peer_process_takes_over(tmp_path: Path) -> None:
    async with slow_engine() as slow:
        config = make_config(target_entry("s-1", slow.port))
        with socket.create_server(("127.0.0.1", 0)) as listening:
            async with co_process(config, listening, tmp_path) as old:
                client = await client_with_queued_request(
                    old, patience="900", route="stock-add", weight="200"
                )
                async with co_process(config, listening, tmp_path) as new:
                    await meet(old, new)
                    old.node.shutdown.begin()
                    assert (await client.frame())[0] == frames.NO_MORE
                    assert (await client.answer())[:2] == (2, frames.REFUSED)  # it was not sent
                    client.send(frames.ABANDON, 1)
                    await within(old.node.stopped.wait())
                    await slow.read_rounds(50)
                    assert ID_2 not in slow.request_ids()
