"""Relaying of results from an engine to the client."""

from __future__ import annotations

from enum import Enum

import pytest
from hypothesis import given
from hypothesis import strategies as st

from query_broker.clickhouse.relay import FaultOutcome, Relay, RelayAction, RelayState, ResponseHead


def take_actions(relay: Relay) -> list[RelayAction]:
    """Take the pending steps of the relay and return their actions."""
    return [action for action, _ in relay.take_steps()]


def test_a_failed_attempt_can_be_replaced_while_nothing_was_sent() -> None:
    relay = Relay(wait_for_end=True)
    relay.head_received(ResponseHead(200))
    relay.body_received(b"half")
    assert relay.attempt_failed() is FaultOutcome.RETRY
    assert not relay.take_steps()
    assert relay.state is RelayState.WAITING
    relay.head_received(ResponseHead(200))
    relay.body_received(b"complete")
    assert relay.body_ended()
    assert relay.take_steps() == [
        (RelayAction.SEND_HEAD, b""),
        (RelayAction.SEND_BODY, b"complete"),
        (RelayAction.SEND_END, b""),
    ]
    assert relay.attempt_failed() is FaultOutcome.ALREADY_ENDED


def test_a_fault_after_the_first_byte_aborts_and_is_not_retried() -> None:
    relay = Relay()
    relay.head_received(ResponseHead(200))
    relay.body_received(b"a")
    assert relay.attempt_failed() is FaultOutcome.FAILED
    assert take_actions(relay) == [
        RelayAction.SEND_HEAD,
        RelayAction.SEND_BODY,
        RelayAction.ABORT,
    ]
    with pytest.raises(AssertionError):
        relay.restart()
    relay.body_received(b"b")
    assert not relay.body_ended()
    assert not relay.take_steps()


@pytest.mark.parametrize(
    ("wait_end", "state"),
    [(True, RelayState.WAITING), (False, RelayState.BROKEN)],
    ids=["buffered", "streamed"],
)
def test_a_result_with_an_exception_marker_at_its_end_is_incomplete(
    wait_end: bool, state: RelayState
) -> None:
    relay = Relay(wait_for_end=wait_end)
    relay.head_received(ResponseHead(200))
    relay.body_received(b"1\t2\n__exce")
    relay.body_received(b"ption__\nCode: 241\n")
    assert not relay.body_ended()
    assert relay.state is state


def test_an_exception_marker_within_a_row_is_part_of_the_result() -> None:
    relay = Relay()
    relay.head_received(ResponseHead(200))
    relay.body_received(b"a row with __exception__ in it\n")
    assert relay.body_ended()


def test_a_result_beyond_the_buffer_limit_is_streamed() -> None:
    relay = Relay(wait_for_end=True, max_buffered_bytes=10)
    relay.head_received(ResponseHead(200))
    relay.body_received(b"x" * 8)
    assert not relay.take_steps()
    relay.body_received(b"x" * 8)
    assert take_actions(relay) == [
        RelayAction.SEND_HEAD,
        RelayAction.SEND_BODY,
        RelayAction.SEND_BODY,
    ]
    assert relay.overflowed
    assert relay.buffered_bytes == 0


def test_an_engine_error_is_not_sent_while_a_retry_is_possible() -> None:
    relay = Relay()
    relay.head_received(ResponseHead(500))
    relay.body_received(b"Code: 241")
    assert not relay.take_steps()
    assert relay.attempt_failed() is FaultOutcome.RETRY
    assert relay.give_up() is FaultOutcome.FAILED
    assert take_actions(relay) == [RelayAction.SEND_ERROR]


class RelayStep(Enum):
    """Events of a relay, which may occur in any order."""

    DATA = "data"
    WRITTEN = "written"
    FAULT = "fault"
    END = "end"
    NOTHING = "nothing"
    CLIENT_LEFT = "client left"


def take_step(relay: Relay, step: RelayStep, byte_count: int) -> None:
    """Apply the step to the relay; start the next attempt if the relay waits for one."""
    if step is RelayStep.DATA and not relay.paused:
        relay.body_received(b"x" * byte_count)
    elif step is RelayStep.WRITTEN:
        relay.bytes_written(byte_count)
    elif step is RelayStep.FAULT:
        relay.attempt_failed()
    elif step is RelayStep.END:
        relay.body_ended()
    elif step is RelayStep.CLIENT_LEFT:
        relay.client_left()
    if relay.state is RelayState.WAITING:
        relay.head_received(ResponseHead(200))


@given(
    st.lists(st.tuples(st.sampled_from(RelayStep), st.integers(0, 400_000)), max_size=40),
    st.booleans(),
)
def test_memory_is_bounded_and_the_client_gets_one_end(
    steps: list[tuple[RelayStep, int]], wait_end: bool
) -> None:
    relay = Relay(wait_for_end=wait_end, max_buffered_bytes=100_000)
    sent_bytes = 0
    ends = 0
    client_left = False
    relay.head_received(ResponseHead(200))
    for step, byte_count in steps:
        take_step(relay, step, byte_count)
        client_left = client_left or step is RelayStep.CLIENT_LEFT
        for action, data in relay.take_steps():
            assert not client_left or action is RelayAction.RESUME
            assert not ends or action in (RelayAction.RESUME, RelayAction.PAUSE)
            sent_bytes += len(data)
            ends += action in (RelayAction.SEND_END, RelayAction.ABORT, RelayAction.SEND_ERROR)
        assert relay.buffered_bytes <= 100_000
        assert relay.unread_bytes <= 262_144 + 800_000
    assert ends <= 1
    assert sent_bytes <= relay.passed_bytes
