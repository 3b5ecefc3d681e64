"""What the operators' file says of shared limits, and the bounds that follow. Times in nanoseconds.

Of every hard limit a part is `guaranteed`: cut evenly by the size in the file, it is each broker's
without a word from anybody, and so safe in any cut. The rest is leased.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

S = 1_000_000_000
SHARDS = 8
ASKS = 4  # times in the life of a lease that a holder asks
STALE_ROUNDS = 3  # tellings of counters: what is older counts as unknown to a soft limit
KINDS = ("tenant", "work", "further", "connects")
HARD = ("tenant", "work")


@dataclass(frozen=True, slots=True)
class LimitTerms:
    """``rate``: a second, of all brokers; 0: as the settings have it (tenants' allowance, the
    engines' threads).
    """

    name: str
    kind: str = "tenant"
    rate: float = 0.0

    def hard(self) -> bool:
        return self.kind in HARD


@dataclass(frozen=True, slots=True)
class SharesTerms:
    """``lease``: how long one lasts; ``promise``: how long a home may grant after others have
    agreed to it; ``drift``: by how much the clocks' rates may differ from the true one; ``told``:
    between two tellings of soft counters.
    """

    lease: int = 4 * S
    promise: int = 6 * S
    drift: float = 0.01
    guaranteed: float = 0.2
    told: int = S
    limits: tuple[LimitTerms, ...] = ()


def held_for(span: int, drift: float) -> int:
    """How long one that was given something for ``span`` may count on it by its own clock: a clock
    that is slow by the drift, and the giver's that is fast by it, still end in this order.
    """
    return int(span * (1 - drift) / (1 + drift))


def owed_for(span: int, drift: float) -> int:
    """How long a giver must wait, by its own clock, until what others gave for ``span`` has surely
    ended.
    """
    return int(span * (1 + drift) / (1 - drift))


def overshoot(
    terms: SharesTerms, limit: LimitTerms, rate: float, brokers: int, drift: float = 0.0
) -> float:
    """By how much all brokers together can be over, a second. Hard: 0 while clocks keep the stated
    drift; with one beyond it, what may be lent twice, for the part of a lease by which it lasts too
    long. Soft: all may go up at once, before any has heard of the others.
    """
    if limit.hard():
        return rate * (1 - terms.guaranteed) * min(1.0, 2 * max(0.0, drift - terms.drift))
    return rate * (brokers - 1) / brokers


def stale(terms: SharesTerms, limit: LimitTerms) -> float:
    """Seconds: how old what is acted on can be."""
    return (terms.lease if limit.hard() else STALE_ROUNDS * terms.told) / S


def lines(terms: SharesTerms, brokers: int) -> Iterable[str]:
    """For `check-config`."""
    yield (
        f"limits: {len(terms.limits)}, leases of {terms.lease / S:g} s, {terms.guaranteed:.0%} "
        "guaranteed"
        f": each of {brokers} brokers {terms.guaranteed / brokers:.4f} of a limit without any "
        "contact"
    )
    yield (
        f"limits: a home grants for {held_for(terms.promise, terms.drift) / S:.2f} s after more "
        "than half "
        f"of {brokers} have agreed; another takes over within "
        f"{(terms.promise + terms.lease) / S:g} s; "
        "until then leases are renewed, not raised"
    )
    for limit in terms.limits:
        rate = f"{limit.rate:g} a second" if limit.rate else "as the settings have it"
        over = (
            f"0 while clocks differ by less than {terms.drift:.1%}"
            if limit.hard()
            else f"{overshoot(terms, limit, 1.0, brokers):.2f} of it, once, in a cut or a jump"
        )
        yield (
            f"limits: {limit.name} ({limit.kind}): {rate}; what is acted on is "
            f"{stale(terms, limit):g} s "
            f"old at the most; over by {over}"
        )
