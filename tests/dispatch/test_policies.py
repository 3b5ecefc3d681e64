"""Policies that change the behaviour of the dispatcher: settings, metrics and `retry_after`."""

from __future__ import annotations

from dataclasses import replace

import pytest

from query_broker.decisions.facade import Settings
from query_broker.dispatch.observers import DispatchExtensions

from ..support.sockets import make_config
from .dispatchers import make_dispatcher
from .recording_client import Answer, Outcome, RecordingClient, parsed_request


class IncrementFleetSize:
    """Adds one to the fleet size."""

    def adjust(self, given: Settings) -> Settings:
        return replace(given, fleet_size=given.fleet_size + 1)


class DoubleFleetSize:
    """Doubles the fleet size."""

    def adjust(self, given: Settings) -> Settings:
        return replace(given, fleet_size=given.fleet_size * 2)


class ConstantRetryAfter:
    """Returns the same `retry_after` for each rejection."""

    def __init__(self, constant_ns: int) -> None:
        self.constant_ns = constant_ns

    def retry_after_ns(self, original_ns: int) -> int:
        return self.constant_ns


class ConstantMetrics:
    """Returns the same lines each time."""

    def __init__(self, lines: bytes) -> None:
        self.lines = lines

    def metrics(self) -> bytes:
        return self.lines


def test_settings_adjusters_are_applied_in_the_order_of_registration() -> None:
    extensions = DispatchExtensions()
    settings = make_config().settings
    extensions.add_settings_adjuster(IncrementFleetSize())
    extensions.add_settings_adjuster(DoubleFleetSize())
    assert extensions.adjust_settings(settings).fleet_size == (settings.fleet_size + 1) * 2


def test_lines_of_metrics_sources_follow_those_of_the_dispatcher() -> None:
    dispatcher = make_dispatcher()
    dispatcher_lines = dispatcher.metrics()
    dispatcher.extensions.add_metrics_source(ConstantMetrics(b"one 1\n"))
    dispatcher.extensions.add_metrics_source(ConstantMetrics(b"two 2\n"))
    assert dispatcher.metrics() == dispatcher_lines + b"one 1\ntwo 2\n"


@pytest.mark.parametrize(
    ("policy_ns", "retry_after_ms"), [(7_000_001, 8), (7_000_000, 7)], ids=["rounded", "exact"]
)
def test_the_retry_after_policy_is_rounded_up_to_milliseconds(
    policy_ns: int, retry_after_ms: int
) -> None:
    dispatcher = make_dispatcher()
    client = RecordingClient()
    dispatcher.extensions.set_retry_after_policy(ConstantRetryAfter(policy_ns))
    # Without an endpoint the request waits until the close-out rejects it.
    dispatcher.submit(client, 1, parsed_request("glance"))
    dispatcher.cancellations.close_out_all()
    assert client.answers == [Answer(Outcome.REJECTED, retry_after_ms)]
