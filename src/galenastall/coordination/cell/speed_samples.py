"""Measures the speed of executors by runs, against other runs of the same step.

The runs of a step with few of them are measured against each other, and a single one against its
declared time, corrected by how far the declared times of its queue are usually off. Members of
gangs wait for each other, so their runs tell nothing, and neither do runs that were throttled,
continued from a checkpoint, or far from their data.
"""

from dataclasses import dataclass, field
from math import inf, log
from statistics import median
from typing import Final

from galenastall.coordination.cell.cell_state import CellState
from galenastall.coordination.cell.executors import Executor, ExecutorInfo
from galenastall.coordination.cell.job_runs import JobRun, StepRun
from galenastall.coordination.cell.task_runs import TaskRun
from galenastall.state.cell.jobs import StepKey

STEP_VARIANCE: Final = 0.3**2
"""Least variance assumed of the logarithm of the run times of one step's tasks."""
DEVIATION_PER_MAD: Final = 1.4826
"""Standard deviation of a normal distribution over its median absolute deviation."""
PEER_RUNS: Final = 200.0
"""Runs of small steps over which their variance is averaged."""
PRIOR_PEER_RUNS: Final = 50.0
"""Runs for which the least variance counts at first."""
RUNS_TO_COMPARE: Final = 6
"""Runs that a step must have for its median to tell its usual run time."""
MAX_PEER_SPREAD: Final = 1.6
"""Few runs of a step that differ by more, in logarithms, are not compared: one of them takes many
times as long, and nothing tells whether that is due to its executor."""
DONE_SHARE: Final = 0.75
"""A step is measured from the time at which this share of its runs is done: the first ones to end
are the short ones and those on fast executors."""
MAX_STEPS: Final = 2_000
"""Steps whose first runs wait for the others; beyond it the one that began first is forgotten."""
MAX_START_S: Final = 0.5
"""A run of which the leader learned later than this after its assignment has an unknown begin."""
MIN_RUN_S: Final = 0.1
"""Ends of runs are known to some hundredths of a second, which is too little for shorter runs."""
QUEUE_RUNS: Final = 200.0
"""Runs over which the usual error of a queue's declared times is averaged."""
MIN_QUEUE_RUNS: Final = 20.0
"""Runs of a queue before its declared times are used."""
MAX_ERROR: Final = 1.5
"""Errors count up to this much, in logarithms: some tasks take many times as long."""
MAX_QUEUES: Final = 500


@dataclass(kw_only=True, slots=True)
class _StepRuns:
    """Completed runs of a step that could not be measured yet."""

    works: list[float] = field(default_factory=list)
    """Logarithms of run times, corrected by what is known of their executors' speeds."""
    unmeasured: list[tuple[ExecutorInfo, float]] = field(default_factory=list)
    """Executor and logarithm of the run time."""


@dataclass(kw_only=True, slots=True)
class _DeclaredTimes:
    """How far the declared times of a queue are off, in logarithms."""

    runs: float = 0.0
    mean: float = 0.0
    variance: float = 1.0

    def add(self, error: float) -> None:
        off = min(max(error - self.mean, -MAX_ERROR), MAX_ERROR)
        self.runs = min(self.runs + 1.0, QUEUE_RUNS)
        self.mean += off / self.runs
        self.variance += (off * off - self.variance) / self.runs


