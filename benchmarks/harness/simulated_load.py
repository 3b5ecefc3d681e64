"""Settings and requests of brokers whose decisions run on a simulated clock."""

from __future__ import annotations

import random
from typing import NamedTuple

from query_broker import decisions as api

from .units import NS_PER_MS, NS_PER_S

#: Fraction of wide requests, which use four threads for a long time.
WIDE_FRACTION = 0.1
NARROW_WORK_NS = NS_PER_S // 5
WIDE_WORK_NS = 4 * NS_PER_S
MEAN_WORK_NS = (1 - WIDE_FRACTION) * NARROW_WORK_NS + WIDE_FRACTION * WIDE_WORK_NS
#: Bounds of the work of a request, as multiples of the mean of its class.
WORK_SPREAD = (0.5, 1.5)
#: Requested work as a fraction of the capacity of the warm engines.
LOAD_FRACTION = 0.6
ENGINE_CORES = 8

REQUEST_CLASSES = (
    api.RequestClass("glance", NS_PER_S, 5 * NS_PER_S, 1.0),
    api.RequestClass("report", 3 * NS_PER_S // 2, 20 * NS_PER_S, 10.0, threads=4),
)
#: The platform's contract: how engines warm up and under which load they crash.
CONTRACT = api.Contract(
    warmup_initial_capacity=0.36,
    warmup_ns=12 * NS_PER_S,
    overload_window_ns=1_500 * NS_PER_MS,
    overload_multiple=2.0,
)


class DrawnRequest(NamedTuple):
    """A request to a simulated broker."""

    request_class: str
    work_ns: float
    threads: int
    timeout_ns: int


def draw_request(rng: random.Random) -> DrawnRequest:
    """Draw a request: one in ten is wide."""
    is_wide = rng.random() < WIDE_FRACTION
    multiple = rng.uniform(*WORK_SPREAD)
    if is_wide:
        return DrawnRequest("report", multiple * WIDE_WORK_NS, 4, 20 * NS_PER_S)
    return DrawnRequest("glance", multiple * NARROW_WORK_NS, 1, 5 * NS_PER_S)


def engine_count(brokers: int, minimum: int) -> int:
    """Return the number of engines for a number of brokers: two per five brokers, at most 80."""
    return max(minimum, min(80, 2 * brokers // 5))


def simulated_settings(broker_index: int, brokers: int) -> api.Settings:
    """Return the settings of one simulated broker.

    Args:
        broker_index: Its number in the fleet.
        brokers: Size of the fleet.
    """
    return api.Settings(
        classes=REQUEST_CLASSES,
        fleet_size=brokers,
        broker_index=broker_index,
        tick_ns=25 * NS_PER_MS,
        kind_cores=(("std", ENGINE_CORES),),
        limits=api.Limits(health_checks=True, max_attempts=3, max_retry_after_ns=2 * NS_PER_S),
        contract=CONTRACT,
    )
