"""What the operators' file says of shared verdicts. Times in nanoseconds."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

S = 1_000_000_000


@dataclass(frozen=True, slots=True)
class VerdictTerms:
    """``observers``: how many must have seen an engine fail; ``failures``: how many attempts each,
    more than half of its last ones; ``age``: what is older counts no more; ``part``: of a zone's
    engines that shared verdicts may hold out at once; ``hold``: how long one is held out at least,
    doubled with each relapse.
    """

    observers: int = 3
    failures: int = 2
    age: int = 10 * S
    part: float = 0.3
    hold: int = 5 * S
    most_hold: int = 60 * S
    told: int = S // 2


def rounds(brokers: int, fanout: int = 3) -> int:
    """Tellings until all have heard: each passes news on to a few."""
    return 1 + math.ceil(math.log(max(2, brokers)) / math.log(1 + fanout)) + 2


def lines(terms: VerdictTerms, brokers: int) -> Iterable[str]:
    """For `check-config`."""
    spread = rounds(brokers) * terms.told / S
    yield (
        f"verdicts: {terms.observers} observers of {terms.failures} failures each within "
        f"{terms.age / S:g} s; all {brokers} brokers act on it within {spread:.1f} s, as on an "
        "operator's "
        f"word; {terms.part:.0%} of a zone at the most, {terms.hold / S:g} s at least"
    )
