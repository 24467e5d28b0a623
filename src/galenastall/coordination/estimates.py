"""Learn from what ended how much tasks of a team and kind use and how long they run.

Declared sizes are often far off. A reservation is the larger of declared and learned, so learning
never takes away what a caller asked for. Histograms are logarithmic and decayed, some hundred bytes
each: a full HDR histogram of the same range takes 16 KB, too much for three a kind at 260 teams.
"""

from collections import OrderedDict
from math import exp2, log2
from typing import Final

from galenastall.state.ids import TeamPath
from galenastall.state.resources import Resources
from galenastall.state.work import FinishedTask, TaskSpec

STEPS_PER_DOUBLING: Final = 8
"""Buckets to a power of two: a quantile is at most 9% too high."""
HALVE_AT: Final = 512
"""Samples after which all counts are halved, so that old ones fade."""
REFRESH_EVERY: Final = 8
"""New samples after which quantiles are worked out again."""
LEAST_SAMPLES: Final = 8
"""Fewer teach nothing."""
SIZE_QUANTILE: Final = 0.95
RUN_QUANTILE: Final = 0.9
MOST_KINDS: Final = 4096
"""Teams' kinds remembered; the least recently used goes first."""


class DecayedHistogram:
    """Counts of positive values in logarithmic buckets, in which old samples fade."""

    __slots__ = ("_counts_by_bucket", "_total")

    def __init__(self) -> None:
        """Start without samples."""
        self._counts_by_bucket: dict[int, float] = {}
        self._total = 0.0

    def record(self, value: float) -> None:
        """Count a value; those of zero and below count as the smallest."""
        bucket = round(log2(value) * STEPS_PER_DOUBLING) if value > 0 else 0
        self._counts_by_bucket[bucket] = self._counts_by_bucket.get(bucket, 0.0) + 1.0
        self._total += 1.0
        if self._total >= HALVE_AT:
            self._halve()

    def quantile(self, share: float) -> float:
        """Return an upper bound of the value below which `share` (0 to 1) lie; 0 if empty."""
        seen = 0.0
        highest = 0
        for bucket, count in sorted(self._counts_by_bucket.items()):
            seen += count
            highest = bucket
            if seen >= share * self._total:
                break
        else:
            if not self._counts_by_bucket:
                return 0.0
        return exp2((highest + 0.5) / STEPS_PER_DOUBLING)

    def _halve(self) -> None:
        kept = {bucket: count / 2 for bucket, count in self._counts_by_bucket.items() if count > 1}
        self._counts_by_bucket = kept
        self._total = sum(kept.values())


class _Learned:
    __slots__ = ("cores", "memory", "run_s", "samples", "size", "times")

    def __init__(self) -> None:
        self.cores = DecayedHistogram()
        self.memory = DecayedHistogram()
        self.times = DecayedHistogram()
        self.samples = 0
        self.size: Resources | None = None
        self.run_s: float | None = None

    def record(self, end: FinishedTask) -> None:
        self.cores.record(end.peak.cores_milli)
        self.memory.record(end.peak.memory_mb)
        if end.ok:
            self.times.record(end.run_s)
        self.samples += 1
        if self.samples < LEAST_SAMPLES or self.samples % REFRESH_EVERY:
            return
        self.size = Resources(
            cores_milli=int(self.cores.quantile(SIZE_QUANTILE)),
            memory_mb=int(self.memory.quantile(SIZE_QUANTILE)),
        )
        self.run_s = self.times.quantile(RUN_QUANTILE) or None


class Estimates:
    """Learned sizes and run times by team and kind; unlabelled tasks teach nothing."""

    def __init__(self) -> None:
        """Start without having learned anything."""
        self._learned_by_kind: OrderedDict[tuple[TeamPath, str], _Learned] = OrderedDict()

    def record(self, task: TaskSpec, end: FinishedTask) -> None:
        """Learn from a task that ended; one whose peak was not measured teaches nothing."""
        if not task.kind or (not end.peak.memory_mb and not end.peak.cores_milli):
            return
        key = (task.team, task.kind)
        learned = self._learned_by_kind.get(key)
        if learned is None:
            learned = self._learned_by_kind[key] = _Learned()
            if len(self._learned_by_kind) > MOST_KINDS:
                self._learned_by_kind.popitem(last=False)
        else:
            self._learned_by_kind.move_to_end(key)
        learned.record(end)

    def amount(self, task: TaskSpec, most: Resources) -> Resources:
        """Return what to reserve: the larger of declared and learned, the latter up to `most`.

        `most` is the largest worker: learning must not make a task impossible.
        """
        declared = task.resources
        learned = self._learned_by_kind.get((task.team, task.kind))
        if learned is None or learned.size is None:
            return declared
        size = learned.size
        if size.cores_milli <= declared.cores_milli and size.memory_mb <= declared.memory_mb:
            return declared
        return Resources(
            cores_milli=max(declared.cores_milli, min(size.cores_milli, most.cores_milli)),
            memory_mb=max(declared.memory_mb, min(size.memory_mb, most.memory_mb)),
            accelerators=declared.accelerators,
        )

    def run_s(self, task: TaskSpec) -> float | None:
        """Return how long the task is expected to run in seconds: learned, else declared."""
        learned = self._learned_by_kind.get((task.team, task.kind))
        if learned is None or learned.run_s is None:
            return task.run_s
        return learned.run_s
