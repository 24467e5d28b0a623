"""Starts without an answer, which an executor may still carry out.

A call that got no answer may be carried out seconds later, after newer calls. The incarnation that
it was meant for refuses it by then if it has seen the run or a higher token. A later incarnation
under the same name has seen neither, and carries the start out if it arrives before the leader's
first call. So a start is sent once, and its task starts nowhere else, until a listing shows the run
or the start can't be carried out any more. Two kinds of starts need no such wait: one with a
ticket, which is valid for a single incarnation, and one to an executor whose name is not reused.
"""

from dataclasses import dataclass

from galenastall.coordination.cell.commands import StartOrder
from galenastall.state.cell.executor_ids import executor_name, started_at_ms_of
from galenastall.state.cell.jobs import TaskKey


@dataclass(frozen=True, kw_only=True, slots=True)
class _LateStart:
    """A start without an answer."""

    run: int
    executor_id: str
    """Incarnation that it was meant for."""
    until: float | None
    """Leader's time from which it can't be carried out; None while its answer is awaited."""


class LateOrders:
    """Records starts from their sending until they can't be carried out any more."""

    def __init__(self, *, late_s: float, lease_s: float) -> None:
        """Expect an unanswered start for `late_s` after its sending.

        Where no listing arrives after that, its run may hold a lease for another `lease_s`.
        """
        self._late_s = late_s
        self._lease_s = lease_s
        self._starts_by_task: dict[TaskKey, _LateStart] = {}
        self._tasks_by_name: dict[str, set[TaskKey]] = {}

    def on_sent(self, order: StartOrder) -> None:
        """Record that a start is sent now."""
        if can_come_late(order):
            self._put(order.task, order.run, order.executor_id, until=None)

    def on_answered(self, order: StartOrder) -> None:
        """Record that a start was answered, or certainly did not arrive."""
        self._remove(order.task, order.run)

    def on_unanswered(self, order: StartOrder, *, sent_at: float) -> None:
        """Record that a start sent at `sent_at` got no answer."""
        start = self._starts_by_task.get(order.task)
        if start is not None and start.run == order.run:
            self._put(order.task, order.run, order.executor_id, until=sent_at + self._late_s)

    def on_listed(self, task: TaskKey, run: int) -> str:
        """Record that a listing shows a run, in progress or ended: its start was carried out.

        Return the incarnation that the start was meant for if it had no answer, else nothing.
        """
        start = self._starts_by_task.get(task)
        if start is None or start.run != run:
            return ""
        self._remove(task, run)
        return "" if start.until is None else start.executor_id

    def inherit(self, task: TaskKey, run: int, executor_id: str, *, sent_by: float) -> None:
        """Record a start of an earlier leader, sent before `sent_by`."""
        self._put(task, run, executor_id, until=sent_by + self._late_s)

    def on_listing(self, name: str, *, now: float) -> None:
        """Record that a listing arrived, after `on_listed` for each of its runs.

        It would show the runs of all starts that can't be carried out any more.
        """
        for task in list(self._tasks_by_name.get(name, ())):
            start = self._starts_by_task[task]
            if start.until is not None and now >= start.until:
                self._remove(task, start.run)

    def drop_name(self, name: str) -> None:
        """Drop the starts sent to an executor whose name is not used again."""
        for task in self._tasks_by_name.pop(name, set()):
            del self._starts_by_task[task]

    def sent_to(self, task: TaskKey, *, now: float) -> str:
        """Return the incarnation that a task's start was meant for; empty if none may come."""
        start = self._starts_by_task.get(task)
        if start is None:
            return ""
        if start.until is not None and now >= start.until + self._lease_s:
            self._remove(task, start.run)
            return ""
        return start.executor_id

    def may_come_to(self, name: str, *, now: float) -> bool:
        """Whether a start without an answer may take effect on an executor of this name."""
        tasks = self._tasks_by_name.get(name, ())
        return any(self.sent_to(task, now=now) for task in list(tasks))

    def _put(self, task: TaskKey, run: int, executor_id: str, *, until: float | None) -> None:
        known = self._starts_by_task.get(task)
        if known is not None:
            self._remove(task, known.run)
        start = _LateStart(run=run, executor_id=executor_id, until=until)
        self._starts_by_task[task] = start
        self._tasks_by_name.setdefault(executor_name(executor_id), set()).add(task)

    def _remove(self, task: TaskKey, run: int) -> None:
        start = self._starts_by_task.get(task)
        if start is None or start.run != run:
            return
        del self._starts_by_task[task]
        name = executor_name(start.executor_id)
        tasks = self._tasks_by_name[name]
        tasks.discard(task)
        if not tasks:
            del self._tasks_by_name[name]


def can_come_late(order: StartOrder) -> bool:
    """Whether a later incarnation of the executor would carry out a start."""
    return not order.ticket and started_at_ms_of(order.executor_id) is not None
