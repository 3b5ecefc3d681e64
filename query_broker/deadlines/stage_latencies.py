"""Latencies of each stage, as quantiles that fade, and the margin learned from them.

Performs no I/O. Quantiles are t-digests (fastdigest) in two generations: a query is answered from
both, and the older one is dropped when the newer one is full of age. Histograms with fixed bounds
are kept beside them for the metrics.
"""

from __future__ import annotations

from bisect import bisect_left
from dataclasses import dataclass, field

from fastdigest import TDigest

from .settings import LatencyStage, MarginTerms

MS = 1_000_000
S = 1_000 * MS
BOUNDS = tuple(
    int(bound_ms * MS)
    for bound_ms in (
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
FASTEST = 0.01  # the quantile that counts as the least a stage takes
TRANSIT = 2 * MS  # of the way back that nobody here can see


@dataclass(slots=True)
class Quantiles:
    """Quantiles and histogram of one latency, over the last half to one minute."""

    since: int = 0
    fresh: list[float] = field(default_factory=list)
    young: TDigest = field(default_factory=TDigest)
    old: TDigest = field(default_factory=TDigest)
    counts: list[int] = field(default_factory=lambda: [0] * (len(BOUNDS) + 1))
    total: int = 0
    seen: int = 0

    def add(self, value: int, now: int) -> None:
        """Add one latency, in nanoseconds."""
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
            self.young = TDigest()
            self.since = now
        if self.fresh:
            self.young.batch_update(self.fresh)
            self.fresh = []

    def quantile(self, fraction: float, now: int) -> int | None:
        """Return a quantile in nanoseconds, or None while too little is known."""
        self._fold(now)
        digest = self.old + self.young
        return int(digest.quantile(fraction)) if digest.n_values >= LEAST_SEEN else None


class StageLatencies:
    """The latencies of all stages by request class, and the margin learned from them."""

    def __init__(self, margin: MarginTerms) -> None:
        """Start with the margin of the settings and no latency known."""
        self.settings = margin
        self.by_class: dict[tuple[str, LatencyStage], Quantiles] = {}
        self.all: dict[LatencyStage, Quantiles] = {stage: Quantiles() for stage in LatencyStage}
        self.margin = margin.start

    def add(self, route: str, stage: LatencyStage, time: int, now: int) -> None:
        """Add how long a request of this class spent in a stage, in nanoseconds."""
        time = max(0, time)
        if (known := self.by_class.get((route, stage))) is None:
            known = self.by_class[route, stage] = Quantiles(now)
        known.add(time, now)
        self.all[stage].add(time, now)

    def learn(self, now: int) -> int:
        """Move the margin, by a quarter at most, so that one odd second does not swing it."""
        terms = self.settings
        decide = self.all[LatencyStage.DECIDE].quantile(terms.quantile, now)
        answer = self.all[LatencyStage.ANSWER].quantile(terms.quantile, now)
        if decide is None or answer is None:
            return self.margin
        wanted = decide + answer + TRANSIT
        wanted = max(terms.least, min(terms.most, wanted))
        self.margin = max(int(self.margin * 0.75), min(int(self.margin * 1.25), wanted))
        self.margin = max(terms.least, min(terms.most, self.margin))
        return self.margin

    def fastest(self, route: str, now: int, *stages: LatencyStage) -> int:
        """Return what these stages take at the least for this class, in nanoseconds.

        Without any stage it is the endpoint's alone. Stages of which too little is known count
        nothing.
        """
        known = [self.by_class.get((route, stage)) for stage in stages or (LatencyStage.ENGINE,)]
        return sum(latency.quantile(FASTEST, now) or 0 for latency in known if latency is not None)

    def text(self, prefix: str) -> list[str]:
        """Return lines of the Prometheus text format, in seconds."""
        lines = [
            f"# HELP {prefix}stage_seconds Time that requests spent in each stage.",
            f"# TYPE {prefix}stage_seconds histogram",
        ]
        for (route, stage), known in sorted(
            self.by_class.items(), key=lambda item: (item[0][0], item[0][1].value)
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
