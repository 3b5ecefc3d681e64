"""What the operators' file says of the membership, and the bounds that follow. Times in
nanoseconds.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

S = 1_000_000_000
MULTIPLE = 4.0  # of an interval and the size's logarithm: the shortest suspicion
LONGEST = 6.0  # shortest suspicions: the longest, where nobody else confirms it
CONFIRMERS = 3  # others that bring a suspicion down to its shortest
RETRANSMITS = 4  # times the size's binary logarithm: how often one claim is passed on by each
HELPERS = 3  # that are asked to reach a silent one
CAP_INTERVALS = 2  # times the size: how long others' word that a suspect speaks is enough
MOST_CAP = 300 * S


@dataclass(frozen=True, slots=True)
class MembersTerms:
    """``address``: where we listen, UDP and TCP; ``advertise``: what others are told, where it
    differs. ``part``: of the members that were there; with more lost at once the view is uncertain.
    ``settle``: how long a smaller size must stand before it is acted on. ``plain``: SWIM as first
    published, for comparison.
    """

    address: str = "127.0.0.1:0"
    advertise: str = ""
    seeds: tuple[str, ...] = ()
    seeds_file: str = ""
    key_file: str = ""
    installation: str = ""
    interval: int = S
    sync: int = 30 * S
    part: float = 1 / 3
    settle: int = 5 * S
    forget: int = 600 * S
    plain: bool = False

    def shown(self) -> str:
        return self.advertise or self.address


def shortest(interval: int, size: int) -> int:
    """A suspicion that enough others confirm becomes a removal after so long."""
    return int(MULTIPLE * max(1.0, math.log10(max(1, size))) * interval)


def suspicion(interval: int, size: int, confirmed: int, wrongly: float = 0.0) -> int:
    """How long a suspicion lasts that so many others have confirmed: from the longest down to the
    shortest, by the logarithm (Lifeguard, section IV.B). ``wrongly``: how often of late this one
    was suspected and was there after all: one on a bad link gets longer, never more than the
    longest.
    """
    least = shortest(interval, size)
    most, wanted = LONGEST * least, min(CONFIRMERS, size - 3)
    span = float(least)
    if wanted > 0:
        span = max(span, most - (most - least) * math.log(confirmed + 1) / math.log(wanted + 1))
    return int(min(most, span * (1 + wrongly)))


def retransmits(size: int) -> int:
    return RETRANSMITS * math.ceil(math.log2(size + 1))


def cap(interval: int, size: int) -> int:
    """How long the word of others keeps a suspect whom we do not hear ourselves. Within so many
    intervals every member that speaks is heard by each, since each probes all in turn.
    """
    return min(
        MOST_CAP, max(int(LONGEST) * shortest(interval, size), CAP_INTERVALS * size * interval)
    )


def bounds(terms: MembersTerms, size: int) -> dict[str, float]:
    """Seconds from a member's end. ``suspected``: until the first other suspects it. All members
    draw whom they probe, so that nobody probes one in m intervals with e^-m: 0.7, 4.6 and 14
    intervals in half of the cases, in 99 of 100 and in all but a millionth; and one and a half in
    which the probe fails and the others are looked at. ``removed``: until all have removed it.
    """
    interval, spread = terms.interval / S, 2 * math.ceil(math.log2(size + 1)) * terms.interval / S
    least, most = shortest(terms.interval, size) / S, LONGEST * shortest(terms.interval, size) / S
    found = {"median": 2.2 * interval, "p99": 6.1 * interval, "worst": 15.5 * interval}
    lasts = {"median": least, "p99": 2 * least, "worst": most}
    return {
        **{f"suspected_{part}": found[part] for part in found},
        **{f"removed_{part}": found[part] + lasts[part] + spread for part in found},
    }


def lines(terms: MembersTerms, fleet: int) -> list[str]:
    """For `check-config`."""
    b, kept = bounds(terms, fleet), cap(terms.interval, fleet) / S
    return [
        f"members: {terms.shown()}, {len(terms.seeds)} seeds"
        + (f" and those of {terms.seeds_file}" if terms.seeds_file else "")
        + f", installation {terms.installation!r}",
        f"members: of {fleet}, one that ends is suspected after {b['suspected_median']:.1f} s "
        "(99 in 100: "
        f"{b['suspected_p99']:.1f} s, worst {b['suspected_worst']:.1f} s), and removed by all "
        "after "
        f"{b['removed_median']:.1f} s ({b['removed_p99']:.1f} s, worst {b['removed_worst']:.1f} s)",
        f"members: one that speaks but hears nothing stays, by others' word for {kept:.0f} s "
        "after we heard "
        "it ourselves",
        f"members: with more than {terms.part:.0%} lost at once the view is uncertain and the "
        "fleet counts "
        f"as {fleet}; all sides of a cut together take {1 + terms.part:.2f} of a limit at the most",
    ]
