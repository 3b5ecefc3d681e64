"""Long scenarios: an outage of a zone, a new endpoint list, a restart of most brokers."""

from __future__ import annotations

import heapq
import random
from collections import Counter
from dataclasses import dataclass, field
from typing import NamedTuple

import pytest

from query_broker import decisions as api

from ...support.helpers import MS, Harness, S, entry
from .fleet_brokers import (
    CLASSES,
    CORES_PER_ENDPOINT,
    LIMITS,
    NON_IDEMPOTENT_LOAD,
    change_list,
    endpoint_numbers,
    entries_in_two_zones,
    fleet_settings,
    make_broker,
    make_fleet,
)


class PlannedEnd(NamedTuple):
    """The step in which an attempt ends, and its result."""

    step: int
    result: api.AttemptResult


class ZoneOutage:
    """Requests of one broker while the endpoints of a zone may not answer."""

    def __init__(self, harness: Harness, zone: set[int], random_source: random.Random) -> None:
        self.harness = harness
        self.zone = zone
        self.random_source = random_source
        self.class_by_request: dict[str, str] = {}
        self.served: set[str] = set()
        self.ends: dict[tuple[str, int], PlannedEnd] = {}

    def arrive(self, step: int) -> None:
        """Let a request of a random class arrive."""
        class_name = self.random_source.choice(["glance", "glance", "report", "load"])
        self.class_by_request[f"r{step}"] = class_name
        self.harness.arrive(f"r{step}", class_name, patience=5 * S, estimate_ns=300 * MS)

    def plan_ends(self, step: int, zone_is_silent: bool) -> None:
        """Plan the end of new attempts: served after 0.3 s, or a timeout after 5 s if silent."""
        for name in self.class_by_request:
            for number, attempt in enumerate(self.harness.sends(name)):
                if zone_is_silent and attempt.endpoint in self.zone:
                    end = PlannedEnd(step + 50, api.AttemptResult.TIMEOUT)
                else:
                    end = PlannedEnd(step + 3, api.AttemptResult.SERVED)
                self.ends.setdefault((name, number), end)

    def end_due(self, step: int) -> None:
        """End the attempts that are planned to end in this step."""
        for (name, number), end in list(self.ends.items()):
            if end.step != step:
                continue
            if end.result is api.AttemptResult.SERVED and not self.harness.answers(name):
                self.served.add(name)
            self.harness.end(
                name,
                end.result,
                attempt=number,
                latency=300 * MS,
                finished=name in self.served or bool(self.harness.answers(name)),
            )


def test_silent_zone_is_ejected_and_used_again_after_its_restart() -> None:
    """The zone is ejected while it does not answer, and used again after its restart.

    Each request gets one final answer, and no non-idempotent request is dispatched twice.
    """
    endpoints = endpoint_numbers(30)
    settings = fleet_settings(*CLASSES, NON_IDEMPOTENT_LOAD, broker_index=3, limits=LIMITS)
    harness = Harness(settings, *entries_in_two_zones(endpoints))
    controller = harness.controller
    zone = set(endpoints[1::2])
    outage = ZoneOutage(harness, zone, random.Random(9))
    for step in range(420):
        if step < 380:
            outage.arrive(step)
        outage.plan_ends(step, zone_is_silent=step < 200)
        outage.end_due(step)
        harness.pass_time(100 * MS)
        if step == 199:
            used_in_zone = [
                endpoint for endpoint in controller.pool.subset if endpoint.entry.endpoint in zone
            ]
            assert used_in_zone
            assert all(endpoint.ejected for endpoint in used_in_zone)
            change_list(
                harness,
                *(entry(number, zone="b", started_ns=harness.now) for number in sorted(zone)),
            )
            assert not any(controller.endpoints[number].ejected for number in zone)
    timeouts = [end for end in outage.ends.values() if end.result is api.AttemptResult.TIMEOUT]
    assert len(timeouts) >= 3
    assert not controller.requests
    for name, class_name in outage.class_by_request.items():
        assert len(harness.answers(name)) + (name in outage.served) == 1
        assert class_name != "load" or len(harness.sends(name)) <= 1
    assert any(
        action.endpoint in zone
        for at_ns, action in harness.log
        if isinstance(action, api.Dispatch) and at_ns > 122 * S
    )