class SpeedSamples:
    """Passes what completed runs say about their hosts to the table of speeds."""

    def __init__(self, *, state: CellState) -> None:
        """Read the runs of these tables, and write their speeds."""
        self._state = state
        self._speeds = state.speeds
        self._runs_by_step: dict[StepKey, _StepRuns] = {}
        self._declared_by_queue: dict[str, _DeclaredTimes] = {}
        self._peer_runs = PRIOR_PEER_RUNS
        self._peer_variance = STEP_VARIANCE
        """Variance of the logarithm of run times within small steps."""

    def on_done(self, job: JobRun, step: StepRun, task: TaskRun, executor: Executor) -> None:
        """Take note of a run that has just ended as done."""
        if not self._speeds.is_enabled or not _is_measured(step, task, executor):
            return
        run_s = self._run_s(task, executor)
        if run_s is None or run_s < MIN_RUN_S:
            return
        if step.step.count == 1:
            self._measure_by_declared(job, step, executor.info, log(run_s))
        elif step.step.count < RUNS_TO_COMPARE:
            self._measure_by_peers(step, executor.info, log(run_s))
        else:
            self._measure_by_step(step, executor.info, log(run_s))

    def _run_s(self, task: TaskRun, executor: Executor) -> float | None:
        """Return how long a run took; None if its begin or its end was learned late.

        An end is known at once while the executor is polled without a break.
        """
        if task.began_at is None or task.began_at - task.assigned_at > MAX_START_S:
            return None
        now, before = self._state.now, executor.answered_before_at
        if before is None or now - before > self._state.timings.reach_s:
            return None
        return now - task.began_at

    def _runs_of(self, step: StepRun) -> "_StepRuns":
        runs = self._runs_by_step.get(step.key)
        if runs is None:
            runs = self._runs_by_step[step.key] = _StepRuns()
            if len(self._runs_by_step) > MAX_STEPS:
                del self._runs_by_step[next(iter(self._runs_by_step))]
        return runs

    def _measure_by_peers(self, step: StepRun, info: ExecutorInfo, log_s: float) -> None:
        """Compare each run of a step with the mean of the others once all of them are done."""
        runs = self._runs_of(step)
        runs.works.append(log_s + self._speeds.estimate_of(info.host))
        runs.unmeasured.append((info, log_s))
        count = step.step.count
        if len(runs.works) < count:
            return
        del self._runs_by_step[step.key]
        variance = max(self._peer_variance, STEP_VARIANCE) * count / (count - 1)
        is_alike = max(runs.works) - min(runs.works) <= MAX_PEER_SPREAD
        total = sum(runs.works)
        for work, (each, each_log_s) in zip(runs.works, runs.unmeasured, strict=True):
            usual = (total - work) / (count - 1)
            self._add_peer(work - usual, count)
            if is_alike:
                self._speeds.observe(each, usual - each_log_s, variance=variance)

    def _add_peer(self, off: float, count: int) -> None:
        """Average the variance of single runs from how far one is off the mean of the others."""
        self._peer_runs = min(self._peer_runs + 1.0, PEER_RUNS)
        off = min(max(off, -MAX_ERROR), MAX_ERROR)
        found = off * off * (count - 1) / count
        self._peer_variance += (found - self._peer_variance) / self._peer_runs

    def _measure_by_step(self, step: StepRun, info: ExecutorInfo, log_s: float) -> None:
        runs = self._runs_of(step)
        runs.works.append(log_s + self._speeds.estimate_of(info.host))
        runs.unmeasured.append((info, log_s))
        if len(runs.works) < DONE_SHARE * step.step.count:
            return
        usual = _median_of(runs.works, step.step.count)
        spread = DEVIATION_PER_MAD * median(abs(work - usual) for work in runs.works)
        variance = max(STEP_VARIANCE, spread * spread)
        for each, each_log_s in runs.unmeasured:
            self._speeds.observe(each, usual - each_log_s, variance=variance)
        runs.unmeasured.clear()
        if len(runs.works) >= step.step.count:
            del self._runs_by_step[step.key]

    def _measure_by_declared(
        self, job: JobRun, step: StepRun, info: ExecutorInfo, log_s: float
    ) -> None:
        if step.step.estimate_s <= 0.0:
            return
        error = log_s + self._speeds.estimate_of(info.host) - log(step.step.estimate_s)
        declared = self._declared_by_queue.get(job.queue.name)
        if declared is None:
            if len(self._declared_by_queue) >= MAX_QUEUES:
                return
            declared = self._declared_by_queue[job.queue.name] = _DeclaredTimes()
        if declared.runs >= MIN_QUEUE_RUNS:
            expected = log(step.step.estimate_s) + declared.mean
            variance = max(declared.variance, STEP_VARIANCE)
            self._speeds.observe(info, expected - log_s, variance=variance)
        declared.add(error)

    def forget(self) -> None:
        """Drop steps whose jobs have ended."""
        for key in list(self._runs_by_step):
            job = self._state.jobs_by_id.get(key.job)
            if job is None or job.has_ended:
                del self._runs_by_step[key]


def _is_measured(step: StepRun, task: TaskRun, executor: Executor) -> bool:
    """Whether the time that a run took depends on its executor's speed and its own work alone."""
    kind = step.step
    if kind.is_gang or kind.is_long_running or kind.is_filler:
        return False
    if task.is_throttled or (kind.is_checkpointing and task.run > 1):
        return False
    return not kind.data_rack or kind.data_rack == executor.info.rack


def _median_of(works: list[float], count: int) -> float:
    """Return the median of `count` values of which only the smallest are known."""
    missing = max(count - len(works), 0)
    ordered = sorted([*works, *([inf] * missing)])
    middle = len(ordered) // 2
    if len(ordered) % 2:
        return ordered[middle]
    return (ordered[middle - 1] + ordered[middle]) / 2.0
