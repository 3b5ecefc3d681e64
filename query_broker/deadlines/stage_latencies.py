"""Latencies of each stage over a recent time window, and the margin learned from them.

Performs no I/O. Quantiles are computed from t-digests (fastdigest) of two generations together; the
older generation is dropped when the newer one reaches `GENERATION_AGE_NS`. Histograms with fixed
bounds are kept as well, for the metrics.
"""

from __future__ import annotations

from bisect import bisect_left
from dataclasses import dataclass, field

from fastdigest import TDigest

from ..prometheus_text import metric_header
from .settings import LatencyStage, MarginSettings

NS_PER_MS = 1_000_000
NS_PER_S = 1_000 * NS_PER_MS
BUCKET_BOUNDS_MS = (
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
#: The inclusive upper bounds of the histogram's buckets; one more bucket is unbounded.
BUCKET_BOUNDS_NS = tuple(int(bound_ms * NS_PER_MS) for bound_ms in BUCKET_BOUNDS_MS)
#: The age at which the newer digest becomes the older generation.
GENERATION_AGE_NS = 30 * NS_PER_S
#: The number of latencies that are added to the digest in one batch.
DIGEST_BATCH_COUNT = 64
#: A quantile of fewer latencies than this counts as unknown.
MIN_SAMPLE_COUNT = 50
#: The quantile that counts as the shortest time that a stage takes.
MIN_LATENCY_QUANTILE = 0.01
#: Allowance for the time that the answer takes from the broker's socket to the client, which the
#: broker can't measure.
TRANSIT_ALLOWANCE_NS = 2 * NS_PER_MS
#: The bounds on the change of the margin in one step, as factors.
MIN_MARGIN_STEP_FACTOR = 0.75
MAX_MARGIN_STEP_FACTOR = 1.25


@dataclass(slots=True)
class LatencyDistribution:
    """The latencies of one stage: quantiles of the last half to one minute, and a histogram.

    Attributes:
        generation_start_ns: When the newer generation began.
        batch_ns: Latencies that are not in a digest yet.
        newer_digest: The digest of the present generation.
        older_digest: The digest of the previous generation.
        bucket_counts: The number of latencies in each bucket of the histogram.
        sum_ns: The sum of all latencies.
        count: The number of all latencies.
    """

    generation_start_ns: int = 0
    batch_ns: list[float] = field(default_factory=list)
    newer_digest: TDigest = field(default_factory=TDigest)
    older_digest: TDigest = field(default_factory=TDigest)
    bucket_counts: list[int] = field(default_factory=lambda: [0] * (len(BUCKET_BOUNDS_NS) + 1))
    sum_ns: int = 0
    count: int = 0

    def add(self, latency_ns: int, now_ns: int) -> None:
        """Add one latency."""
        self.bucket_counts[bisect_left(BUCKET_BOUNDS_NS, latency_ns)] += 1
        self.sum_ns += latency_ns
        self.count += 1
        self.batch_ns.append(float(latency_ns))
        if len(self.batch_ns) >= DIGEST_BATCH_COUNT:
            self._flush_batch(now_ns)

    def _flush_batch(self, now_ns: int) -> None:
        """Start a new generation if one is due, then add the collected latencies to its digest."""
        age_ns = now_ns - self.generation_start_ns
        if age_ns >= GENERATION_AGE_NS:
            # After a long time without latencies both generations are out of date.
            self.older_digest = self.newer_digest if age_ns < 2 * GENERATION_AGE_NS else TDigest()
            self.newer_digest = TDigest()
            self.generation_start_ns = now_ns
        if self.batch_ns:
            self.newer_digest.batch_update(self.batch_ns)
            self.batch_ns = []

    def quantile(self, quantile: float, now_ns: int) -> int | None:
        """Return a quantile in nanoseconds, or None below `MIN_SAMPLE_COUNT` latencies."""
        self._flush_batch(now_ns)
        digest = self.older_digest + self.newer_digest
        if digest.n_values < MIN_SAMPLE_COUNT:
            return None
        return int(digest.quantile(quantile))


class StageLatencies:
    """The latencies of all stages by request class, and the margin learned from them.

    Attributes:
        settings: The bounds of the margin.
        by_class: The latencies of each request class and stage.
        by_stage: The latencies of each stage, over all request classes.
        margin_ns: The most recently learned margin.
    """

    def __init__(self, margin: MarginSettings) -> None:
        """Start with the initial margin of the settings and without latencies."""
        self.settings = margin
        self.by_class: dict[tuple[str, LatencyStage], LatencyDistribution] = {}
        self.by_stage: dict[LatencyStage, LatencyDistribution] = {
            stage: LatencyDistribution() for stage in LatencyStage
        }
        self.margin_ns = margin.initial_ns

    def add(self, class_name: str, stage: LatencyStage, latency_ns: int, now_ns: int) -> None:
        """Add how long a request of this class spent in a stage."""
        latency_ns = max(0, latency_ns)
        latencies = self.by_class.get((class_name, stage))
        if latencies is None:
            latencies = LatencyDistribution(now_ns)
            self.by_class[class_name, stage] = latencies
        latencies.add(latency_ns, now_ns)
        self.by_stage[stage].add(latency_ns, now_ns)

    def learn_margin(self, now_ns: int) -> int:
        """Adapt the margin to the latencies and return it, in nanoseconds.

        One step changes the margin by a quarter at most, so that a brief disturbance has little
        effect.
        """
        settings = self.settings
        decide_ns = self.by_stage[LatencyStage.DECIDE].quantile(settings.quantile, now_ns)
        answer_ns = self.by_stage[LatencyStage.ANSWER].quantile(settings.quantile, now_ns)
        if decide_ns is None or answer_ns is None:
            return self.margin_ns
        target_ns = self._clamp_margin(decide_ns + answer_ns + TRANSIT_ALLOWANCE_NS)
        lower_ns = int(self.margin_ns * MIN_MARGIN_STEP_FACTOR)
        upper_ns = int(self.margin_ns * MAX_MARGIN_STEP_FACTOR)
        self.margin_ns = self._clamp_margin(max(lower_ns, min(upper_ns, target_ns)))
        return self.margin_ns

    def _clamp_margin(self, margin_ns: int) -> int:
        return max(self.settings.min_ns, min(self.settings.max_ns, margin_ns))

    def min_latency_ns(self, class_name: str, now_ns: int, *stages: LatencyStage) -> int:
        """Return the shortest time that these stages take together for requests of a class.

        Without stages this is the time of the `ENGINE` stage. A stage with too few latencies counts
        as 0.
        """
        total_ns = 0
        for stage in stages or (LatencyStage.ENGINE,):
            latencies = self.by_class.get((class_name, stage))
            if latencies is not None:
                total_ns += latencies.quantile(MIN_LATENCY_QUANTILE, now_ns) or 0
        return total_ns

    def metrics_lines(self, prefix: str) -> list[str]:
        """Return the histograms as lines of the Prometheus text format, in seconds."""
        name = f"{prefix}stage_seconds"
        lines = metric_header(name, "Time that requests spent in each stage.", "histogram")
        for class_name, stage in sorted(self.by_class, key=lambda key: (key[0], key[1].value)):
            labels = f'type="{class_name}",stage="{stage.value}"'
            lines += _histogram_lines(name, labels, self.by_class[class_name, stage])
        return lines


def _histogram_lines(name: str, labels: str, latencies: LatencyDistribution) -> list[str]:
    lines = []
    cumulative_count = 0
    for bound_ns, count in zip(BUCKET_BOUNDS_NS, latencies.bucket_counts, strict=False):
        cumulative_count += count
        lines.append(f'{name}_bucket{{{labels},le="{bound_ns / NS_PER_S:g}"}} {cumulative_count}')
    lines += (
        f'{name}_bucket{{{labels},le="+Inf"}} {latencies.count}',
        f"{name}_sum{{{labels}}} {latencies.sum_ns / NS_PER_S:.6f}",
        f"{name}_count{{{labels}}} {latencies.count}",
    )
    return lines
