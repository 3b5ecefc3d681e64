"""Detection, false removals and healing of the membership on a simulated clock.

Detection and false removals are compared with plain SWIM on the same seeds, false removals also
with plain heartbeats.
"""

from __future__ import annotations

import multiprocessing
import os
import random
import statistics
from collections.abc import Callable, Iterable
from functools import partial
from typing import Any, NamedTuple

from query_broker.emulator.clients import quantile
from query_broker.emulator.membership_simulation import BEGIN_NS, LinkProperty, SimulatedCluster
from query_broker.membership.messages import Identity, Status
from query_broker.membership.settings import NS_PER_S, MembershipSettings
from query_broker.membership.timing import Quantiles, detection_bounds, min_suspicion_ns

from .harness.results import Results

SETTLE_S = 5.0  # before the first fault
PAUSE_DURATION_S = 10.0
OBSERVED_S = 30.0
PARTITION_DURATION_S = 60
HEALING_TIMEOUT_S = 240
MAX_HEARTBEAT_RUNS = 50
MAX_HEARTBEAT_MEMBERS = 100
#: One healing of a partition is measured for this many runs of a case.
RUNS_PER_HEALING = 20
CHUNKS = 64

#: Running members are not removed while up to a tenth of all messages is lost; with a higher loss
#: the removals are measured without a bound.
MAX_HEALTHY_REMOVED = 0
MAX_LOSS_WITHOUT_REMOVALS = 0.1
#: A paused member must notice its own pause before it removes others.
MAX_REMOVED_BY_PAUSED = 0
#: Without faults a member's traffic does not grow with the number of members: it was 157 bytes a
#: second at 10 and at 1,000 (`docs/design/members.md`). The goal leaves room for other settings.
MAX_BYTES_PER_S = 600.0
#: Twice the length of the partition, and a rate that any network carries. Partitions healed within
#: 5.7 and 17.5 s, at 3.5 messages a second per member (`docs/design/members.md`).
MAX_AGREE_AFTER_HEALING_S = 120.0
MAX_HEALING_MESSAGES_PER_S = 30.0


class Mode(NamedTuple):
    """The simulated protocol: plain SWIM, or the membership with its extensions."""

    plain_swim: bool
    name: str


MODES = (Mode(False, "ours"), Mode(True, "swim"))


class Detection(NamedTuple):
    """When the end of a member was suspected and detected, and the traffic before it."""

    suspected_s: float
    removed_s: float
    bytes_per_s: float


class RemovalCounts(NamedTuple):
    """Counts of removals: of members that ran all the time, and of paused members."""

    healthy: int
    healthy_by_paused: int
    paused: int


class Healing(NamedTuple):
    """How a partition healed: the time until all agree, and messages per member and second."""

    agreed_s: float
    messages_per_s: float


def uniform_loss(loss: float) -> LinkProperty | None:
    """Return a link property with this loss on all links; None for no loss."""
    return (lambda now, sender, receiver: loss) if loss else None


def is_present_to_any(cluster: SimulatedCluster, identity: Identity) -> bool:
    """Return whether any running member considers another present."""
    return any(identity in member.detector.present() for member in cluster.running_members())


def first_suspicion_ns(cluster: SimulatedCluster, victim: Identity, after_ns: int) -> int:
    """Return when a member was first suspected after a time; the current time if it was not."""
    times = [
        at_ns
        for member in cluster.members
        for at_ns, change in member.changes
        if change.member == victim and change.status is Status.SUSPECT
    ]
    return min((at_ns for at_ns in times if at_ns > after_ns), default=cluster.now)


