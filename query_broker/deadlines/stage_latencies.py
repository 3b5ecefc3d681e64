"""How long a request spends in each stage, as quantiles that fade, and the margin learned from
them. Pure.

Quantiles are t-digests (fastdigest), in two generations: what is asked is answered from both, and
the older is dropped when the newer is full of age. Histograms with fixed bounds are kept beside
them for the figures.
"""

from __future__ import annotations

from bisect import bisect_left
from dataclasses import dataclass, field

from fastdigest import TDigest

from .settings import MarginTerms, Stage

MS = 1_000_000
S = 1_000 * MS
BOUNDS = tuple(
    int(b * MS)
    for b in (
        0.1,
        0.25,
        0.5,
        1,
        2.5,
        5,
        10,
        25,
        50,
        100,
        250,
        500,
        1_000,
        2_500,
        5_000,
        10_000,
        30_000,
    )
)
GENERATION = 30 * S  # ns
BATCH = 64  # values that are taken into the digest at once
LEAST_SEEN = 50  # below that nothing is learned
TRANSIT = 2 * MS  # of the way back that nobody here can see


@dataclass(slots=True)
class Quantiles:
    """Of one thing, over the last half to whole minute."""

    since: int = 0
    fresh: list[float] = field(default_factory=list)
    young: TDigest = field(default_factory=TDigest)
    old: TDigest = field(default_factory=TDigest)
    counts: list[int] = field(default_factory=lambda: [0] * (len(BOUNDS) + 1))
    total: int = 0
    seen: int = 0

    def add(self, value: int, now: int) -> None:
        self.counts[bisect_left(BOUNDS, value)] += 1
        self.total += value
        self.seen += 1
        self.fresh.append(float(value))
        if len(self.fresh) >= BATCH:
            self._fold(now)

    def _fold(self, now: int) -> None:
        if now - self.since >= GENERATION:
            # After a long silence neither generation tells of the present.
            self.old = self.young if now - self.since < 2 * GENERATION else TDigest()
            self.young, self.since = TDigest(), now
        if self.fresh:
            self.young.batch_update(self.fresh)
            self.fresh = []

    def at(self, share: float, now: int) -> int | None:
        """The quantile; None while too little is known."""
        self._fold(now)
        digest = self.old + self.young
        return int(digest.quantile(share)) if digest.n_values >= LEAST_SEEN else None


class StageLatencies:
    """All stages, by class; and the margin."""

    def __init__(self, margin: MarginTerms) -> None:
        self.terms = margin
        self.held: dict[tuple[str, Stage], Quantiles] = {}
        self.all: dict[Stage, Quantiles] = {stage: Quantiles() for stage in Stage}
        self.margin = margin.start

    def add(self, route: str, stage: Stage, time: int, now: int) -> None:
        time = max(0, time)
        if (known := self.held.get((route, stage))) is None:
            known = self.held[route, stage] = Quantiles(now)
        known.add(time, now)
        self.all[stage].add(time, now)

    def learn(self, now: int) -> int:
        """The margin, moved at most by a quarter at a time: one odd second must not swing it."""
        terms = self.terms
        parts = [self.all[s].at(terms.share, now) for s in (Stage.DECIDE, Stage.ANSWER)]
        if any(p is None for p in parts):
            return self.margin
        wanted = sum(p for p in parts if p is not None) + TRANSIT
        wanted = max(terms.least, min(terms.most, wanted))
        self.margin = max(int(self.margin * 0.75), min(int(self.margin * 1.25), wanted))
        self.margin = max(terms.least, min(terms.most, self.margin))
        return self.margin

    def fastest(self, route: str, now: int, *stages: Stage) -> int:
        """What these stages (the engine's alone without any) take at the least for this class;
        those of which too little is known count nothing.
        """
        known = [self.held.get((route, stage)) for stage in stages or (Stage.ENGINE,)]
        return sum(k.at(0.01, now) or 0 for k in known if k is not None)

    def text(self, prefix: str) -> list[str]:
        """Lines of the Prometheus text format, in seconds."""
        lines = [
            f"# HELP {prefix}stage_seconds Time that requests spent in each stage.",
            f"# TYPE {prefix}stage_seconds histogram",
        ]
        for (route, stage), known in sorted(
            self.held.items(), key=lambda item: (item[0][0], item[0][1].value)
        ):
            labels = f'type="{route}",stage="{stage.value}"'
            so_far = 0
            for bound, count in zip(BOUNDS, known.counts, strict=False):
                so_far += count
                lines.append(
                    f'{prefix}stage_seconds_bucket{{{labels},le="{bound / S:g}"}} {so_far}'
                )
            lines += (
                f'{prefix}stage_seconds_bucket{{{labels},le="+Inf"}} {known.seen}',
                f"{prefix}stage_seconds_sum{{{labels}}} {known.total / S:.6f}",
                f"{prefix}stage_seconds_count{{{labels}}} {known.seen}",
            )
        return lines
