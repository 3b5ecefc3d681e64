"""Settings of the consensus on outliers, as the operators' file declares them under `verdicts`.

All durations are in nanoseconds. Performs no I/O.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

NS_PER_S = 1_000_000_000
#: Number of members that receive the messages of one gossip round.
FANOUT = 3
#: Gossip rounds in addition to the average number that full coverage takes.
SPARE_ROUNDS = 3


@dataclass(frozen=True, slots=True)
class OutlierConsensusSettings:
    """When shared observations eject an endpoint, and for how long.

    Attributes:
        observers: Number of brokers that must have seen the endpoint fail.
        failures: Number of failed attempts that each of these brokers must have seen; it must also
            have seen more failures than successes.
        max_age_ns: Observations older than this do not count.
        max_ejected_fraction: Largest fraction of a zone's endpoints that may be ejected at once.
        min_ejection_ns: Minimum duration of the first ejection; doubled with each relapse.
        max_ejection_ns: Upper bound on this minimum duration.
        gossip_interval_ns: Time between two gossip rounds.
    """

    observers: int = 3
    failures: int = 2
    max_age_ns: int = 10 * NS_PER_S
    max_ejected_fraction: float = 0.3
    min_ejection_ns: int = 5 * NS_PER_S
    max_ejection_ns: int = 60 * NS_PER_S
    gossip_interval_ns: int = NS_PER_S // 2


def gossip_rounds(fleet_size: int, fanout: int = FANOUT) -> int:
    """Return the number of gossip rounds after which all brokers have received a message."""
    return math.ceil(math.log(max(2, fleet_size)) / math.log(1 + fanout)) + SPARE_ROUNDS


def describe_bounds(settings: OutlierConsensusSettings, fleet_size: int) -> Iterable[str]:
    """Yield the lines that `check-config` prints on the consensus."""
    spread_s = gossip_rounds(fleet_size) * settings.gossip_interval_ns / NS_PER_S
    yield (
        f"verdicts: {settings.observers} observers of {settings.failures} failures each within "
        f"{settings.max_age_ns / NS_PER_S:g} s; all {fleet_size} brokers act on it within "
        f"{spread_s:.1f} s, as on an operator's word; {settings.max_ejected_fraction:.0%} of a "
        f"zone at the most, {settings.min_ejection_ns / NS_PER_S:g} s at least"
    )
