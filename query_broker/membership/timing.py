"""Timeouts, retransmit limits and detection bounds as functions of interval and group size.

Performs no I/O. Durations are in nanoseconds unless the name says otherwise.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from .settings import NS_PER_S, MembershipSettings

SUSPICION_MULTIPLIER = 4.0  # times interval times log10(size): the minimum suspicion
MAX_SUSPICION_MULTIPLIER = 6.0  # times the minimum: the maximum, without confirmations
CONFIRMATIONS_FOR_MINIMUM = 3  # further reporters that shorten a suspicion to its minimum
RETRANSMIT_MULTIPLIER = 4  # times log2(size + 1)
HELPER_COUNT = 3  # members that are requested to ping one that has not acked
EVIDENCE_INTERVALS_PER_MEMBER = 2
MAX_EVIDENCE_NS = 300 * NS_PER_S

# Since all members ping in random order, a given member gets no ping for m intervals with a
# probability of e^-m. So the first ping comes within 0.7 intervals in half of the cases, within 4.6
# in 99 of 100, and within 14 in all but one in a million. 1.5 intervals are added for the ping to
# fail and the suspicion to spread.
DETECTION_INTERVALS_MEDIAN = 2.2
DETECTION_INTERVALS_P99 = 6.1
DETECTION_INTERVALS_WORST = 15.5


def min_suspicion_ns(interval_ns: int, size: int) -> int:
    """Return the duration of a suspicion that enough other members have confirmed."""
    return int(SUSPICION_MULTIPLIER * max(1.0, math.log10(max(1, size))) * interval_ns)


def suspicion_timeout_ns(
    interval_ns: int, size: int, confirmations: int, false_suspicions: float = 0.0
) -> int:
    """Return the duration of a suspicion with the given number of independent confirmations.

    The timeout decreases from the maximum to the minimum with the logarithm of the confirmations
    (Lifeguard, section IV.B).

    Args:
        interval_ns: Time between two pings.
        size: Number of members of the group.
        confirmations: Number of further members that reported the same suspicion.
        false_suspicions: Number of recent false suspicions of the member. They lengthen the
            timeout of a member on a lossy link, up to the maximum.
    """
    minimum = min_suspicion_ns(interval_ns, size)
    maximum = MAX_SUSPICION_MULTIPLIER * minimum
    needed = min(CONFIRMATIONS_FOR_MINIMUM, size - 3)
    timeout = float(minimum)
    if needed > 0:
        progress = math.log(confirmations + 1) / math.log(needed + 1)
        timeout = max(timeout, maximum - (maximum - minimum) * progress)
    return int(min(maximum, timeout * (1 + false_suspicions)))


def retransmit_limit(size: int) -> int:
    """Return how often each member sends one claim (SWIM, section 4.1)."""
    return RETRANSMIT_MULTIPLIER * math.ceil(math.log2(size + 1))


def evidence_limit_ns(interval_ns: int, size: int) -> int:
    """Return how long evidence from others alone prevents the removal of a suspect.

    The evidence is that others receive messages of the suspect, while this process receives none.
    Up to `MAX_EVIDENCE_NS`, the time suffices for every member to ping every other one, since each
    member pings all others in turn.
    """
    longest_suspicion_ns = int(MAX_SUSPICION_MULTIPLIER) * min_suspicion_ns(interval_ns, size)
    all_pinged_ns = EVIDENCE_INTERVALS_PER_MEMBER * size * interval_ns
    return min(MAX_EVIDENCE_NS, max(longest_suspicion_ns, all_pinged_ns))


@dataclass(frozen=True, slots=True)
class Quantiles:
    """A duration's median, 99th percentile and worst case, in seconds."""

    median_s: float
    p99_s: float
    worst_s: float


@dataclass(frozen=True, slots=True)
class DetectionBounds:
    """Times from the end of a member to the detection.

    Attributes:
        suspected: Until the first other member suspects the ended member.
        removed: Until all other members have removed it.
    """

    suspected: Quantiles
    removed: Quantiles


def detection_bounds(settings: MembershipSettings, size: int) -> DetectionBounds:
    """Return the expected detection times in a group of the given size."""
    interval_s = settings.interval_ns / NS_PER_S
    spread_s = 2 * math.ceil(math.log2(size + 1)) * settings.interval_ns / NS_PER_S
    min_suspicion_s = min_suspicion_ns(settings.interval_ns, size) / NS_PER_S
    max_suspicion_s = (
        MAX_SUSPICION_MULTIPLIER * min_suspicion_ns(settings.interval_ns, size) / NS_PER_S
    )
    suspected = Quantiles(
        DETECTION_INTERVALS_MEDIAN * interval_s,
        DETECTION_INTERVALS_P99 * interval_s,
        DETECTION_INTERVALS_WORST * interval_s,
    )
    removed = Quantiles(
        suspected.median_s + min_suspicion_s + spread_s,
        suspected.p99_s + 2 * min_suspicion_s + spread_s,
        suspected.worst_s + max_suspicion_s + spread_s,
    )
    return DetectionBounds(suspected, removed)


def describe_bounds(settings: MembershipSettings, fleet_size: int) -> list[str]:
    """Return the lines that `check-config` prints about the membership."""
    bounds = detection_bounds(settings, fleet_size)
    suspected = bounds.suspected
    removed = bounds.removed
    evidence_limit_s = evidence_limit_ns(settings.interval_ns, fleet_size) / NS_PER_S
    seeds_file = f" and those of {settings.seeds_file}" if settings.seeds_file else ""
    lost = settings.max_lost_fraction
    return [
        f"members: {settings.published_address()}, {len(settings.seeds)} seeds{seeds_file}"
        f", installation {settings.installation!r}",
        f"members: of {fleet_size}, one that ends is suspected after {suspected.median_s:.1f} s "
        f"(99 in 100: {suspected.p99_s:.1f} s, worst {suspected.worst_s:.1f} s), and removed by "
        f"all after {removed.median_s:.1f} s ({removed.p99_s:.1f} s, worst {removed.worst_s:.1f} "
        "s)",
        "members: one that speaks but hears nothing stays, by others' word for "
        f"{evidence_limit_s:.0f} s after we heard it ourselves",
        f"members: with more than {lost:.0%} lost at once the view is uncertain and the fleet "
        f"counts as {fleet_size}; all sides of a cut together take {1 + lost:.2f} of a limit at "
        "the most",
    ]