def measure_detection(count: int, loss: float, plain_swim: bool, seed: int) -> Detection:
    """Measure how long it takes to detect the end of a member."""
    membership = MembershipSettings(plain_swim=plain_swim)
    cluster = SimulatedCluster(count, membership, seed, uniform_loss(loss))
    cluster.run(SETTLE_S)
    bytes_per_s = sum(cluster.sent_bytes.values()) / count / SETTLE_S
    victim = cluster.members[count // 2].detector.me
    cluster.kill([count // 2])
    ended_ns = cluster.now
    worst_s = detection_bounds(membership, count).removed.worst_s
    cluster.run(2 * worst_s, lambda: not is_present_to_any(cluster, victim))
    removals = cluster.removals([victim])
    last_ns = max((removal.removed_at_ns for removal in removals), default=cluster.now)
    if is_present_to_any(cluster, victim):
        last_ns = cluster.now
    first_ns = first_suspicion_ns(cluster, victim, ended_ns)
    suspected_s = (first_ns - ended_ns) / NS_PER_S
    return Detection(suspected_s, (last_ns - ended_ns) / NS_PER_S, bytes_per_s)


def draw_paused(rng: random.Random, count: int, fraction: float) -> set[int]:
    """Draw the members that pause."""
    paused = max(1, round(fraction * count)) if fraction else 0
    return set(rng.sample(range(count), paused))


def count_removals(
    count: int, loss: float, paused_fraction: float, plain_swim: bool, seed: int
) -> RemovalCounts:
    """Count removals while some members are paused."""
    membership = MembershipSettings(plain_swim=plain_swim)
    cluster = SimulatedCluster(count, membership, seed, uniform_loss(loss))
    cluster.run(SETTLE_S)
    paused = draw_paused(cluster.draw, count, paused_fraction)
    cluster.pause(paused, PAUSE_DURATION_S)
    cluster.run(OBSERVED_S)
    never_paused = {member.detector.me for member in cluster.members if member.number not in paused}
    false_removals = cluster.removals(never_paused)
    return RemovalCounts(
        len(false_removals),
        sum(removal.removed_by in paused for removal in false_removals),
        sum(removal.member not in never_paused for removal in cluster.removals()),
    )


class HeartbeatRun:
    """Members that send a heartbeat to all others each interval.

    A member is removed after a silence of one interval and the membership's shortest suspicion.
    """

    def __init__(self, count: int, loss: float, paused_fraction: float, seed: int) -> None:
        """Draw the members that pause."""
        self._rng = random.Random(seed)
        self._loss = loss
        self._timeout_s = 1 + min_suspicion_ns(NS_PER_S, count) / NS_PER_S
        self._received_s = [[0.0] * count for _ in range(count)]
        self.paused = draw_paused(self._rng, count, paused_fraction)
        self.removed: set[tuple[int, int]] = set()

    def step(self, second: int) -> None:
        """Let all running members receive heartbeats and check their timers."""
        for receiver in range(len(self._received_s)):
            if receiver not in self.paused or second >= PAUSE_DURATION_S:
                self._receive(receiver, second)

    def _receive(self, receiver: int, second: int) -> None:
        last_received_s = self._received_s[receiver]
        # A process that resumes checks its timers before it reads the messages in its queue.
        is_resuming = receiver in self.paused and second <= PAUSE_DURATION_S
        for sender in range(len(last_received_s)):
            is_silent = is_resuming or (sender in self.paused and second < PAUSE_DURATION_S)
            if not is_silent and self._rng.random() >= self._loss:
                last_received_s[sender] = second
            if receiver != sender and second - last_received_s[sender] > self._timeout_s:
                self.removed.add((receiver, sender))


def count_heartbeat_removals(count: int, loss: float, paused_fraction: float, seed: int) -> int:
    """Count the removals of members that ran all the time, with plain heartbeats."""
    run = HeartbeatRun(count, loss, paused_fraction, seed)
    for second in range(int(OBSERVED_S)):
        run.step(second)
    return sum(sender not in run.paused for _, sender in run.removed)


def measure_healing(count: int, seed: int) -> Healing:
    """Measure how a partition into halves heals."""

    def loss(now: int, sender: int, receiver: int) -> float:
        elapsed_s = (now - BEGIN_NS) / NS_PER_S
        is_partitioned = SETTLE_S <= elapsed_s < SETTLE_S + PARTITION_DURATION_S
        return float(is_partitioned and (sender < count // 2) != (receiver < count // 2))

    cluster = SimulatedCluster(count, MembershipSettings(), seed, loss)
    cluster.run(SETTLE_S + PARTITION_DURATION_S)
    healed_ns = cluster.now
    messages_before = cluster.message_count
    cluster.run(HEALING_TIMEOUT_S, cluster.agree)
    agreed_s = (cluster.now - healed_ns) / NS_PER_S
    messages = cluster.message_count - messages_before
    return Healing(agreed_s, messages / count / max(1.0, agreed_s))


def run_over_seeds(pool: Any, run: Callable[[int], Any], seeds: int) -> list[Any]:
    """Run a measurement with each seed from 1 on, in the processes of a pool."""
    return list(pool.imap_unordered(run, range(1, seeds + 1), max(1, seeds // CHUNKS)))


def record_quantiles(
    results: Results, name: str, values: list[float], bound: Quantiles | None
) -> None:
    """Record median, 99th percentile and worst case."""
    results.record(
        f"{name}_median_s", statistics.median(values), at_most=bound.median_s if bound else None
    )
    results.record(f"{name}_p99_s", quantile(values, 0.99), at_most=bound.p99_s if bound else None)
    results.record(f"{name}_worst_s", max(values), at_most=bound.worst_s if bound else None)


def record_false_removals(
    results: Results, pool: Any, count: int, runs: int, loss: float, paused: float
) -> None:
    """Measure the false removals of all modes."""
    case = f"{count}_loss_{loss:g}_paused_{paused:g}"
    for mode in MODES:
        outcomes = run_over_seeds(
            pool, partial(count_removals, count, loss, paused, mode.plain_swim), runs
        )
        name = f"simulated.{mode.name}_{case}"
        is_bounded = not mode.plain_swim and loss <= MAX_LOSS_WITHOUT_REMOVALS
        results.record(
            f"{name}.healthy_removed",
            sum(run.healthy for run in outcomes),
            at_most=MAX_HEALTHY_REMOVED if is_bounded else None,
        )
        results.record(
            f"{name}.by_one_that_stood_still",
            sum(run.healthy_by_paused for run in outcomes),
            at_most=None if mode.plain_swim else MAX_REMOVED_BY_PAUSED,
        )
        results.record(f"{name}.removed_while_it_stood_still", sum(run.paused for run in outcomes))
    if count <= MAX_HEARTBEAT_MEMBERS:
        heartbeat_runs = min(runs, MAX_HEARTBEAT_RUNS)
        false_removals = run_over_seeds(
            pool, partial(count_heartbeat_removals, count, loss, paused), heartbeat_runs
        )
        results.record(
            f"simulated.heartbeats_{case}.healthy_removed",
            sum(false_removals) * runs // len(false_removals),
        )


def record_detection(results: Results, pool: Any, count: int, runs: int) -> None:
    """Measure how soon the end of a member is detected."""
    bounds = detection_bounds(MembershipSettings(), count)
    for mode in MODES:
        outcomes = run_over_seeds(
            pool, partial(measure_detection, count, 0.0, mode.plain_swim), runs
        )
        name = f"simulated.{mode.name}_{count}"
        record_quantiles(
            results,
            f"{name}.suspected",
            [run.suspected_s for run in outcomes],
            None if mode.plain_swim else bounds.suspected,
        )
        record_quantiles(
            results,
            f"{name}.removed",
            [run.removed_s for run in outcomes],
            None if mode.plain_swim else bounds.removed,
        )
        results.record(
            f"{name}.bytes_a_second",
            statistics.median([run.bytes_per_s for run in outcomes]),
            at_most=None if mode.plain_swim else MAX_BYTES_PER_S,
        )


def record_healing(results: Results, pool: Any, count: int, runs: int) -> None:
    """Measure how partitions heal."""
    outcomes = run_over_seeds(
        pool, partial(measure_healing, count), max(1, runs // RUNS_PER_HEALING)
    )
    name = f"simulated.ours_{count}"
    results.record(
        f"{name}.agree_after_healing_s",
        max(run.agreed_s for run in outcomes),
        at_most=MAX_AGREE_AFTER_HEALING_S,
    )
    results.record(
        f"{name}.messages_a_second_while_it_heals",
        max(run.messages_per_s for run in outcomes),
        at_most=MAX_HEALING_MESSAGES_PER_S,
    )


def record_simulations(
    results: Results,
    runs_by_count: dict[int, int],
    losses: Iterable[float],
    paused_fractions: Iterable[float],
) -> None:
    """Run all measurements for each number of members."""
    workers = len(os.sched_getaffinity(0))
    with multiprocessing.get_context("fork").Pool(workers) as pool:
        for count, runs in runs_by_count.items():
            record_detection(results, pool, count, runs)
            for loss in losses:
                for paused in paused_fractions:
                    record_false_removals(results, pool, count, runs, loss, paused)
            record_healing(results, pool, count, runs)
