"""Learn from ended tasks how much tasks of a team and kind use and how long they run.

Declared sizes are often far off. A reservation is the larger of declared and learned, so learning
never reserves less than the caller asked for. Usage of a job's own tasks takes precedence over that
of others of its team and kind, since tasks of one job are alike and a kind's quantile is wide.

Histograms are logarithmic and decayed, some hundred bytes each: a full HDR histogram of the same
range takes 16 KB, too much for three per kind at 260 teams.
"""

from collections import OrderedDict
from collections.abc import Callable
from math import exp2, log2
from typing import Final, TypeVar

from galenastall.state.ids import JobId, TaskId, TeamPath
from galenastall.state.resources import Resources
from galenastall.state.work import FinishedTask, TaskSpec, Workload

STEPS_PER_DOUBLING: Final = 8
"""Buckets per power of two: a quantile is at most 9% too high."""
HALVE_AT: Final = 512
"""Samples after which all counts are halved, so that old ones fade."""
REFRESH_EVERY: Final = 8
"""New samples after which quantiles are recomputed."""
MIN_SAMPLES: Final = 8
"""Samples of a kind below which nothing is learned from it."""
THINNING_AFTER: Final = 128
"""Samples of a kind after which only every `THINNING_FACTOR`th is counted, to save time."""
THINNING_FACTOR: Final = 4
SIZE_QUANTILE: Final = 0.95
RUN_QUANTILE: Final = 0.9
MAX_KINDS: Final = 4096
"""Kinds remembered, over all teams; the least recently used is evicted."""
MAX_JOBS: Final = 8192
"""Jobs remembered; the least recently used is evicted."""
MIN_JOB_SAMPLES: Final = 2
"""Ended tasks of a job after which its own usage is used."""
JOB_MARGIN: Final = 1.05
"""Factor on the largest peak of a job's own tasks that is reserved."""
FLOOR_MARGIN: Final = 1.25
"""Factor on the measured usage of an overrunning task that is reserved at its next attempt: it was
stopped while it grew, so that it needs more than was measured."""
MAX_FLOORS: Final = 8192
"""Overrunning tasks remembered; the oldest is evicted."""


K = TypeVar("K")
V = TypeVar("V")


class DecayedHistogram:
    """Counts of positive values in logarithmic buckets; old samples decay."""

    __slots__ = ("_counts_by_bucket", "_total")

    def __init__(self) -> None:
        """Start without samples."""
        self._counts_by_bucket: dict[int, float] = {}
        self._total = 0.0

    def record(self, value: float) -> None:
        """Count a value; zero and negative values count in bucket 0."""
        bucket = round(log2(value) * STEPS_PER_DOUBLING) if value > 0 else 0
        self._counts_by_bucket[bucket] = self._counts_by_bucket.get(bucket, 0.0) + 1.0
        self._total += 1.0
        if self._total >= HALVE_AT:
            self._halve()

    def quantile(self, share: float) -> float:
        """Return an upper bound of the `share` (0 to 1) quantile; 0 if empty."""
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

    def record(self, end: FinishedTask, quantile: float) -> None:
        self.samples += 1
        if self.samples > THINNING_AFTER and self.samples % THINNING_FACTOR:
            return
        self.cores.record(end.peak.cores_milli)
        self.memory.record(end.peak.memory_mb)
        if end.ok:
            self.times.record(end.run_s)
        if self.samples < MIN_SAMPLES or self.samples % REFRESH_EVERY:
            return
        self.size = Resources(
            cores_milli=int(self.cores.quantile(quantile)),
            memory_mb=int(self.memory.quantile(quantile)),
        )
        self.run_s = self.times.quantile(RUN_QUANTILE) or None


class _JobPeaks:
    __slots__ = ("cores", "memory", "samples", "size")

    def __init__(self) -> None:
        self.cores = 0
        self.memory = 0
        self.samples = 0
        self.size: Resources | None = None

    def observe(self, memory_mb: int) -> None:
        """Count a running task's usage at once: until it ends, more like it would be placed."""
        if memory_mb <= self.memory and self.size is not None:
            return
        self.memory = max(self.memory, memory_mb)
        before = self.size or Resources()
        self.size = before.at_least(Resources(memory_mb=int(self.memory * JOB_MARGIN)))

    def record(self, peak: Resources) -> None:
        self.cores = max(self.cores, peak.cores_milli)
        self.memory = max(self.memory, peak.memory_mb)
        self.samples += 1
        if self.samples >= MIN_JOB_SAMPLES:
            self.size = Resources(
                cores_milli=int(self.cores * JOB_MARGIN), memory_mb=int(self.memory * JOB_MARGIN)
            )


