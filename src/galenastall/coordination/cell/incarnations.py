"""Incarnations of executors: which one is on a host now, and what became of runs of earlier ones.

Answers this load: executors crash and start again, some under the name that they had, some behind a
cut, while orders to the earlier incarnation are on their way or are carried out late.
"""

from dataclasses import replace

from galenastall.coordination.cell.cell_state import CellState
from galenastall.coordination.cell.crashes import NO_ATTRIBUTION, CrashAttributor
from galenastall.coordination.cell.executors import Executor, ExecutorInfo
from galenastall.coordination.cell.lease_clock import LeaseClock, longest_lease_s
from galenastall.coordination.cell.listings import MAX_LISTED_ENDS, Listing
from galenastall.coordination.cell.run_ends import RunEnds
from galenastall.coordination.cell.task_runs import StartState
from galenastall.state.cell.jobs import TaskKey
from galenastall.state.cell.phases import RunEnd


class Incarnations:
    """Adds incarnations to the table, and ends those that are over."""

    def __init__(self, *, state: CellState, ends: RunEnds, crashes: CrashAttributor) -> None:
        """Work on these tables; `crashes` tells what an end means for tasks that were there."""
        self._state = state
        self._ends = ends
        self._crashes = crashes

    def has_ended(self, executor_id: str) -> bool:
        """Whether an incarnation is known to have ended."""
        return self._state.executors.has_ended(executor_id)

    def add(self, info: ExecutorInfo, *, now: float) -> Executor:
        """Take an incarnation into the table; nothing is placed before its first listing."""
        timings = self._state.timings
        clock = LeaseClock(
            timings=timings, unknown_until=self._state.fenced_at + longest_lease_s(timings)
        )
        executor = Executor(info=info, clock=clock, now=now)
        self._state.executors.add(executor)
        return executor

    def on_restart(self, executor_id: str, later_id: str) -> None:
        """Take in the incarnation that has answered a call to an earlier one of its name.

        Orders to the earlier one may have been carried out by the later one, whose first listing
        tells; until then all runs that were counted there may be at work.
        """
        earlier = self._state.executors_by_id.get(executor_id)
        if earlier is None:
            return
        if not earlier.has_restarted:
            earlier.has_restarted = True
            earlier.clock.assume_lease_granted(self._state.now)
            fields = {"incarnation": later_id, "runs": str(len(earlier.runs_by_task))}
            self._state.note("executor.restarted", executor_id, fields=fields)
        if not self.has_ended(later_id) and later_id not in self._state.executors_by_id:
            # Its entry tells its capacity and labels, which may differ.
            info = replace(earlier.info, executor_id=later_id, is_usable=False)
            self.add(info, now=self._state.now)

    def end_earlier(
        self, executor: Executor, listing: Listing, *, asked_seq: int, wall: float
    ) -> None:
        """End the other incarnations on a host of which one listed at a call sent at `asked_seq`.

        A host has one at a time. One that answers a call sent after another's last answer came is
        the later one. The list alone does not tell: the entry of one that was over had been held up
        for 4 s, and taken for a new one it ended the runs of the one that was there.
        """
        for other in self._state.executors.sharing_name_or_host(executor):
            is_same = other.name == executor.name
            is_known_here = is_same or other.answered_seq > 0 or bool(other.runs_by_task)
            if is_known_here and asked_seq > other.answered_seq:
                if is_same:
                    self._transfer_runs(other, executor, listing)
                cause = f"a later incarnation answers on its host as {executor.executor_id}"
                clock_ms = str(listing.clock_ms)
                self.end(other.executor_id, cause=cause, wall=wall, later_clock_ms=clock_ms)

    def _transfer_runs(self, earlier: Executor, later: Executor, listing: Listing) -> None:
        """Count runs where an order to an earlier incarnation was carried out by a later one."""
        later.clock.assume_lease_granted(self._state.now)
        listed = {(run.task, run.run) for run in listing.running}
        listed |= {(end.task, end.run) for end in listing.ended}
        is_complete = len(listing.ended) < MAX_LISTED_ENDS
        for key, run in list(earlier.runs_by_task.items()):
            if (key, run) in listed or not is_complete:
                self._transfer_run(key, earlier, later)

    def _transfer_run(self, key: TaskKey, earlier: Executor, later: Executor) -> None:
        found = self._state.find(key)
        if found is None:
            return
        _, step, task = found
        later.runs_by_task[key] = earlier.runs_by_task.pop(key)
        earlier.release(step.step.need)
        later.reserve(step.step.need)
        task.executor_id = later.executor_id
        task.state = StartState.INHERITED
        # A stop that the earlier incarnation has answered says nothing of this one.
        task.stop_seq = 0
        task.stop_sent_at = float("-inf")
        self._state.dirty_jobs.add(key.job)
        fields = {"run": str(task.run), "executor": later.executor_id}
        self._state.note("run.handed_on", key.job, fields=fields)

    def end(self, executor_id: str, *, cause: str, wall: float, later_clock_ms: str = "") -> None:
        """End all runs of an incarnation that is over, and forget it.

        `later_clock_ms` is the clock of the one that has replaced it, for the log.
        """
        executor = self._state.executors_by_id.get(executor_id)
        if executor is None:
            return
        self._state.note(
            "executor.life_ended",
            executor_id,
            cause=cause,
            fields={
                "runs": str(len(executor.runs_by_task)),
                "silent_s": _unresponsive_text(executor, now=self._state.now),
                "draining": str(executor.info.is_draining).lower(),
                "later_clock_ms": later_clock_ms,
            },
        )
        attributions = self._crashes.on_crash(executor)
        for key, run in list(executor.runs_by_task.items()):
            attribution = attributions.get(key, NO_ATTRIBUTION)
            self._ends.apply(key, run, RunEnd.LOST, wall=wall, attribution=attribution)
        self._state.executors.end(executor_id)


def _unresponsive_text(executor: Executor, *, now: float) -> str:
    """Return for how many seconds an executor has not answered; empty if it never did."""
    return "" if executor.answered_at is None else f"{now - executor.answered_at:.2f}"
