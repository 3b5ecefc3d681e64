"""The calls of a mass start on a simulated clock: of the discovery service, and of one engine.

The pacing and the ramp are those of a broker, but no broker runs.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Sequence
from typing import NamedTuple

from query_broker.emulator.faulty_links import Fault, FaultKind, FaultSchedule
from query_broker.startup.admission_ramp import AdmissionRamp
from query_broker.startup.pacing import CallSchedule, call_window_ns, health_check_slot_ns
from query_broker.startup.settings import StartupSettings

from .harness.results import Results
from .harness.statistics import busiest_window
from .harness.units import NS_PER_S
from .start_settings import (
    DISCOVERY_FAULTS,
    DISCOVERY_LINK,
    DISCOVERY_OUTAGE,
    ENGINE_PROBES_PER_S,
    LAST_FAULT_ENDS_S,
    LIST_CALLS_PER_S,
    MODES,
    OUTAGE_ENDS_S,
)

ENGINE_NUMBER = 7
RAMP_SUCCESSES_PER_S = 4
# Retries before calls were paced: an exponential backoff, half of which is random.
FORMER_INITIAL_BACKOFF_S = 0.05
FORMER_MAX_BACKOFF_S = 0.4

#: The rates, plus two calls whose slots extend over the edges of the measured second.
MAX_LIST_CALLS_PER_S = LIST_CALLS_PER_S + 2
MAX_PROBES_PER_S = ENGINE_PROBES_PER_S + 2
#: Each broker calls within one window, after failures within five (`docs/design/start.md`); RAMP_S
#: is for the admission ramp.
CALL_WINDOWS = 6
RAMP_S = 10


class ScheduledCall(NamedTuple):
    """The next call of a broker; calls are ordered by time, then by broker."""

    at_s: float
    broker: int
    pacing: CallSchedule


class CallTimes(NamedTuple):
    """When the brokers called, in seconds from the start.

    Attributes:
        list_calls_s: Calls of the discovery service.
        probes_s: Health checks of one engine.
        open_s: When the admission ramp of each broker was complete.
    """

    list_calls_s: list[float]
    probes_s: list[float]
    open_s: list[float]


class Fleet:
    """Brokers that start within a second and call the discovery service."""

    def __init__(self, count: int, seed: int, is_paced: bool, faults: Sequence[Fault]) -> None:
        """Schedule the first call of each broker.

        Args:
            count: How many brokers.
            seed: Seed of all random choices.
            is_paced: Whether they pace their calls.
            faults: Faults of the discovery service.
        """
        self._count = count
        self._random = random.Random(seed)
        self._is_paced = is_paced
        self._now_s = 0.0
        self._schedule = FaultSchedule(faults, lambda: self._now_s)
        self._resets_s = sorted(fault.begin_s for fault in faults if fault.kind is FaultKind.RESET)
        self._settings = StartupSettings(
            list_connects_per_s=LIST_CALLS_PER_S,
            endpoint_probes_per_s=float(ENGINE_PROBES_PER_S),
        )
        self._started: set[int] = set()
        self._times = CallTimes([], [], [])
        self._heap = [self._first_call(broker) for broker in range(count)]
        heapq.heapify(self._heap)

    def _first_call(self, broker: int) -> ScheduledCall:
        pacing = CallSchedule(broker, self._count, LIST_CALLS_PER_S, self._random.random)
        begun_s = self._random.random()
        if not self._is_paced:
            return ScheduledCall(begun_s, broker, pacing)
        return ScheduledCall(
            pacing.first_call_ns(int(begun_s * NS_PER_S)) / NS_PER_S, broker, pacing
        )

    def run(self) -> CallTimes:
        """Simulate all calls, and return their times."""
        while self._heap:
            call = heapq.heappop(self._heap)
            self._now_s = call.at_s
            self._times.list_calls_s.append(call.at_s)
            if self._schedule.active_fault(FaultKind.REJECT, DISCOVERY_LINK):
                self._retry(call)
                continue
            self._call_again_after_reset(call)
            if call.broker not in self._started:
                self._start(call.broker)
        return self._times

    def _retry(self, call: ScheduledCall) -> None:
        backoff_s = min(
            FORMER_MAX_BACKOFF_S, FORMER_INITIAL_BACKOFF_S * 2**call.pacing.failure_count
        )
        former_s = call.at_s + backoff_s * (0.5 + self._random.random() / 2)
        paced_s = call.pacing.retry_ns(int(call.at_s * NS_PER_S)) / NS_PER_S
        self._schedule_call(call, paced_s if self._is_paced else former_s)

    def _call_again_after_reset(self, call: ScheduledCall) -> None:
        """Schedule the call that follows the next reset of the connection, if there is one."""
        later_resets_s = [reset_s for reset_s in self._resets_s if reset_s > call.at_s]
        if not later_resets_s:
            return
        paced_s = call.pacing.retry_ns(int(later_resets_s[0] * NS_PER_S)) / NS_PER_S
        if self._is_paced:
            self._schedule_call(call, paced_s)
            return
        self._schedule_call(
            call, later_resets_s[0] + FORMER_INITIAL_BACKOFF_S * self._random.random()
        )

    def _schedule_call(self, call: ScheduledCall, at_s: float) -> None:
        heapq.heappush(self._heap, ScheduledCall(at_s, call.broker, call.pacing))

    def _start(self, broker: int) -> None:
        now_ns = int(self._now_s * NS_PER_S)
        probe_s = self._now_s
        if self._is_paced:
            rate = self._settings.endpoint_probes_per_s
            slot_ns = health_check_slot_ns(now_ns, ENGINE_NUMBER, broker, self._count, rate)
            probe_s = slot_ns / NS_PER_S
        self._times.probes_s.append(probe_s)
        ramp = AdmissionRamp(self._settings, now_ns)
        while self._is_paced and not ramp.is_complete():
            now_ns += NS_PER_S
            ramp.step(now_ns, RAMP_SUCCESSES_PER_S, 0)
        self._times.open_s.append(now_ns / NS_PER_S)
        self._started.add(broker)


class FaultCase(NamedTuple):
    """Faults of the discovery service, and the end of the last fault."""

    ends_s: float
    faults: Sequence[Fault]


FAULT_CASES = (
    FaultCase(0.0, ()),
    FaultCase(OUTAGE_ENDS_S, DISCOVERY_OUTAGE),
    FaultCase(LAST_FAULT_ENDS_S, DISCOVERY_FAULTS),
)


def record_calls(results: Results, seeds: int, sizes: Sequence[int]) -> dict[str, list[float]]:
    """Record the calls with all faults and sizes; return the times of one run of each to plot."""
    plotted: dict[str, list[float]] = {}
    for case in FAULT_CASES:
        for size in sizes:
            for mode in MODES:
                runs = [
                    Fleet(size, seed, mode.is_paced, case.faults).run() for seed in range(seeds)
                ]
                name = f"simulated.{mode.name}_{size}_faults_{case.ends_s:g}"
                max_open_s = case.ends_s + _max_start_s(size)
                _record_runs(results, name, runs, max_open_s if mode.is_paced else None)
                title = f"{mode.name} {size}, faults until {case.ends_s:g} s"
                plotted[title] = runs[0].list_calls_s
    return plotted


def _max_start_s(size: int) -> float:
    return CALL_WINDOWS * call_window_ns(size, LIST_CALLS_PER_S) / NS_PER_S + RAMP_S


def _record_runs(
    results: Results, name: str, runs: Sequence[CallTimes], max_open_s: float | None
) -> None:
    """Record the worst of some runs; those without ``max_open_s`` have no bounds."""
    is_bounded = max_open_s is not None
    results.record(
        f"{name}.list_calls_in_the_busiest_second",
        max(busiest_window(run.list_calls_s) for run in runs),
        at_most=MAX_LIST_CALLS_PER_S if is_bounded else None,
    )
    results.record(
        f"{name}.probes_of_one_engine_in_the_busiest_second",
        max(busiest_window(run.probes_s) for run in runs),
        at_most=MAX_PROBES_PER_S if is_bounded else None,
    )
    last_open_s = max(max(run.open_s) for run in runs)
    results.record(f"{name}.all_full_s", last_open_s, at_most=max_open_s)
