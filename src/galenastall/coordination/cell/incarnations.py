"""Tracks which incarnation of an executor is current, and what happens to runs of earlier ones.

Executors crash and restart, some under the same name, some behind a network cut, while orders to
the earlier incarnation are in flight or are carried out late.
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
    """Adds incarnations to the table, and removes those that have ended."""

    def __init__(self, *, state: CellState, ends: RunEnds, crashes: CrashAttributor) -> None:
        """Work on these tables; `crashes` attributes the end of an incarnation to its tasks."""
        self._state = state
        self._ends = ends
        self._crashes = crashes

    def has_ended(self, executor_id: str) -> bool:
        """Whether an incarnation is known to have ended."""
        return self._state.executors.has_ended(executor_id)

    def add(self, info: ExecutorInfo, *, now: float) -> Executor:
        """Add an incarnation to the table; nothing is placed on it before its first listing."""
        timings = self._state.timings
        clock = LeaseClock(
            timings=timings, unknown_until=self._state.fenced_at + longest_lease_s(timings)
        )
        executor = Executor(info=info, clock=clock, now=now)
        self._state.executors.add(executor)
        return executor

    def on_restart(self, executor_id: str, later_id: str) -> None:
        """Record that a later incarnation answered a call to an earlier one of the same name.

        The later one may have carried out orders to the earlier one. Its first listing shows which;
        until then all runs counted there may be in progress.
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
            # Unusable until its own entry is read: its capacity and labels may differ.
            info = replace(earlier.info, executor_id=later_id, is_usable=False)
            self.add(info, now=self._state.now)

    def end_earlier(
        self, executor: Executor, listing: Listing, *, asked_seq: int, wall: float
    ) -> None:
        """End other incarnations on a host when one answers a call sent at `asked_seq`.

        A host has one incarnation at a time. If one answers a call sent after another's last answer
        arrived, it is the later one. The platform's list alone is not enough: the entry of an ended
        incarnation once arrived 4 s late, was taken for a new one, and ended the runs of the
        current one.
        """
        for other in self._state.executors.sharing_name_or_host(executor):
            is_same = other.name == executor.name
            is_known_here = is_same or other.answered_seq > 0 or bool(other.runs_by_task)
            if is_known_here and asked_seq > other.answered_seq:
                if is_same:
                    self._transfer_runs(other, executor, listing)
                else:
                    self._state.late_orders.drop_name(other.name)
                cause = f"a later incarnation answers on its host as {executor.executor_id}"
                clock_ms = str(listing.clock_ms)
                self.end(other.executor_id, cause=cause, wall=wall, later_clock_ms=clock_ms)

    def _transfer_runs(self, earlier: Executor, later: Executor, listing: Listing) -> None:
        """Transfer runs to a later incarnation that carried out orders to an earlier one."""
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
        # A stop answered by the earlier incarnation does not apply to the later one.
        task.stop_seq = 0
        task.stop_sent_at = float("-inf")
        self._state.dirty_jobs.add(key.job)
        fields = {"run": str(task.run), "executor": later.executor_id}
        self._state.note("run.handed_on", key.job, fields=fields)

    def end(self, executor_id: str, *, cause: str, wall: float, later_clock_ms: str = "") -> None:
        """End all runs of an incarnation that has ended, and remove it.

        `later_clock_ms` is the clock of the incarnation that replaced it, for the log.
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
    """Return the seconds since an executor last answered, as text; empty if it never did."""
    return "" if executor.answered_at is None else f"{now - executor.answered_at:.2f}"
