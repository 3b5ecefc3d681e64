"""Brokers of one fleet that share no state, each with a separate harness."""

from __future__ import annotations

import random
from typing import Any

from query_broker import decisions as api
from query_broker.decisions.tracked_endpoint import TrackedEndpoint

from ...support.helpers import MS, Harness, S, entry, make_settings, query_class

FLEET_SIZE = 40
CORES_PER_ENDPOINT = 8
CONTRACT = api.Contract(
    drain_grace_ns=S,
    warmup_initial_capacity=0.36,
    warmup_ns=12 * S,
    overload_window_ns=1_500 * MS,
    overload_multiple=2.0,
)
CLASSES = (
    query_class("glance", latency_objective_ns=S, deadline_ns=5 * S),
    query_class(
        "report",
        latency_objective_ns=1_500 * MS,
        deadline_ns=20 * S,
        priority_weight=10.0,
        threads=4,
    ),
)
NON_IDEMPOTENT_LOAD = query_class(
    "load",
    latency_objective_ns=3 * S,
    deadline_ns=25 * S,
    threads=2,
    effect=api.Effect.NON_IDEMPOTENT,
)
LIMITS = api.Limits(health_checks=True, hedging=True, max_attempts=5, max_retry_after_ns=2 * S)


def endpoint_numbers(count: int, seed: int = 5) -> list[int]:
    """Return random endpoint numbers; equal seeds give equal numbers."""
    return random.Random(seed).sample(range(1 << 32), count)


def entries_in_two_zones(endpoints: list[int]) -> list[api.EndpointEntry]:
    """Return list entries of the endpoints, alternately in zones a and b."""
    return [entry(endpoint, zone="ab"[place % 2]) for place, endpoint in enumerate(endpoints)]


def fleet_settings(
    *classes: api.RequestClass, fleet_size: int = FLEET_SIZE, **changes: Any
) -> api.Settings:
    """Return the settings of a broker in a fleet of this size."""
    return make_settings(
        *classes,
        fleet_size=fleet_size,
        kind_cores=(("box", CORES_PER_ENDPOINT),),
        contract=CONTRACT,
        **changes,
    )


def make_broker(
    endpoints: list[int], index: int = 0, fleet_size: int = FLEET_SIZE, **changes: Any
) -> Harness:
    """Return the broker with this index in the fleet; the index is also its seed."""
    settings = fleet_settings(*CLASSES, fleet_size=fleet_size, broker_index=index, **changes)
    return Harness(settings, *entries_in_two_zones(endpoints), seed=index)


def make_fleet(endpoints: list[int], fleet_size: int = FLEET_SIZE, **changes: Any) -> list[Harness]:
    """Return all brokers of the fleet."""
    return [make_broker(endpoints, index, fleet_size, **changes) for index in range(fleet_size)]


def change_list(harness: Harness, *entries: api.EndpointEntry) -> None:
    """Report changed entries of the endpoint list to the broker."""
    harness.do(api.EndpointListUpdate(api.ListUpdateKind.CHANGES, entries))


def answer_health_check(harness: Harness, endpoint: TrackedEndpoint, **load_report: float) -> None:
    """Report a successful health check of the endpoint with this load report."""
    harness.do(
        api.HealthCheckResult(
            endpoint.entry.endpoint, api.AttemptResult.SERVED, MS, api.LoadReport(**load_report)
        )
    )


def endpoints_checked(harness: Harness) -> list[int]:
    """Return the endpoint of each health check that the broker has ordered, in sequence."""
    return [action.endpoint for _, action in harness.log if isinstance(action, api.HealthCheck)]