class Estimates:
    """Learned sizes and run times, by job and by team and kind; tasks without kind are ignored."""

    def __init__(self, *, quantile: float = SIZE_QUANTILE) -> None:
        """Start without samples; `quantile` of the measured peaks (0 to 1) is the learned size."""
        self.quantile = quantile
        self._peaks_by_job: OrderedDict[JobId, _JobPeaks] = OrderedDict()
        self._floors_by_task: OrderedDict[TaskId, int] = OrderedDict()
        self._learned_by_kind: OrderedDict[tuple[TeamPath, str], _Learned] = OrderedDict()

    def record(self, task: TaskSpec, end: FinishedTask) -> None:
        """Learn from a task that ended; one whose peak was not measured is ignored."""
        if not task.kind or (not end.peak.memory_mb and not end.peak.cores_milli):
            return
        kind = (task.team, task.kind)
        _get_or_create(self._learned_by_kind, kind, _Learned, MAX_KINDS).record(end, self.quantile)
        _get_or_create(self._peaks_by_job, task.job_id, _JobPeaks, MAX_JOBS).record(end.peak)

    def raise_floor(self, task: TaskSpec, used: Resources, largest: Resources) -> None:
        """Remember the measured usage of an overrunning task, for its next attempt.

        The margin is capped at `largest`, the largest worker, but the measured usage is not, so
        that a task that needs more than any worker has is found impossible. Gangs get no margin:
        it could keep all tasks of a gang from ever fitting at once.
        """
        margin = 1.0 if task.workload is Workload.GANG else FLOOR_MARGIN
        seen = max(used.memory_mb, min(int(used.memory_mb * margin), largest.memory_mb))
        before = self._floors_by_task.get(task.task_id, 0)
        self._floors_by_task[task.task_id] = max(before, seen)
        if len(self._floors_by_task) > MAX_FLOORS:
            self._floors_by_task.popitem(last=False)

    def observe(self, task: TaskSpec, used: Resources) -> None:
        """Learn from a task that runs and uses more memory than was granted."""
        if task.kind:
            peaks = _get_or_create(self._peaks_by_job, task.job_id, _JobPeaks, MAX_JOBS)
            peaks.observe(used.memory_mb)

    def drop_floor(self, task_id: TaskId) -> None:
        """Forget the measured usage of a task that ended."""
        self._floors_by_task.pop(task_id, None)

    def need(self, task: TaskSpec) -> Resources:
        """Return the minimum that a task needs: declared, or measured at an earlier attempt."""
        floor_mb = self._floors_by_task.get(task.task_id, 0)
        if floor_mb <= task.resources.memory_mb:
            return task.resources
        return task.resources.at_least(Resources(memory_mb=floor_mb))

    def amount(self, task: TaskSpec, largest: Resources) -> Resources:
        """Return what to reserve: the larger of needed and learned, the latter up to `largest`.

        `largest` is the largest worker: learning must not make a task impossible.
        """
        declared = self.need(task)
        size = self._learned_size(task)
        if size is None:
            return declared
        if size.cores_milli <= declared.cores_milli and size.memory_mb <= declared.memory_mb:
            return declared
        return Resources(
            cores_milli=max(declared.cores_milli, min(size.cores_milli, largest.cores_milli)),
            memory_mb=max(declared.memory_mb, min(size.memory_mb, largest.memory_mb)),
            accelerators=declared.accelerators,
        )

    def _learned_size(self, task: TaskSpec) -> Resources | None:
        peaks = self._peaks_by_job.get(task.job_id)
        if peaks is not None and peaks.size is not None:
            return peaks.size
        learned = self._learned_by_kind.get((task.team, task.kind))
        return None if learned is None else learned.size

    def run_s(self, task: TaskSpec) -> float | None:
        """Return how long the task is expected to run in seconds: learned, else declared."""
        learned = self._learned_by_kind.get((task.team, task.kind))
        if learned is None or learned.run_s is None:
            return task.run_s
        return learned.run_s


def _get_or_create(entries: OrderedDict[K, V], key: K, make: Callable[[], V], limit: int) -> V:
    """Return the entry, created if missing, as the most recent of at most `limit`."""
    entry = entries.get(key)
    if entry is None:
        entry = entries[key] = make()
        if len(entries) > limit:
            entries.popitem(last=False)
    else:
        entries.move_to_end(key)
    return entry