@pytest.mark.parametrize("count", [0, 1, 500])
def test_full_list_of_any_length_is_applied_while_a_request_is_open(count: int) -> None:
    harness = make_broker(endpoint_numbers(30))
    harness.arrive("open", "report", patience=20 * S, estimate_ns=S)
    new_list = endpoint_numbers(count, seed=8)
    harness.do(
        api.EndpointListUpdate(api.ListUpdateKind.FULL, tuple(entry(number) for number in new_list))
    )
    harness.pass_time(2 * S)
    former = harness.sends("open")[0].endpoint
    for index in range(50):
        name = f"r{index}"
        harness.arrive(name, "glance", estimate_ns=MS)
        assert all(
            attempt.endpoint != former or former in new_list for attempt in harness.sends(name)
        )
        assert harness.sends(name) or isinstance(harness.answers(name)[0], api.Reject)
    harness.end("open", api.AttemptResult.SERVED)
    assert not harness.answers("open")


@dataclass(order=True)
class RunningAttempt:
    """An attempt at an endpoint that shares its cores among all its threads."""

    ends_at: int
    sequence: int
    threads: int = field(compare=False)
    harness: Harness = field(compare=False)
    dispatch: api.Dispatch = field(compare=False)
    number: int = field(compare=False)
    started_at: int = field(compare=False)


class SharedEndpoints:
    """Endpoints that run the attempts of all brokers, also of brokers that have crashed."""

    def __init__(self) -> None:
        self.running: list[RunningAttempt] = []
        self.threads_by_endpoint: Counter[int] = Counter()
        self.started_count = 0

    def start(self, now: int, harness: Harness, dispatch: api.Dispatch) -> None:
        """Start the attempt; it is slower if its endpoint runs more threads than it has cores."""
        request = harness.controller.requests[dispatch.request_id]
        threads = request.spec.threads
        self.threads_by_endpoint[dispatch.endpoint] += threads
        slowdown = max(1.0, self.threads_by_endpoint[dispatch.endpoint] / CORES_PER_ENDPOINT)
        self.started_count += 1
        attempt = RunningAttempt(
            now + int(request.run_time() * slowdown),
            self.started_count,
            threads,
            harness,
            dispatch,
            harness.sends(dispatch.request_id).index(dispatch),
            now,
        )
        heapq.heappush(self.running, attempt)

    def end_due(self, now: int, fleet: list[Harness]) -> None:
        """End the attempts that are due; only brokers that have not crashed get the answers."""
        while self.running and self.running[0].ends_at <= now:
            attempt = heapq.heappop(self.running)
            self.threads_by_endpoint[attempt.dispatch.endpoint] -= attempt.threads
            if attempt.harness in fleet:
                attempt.harness.end(
                    attempt.dispatch.request_id,
                    api.AttemptResult.SERVED,
                    attempt=attempt.number,
                    latency=now - attempt.started_at,
                )


def arrive_at_random(harness: Harness, name: str, random_source: random.Random) -> None:
    """Let a lookup or a report arrive with a probability of one quarter."""
    if random_source.random() >= 0.25:
        return
    is_report = random_source.random() < 0.15
    class_name = "report" if is_report else "glance"
    mean_work_ns = 2 * S if is_report else 200 * MS
    work_ns = int(mean_work_ns * random_source.uniform(0.5, 1.5))
    harness.arrive(name, class_name, patience=20 * S, estimate_ns=work_ns)


def test_restart_of_most_brokers_at_once_overloads_no_endpoint() -> None:
    """The restarted brokers don't know the attempts of their predecessors, which still run."""
    endpoints = endpoint_numbers(80)
    random_source = random.Random(4)
    fleet = make_fleet(endpoints, 200, limits=LIMITS)
    read_up_to = [0] * len(fleet)
    shared = SharedEndpoints()
    thread_sums: list[int] = []
    thread_peaks: list[int] = []
    began = fleet[0].now
    restart_step = 80
    for step in range(150):
        if step == restart_step:
            for index in random_source.sample(range(200), 140):
                fleet[index] = make_broker(endpoints, index, 200, limits=LIMITS)
                read_up_to[index] = 0
        now = began + step * 100 * MS
        shared.end_due(now, fleet)
        for index, harness in enumerate(fleet):
            harness.pass_time(now - harness.now)
            arrive_at_random(harness, f"{step}", random_source)
            for _, action in harness.log[read_up_to[index] :]:
                if isinstance(action, api.Dispatch):
                    shared.start(now, harness, action)
            read_up_to[index] = len(harness.log)
        thread_sums.append(sum(shared.threads_by_endpoint.values()))
        thread_peaks.append(max(shared.threads_by_endpoint.values()))
    usual = sum(thread_sums[60:restart_step]) / (restart_step - 60)
    all_cores = len(endpoints) * CORES_PER_ENDPOINT
    assert 0.2 * all_cores < usual < all_cores  # there is load but no overload
    assert max(thread_sums[restart_step:]) < 1.5 * usual  # and none after the restart
    assert max(thread_peaks[restart_step:]) < 4 * CORES_PER_ENDPOINT
    assert sum(thread_sums[-20:]) / 20 < 1.2 * usual  # after five seconds the load is as before
