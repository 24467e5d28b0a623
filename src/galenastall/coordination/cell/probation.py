"""Places tasks under which an executor has crashed where nothing else is starting.

Faulty tasks and tasks that ran with them wait for their next runs together, and best fit would put
them on the same executor again. On probation each one gets an executor on which nothing else starts
until the run is past its startup. A crash before that is its own fault; other tasks are cleared in
a tenth of a second. Few executors are reserved like this at a time, and more while there is room.
"""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from typing import Final

from galenastall.coordination.cell.cell_state import CellState
from galenastall.coordination.cell.crashes import STARTUP_S, SUSPECT_STARTUP_S
from galenastall.coordination.cell.executors import Executor
from galenastall.coordination.cell.fitting import may_add
from galenastall.coordination.cell.job_runs import StepRun
from galenastall.coordination.cell.task_runs import StartState, TaskRun
from galenastall.coordination.cell.wait_queue import URGENT_PRIORITY
from galenastall.state.cell.jobs import TaskKey
from galenastall.state.cell.phases import TaskPhase

MIN_PROBATION_SHARE: Final = 0.125
"""Share of the open executors that may be reserved for probation at once, at least one; the most
for tasks of one job, which may all crash their executors: it is given up after three crashes."""
FREE_PROBATION_SHARE: Final = 0.5
"""Share of the free capacity that may be on reserved executors, if that is more. Tasks of different
jobs crash no more executors if more of them are tried at a time."""
RESERVATION_TIMEOUT_S: Final = 3.0
"""Maximum time that an executor is reserved before it has capacity and no starting runs."""
RECHECK_S: Final = SUSPECT_STARTUP_S
"""Interval of polls of an executor on which a suspect starts; a long poll takes a second."""


@dataclass(frozen=True, kw_only=True, slots=True)
class _Reservation:
    """An executor that is reserved for a task."""

    executor_id: str
    since: float


class Probation:
    """Reserves executors for suspect tasks, one for each."""

    def __init__(self, *, state: CellState) -> None:
        """Work on these tables."""
        self._state = state
        self._reservations_by_task: dict[TaskKey, _Reservation] = {}
        self._max_reservations = 0
        """Limit in this decision; 0 before it is needed."""
        self._open_executors: list[Executor] = []

    @property
    def reserved_ids(self) -> frozenset[str]:
        """Reserved executors, on which no other task may start."""
        return frozenset(
            reservation.executor_id for reservation in self._reservations_by_task.values()
        )

    def begin(self, open_executors: Iterable[Executor]) -> None:
        """Begin a decision: drop reservations that are no longer needed, and poll the others."""
        self._open_executors = list(open_executors)
        self._max_reservations = 0
        open_ids = {executor.executor_id for executor in self._open_executors}
        for key, reservation in list(self._reservations_by_task.items()):
            executor = self._state.executors_by_id.get(reservation.executor_id)
            task = self._suspect(key)
            if (
                executor is None
                or task is None
                or not self._is_still_needed(reservation, task, open_ids)
            ):
                del self._reservations_by_task[key]
            elif self._is_listing_due(executor):
                self._state.request_listing(executor)
        self._poll_suspect_members()

    def _poll_suspect_members(self) -> None:
        """Poll executors of suspect gang members often, as these start with their gang."""
        for key in sorted(self._state.suspect_members):
            task = self._suspect(key)
            if task is None:
                self._state.suspect_members.discard(key)
                continue
            executor = self._state.executors_by_id.get(task.executor_id)
            if executor is not None and self._is_listing_due(executor):
                self._state.request_listing(executor)

    def choose(
        self, step: StepRun, task: TaskRun, usable: Mapping[str, Executor]
    ) -> Executor | None:
        """Return the executor on which a suspect task may start now; None while there is none."""
        reservation = self._reservations_by_task.get(task.key)
        if reservation is None or reservation.executor_id not in usable:
            reservation = self._reserve(step, task, usable)
        if reservation is None:
            return None
        executor = usable[reservation.executor_id]
        return executor if self._is_ready(executor, step) else None

    def _suspect(self, key: TaskKey) -> TaskRun | None:
        """Return a task that is still suspect and not done."""
        found = self._state.find(key)
        if found is None or found[0].has_ended or not found[2].is_suspect:
            return None
        return None if found[2].phase is TaskPhase.DONE else found[2]

    def _is_still_needed(
        self, reservation: _Reservation, task: TaskRun, open_ids: set[str]
    ) -> bool:
        if task.phase is TaskPhase.ASSIGNED:
            is_there = task.executor_id == reservation.executor_id
            return is_there and not _is_past_startup(task)
        return (
            reservation.executor_id in open_ids
            and self._state.now - reservation.since <= RESERVATION_TIMEOUT_S
        )

    def _is_listing_due(self, executor: Executor) -> bool:
        if executor.answered_at is None or self._state.now - executor.answered_at < RECHECK_S:
            return False
        return any(self._is_startup_check_due(key) for key in executor.runs_by_task)

    def _is_startup_check_due(self, key: TaskKey) -> bool:
        """Whether a run should be past its startup, but no listing has shown that yet."""
        found = self._state.find(key)
        if found is None or found[2].at_work_s >= STARTUP_S or found[2].began_at is None:
            return False
        begun_for_s = self._state.now - found[2].began_at
        return begun_for_s >= (SUSPECT_STARTUP_S if found[2].is_suspect else STARTUP_S)

    def _reserve(
        self, step: StepRun, task: TaskRun, usable: Mapping[str, Executor]
    ) -> _Reservation | None:
        self._reservations_by_task.pop(task.key, None)
        if not self._may_reserve(task.key.job):
            return None
        reserved_ids = self.reserved_ids
        need = step.step.need
        candidates = [
            executor
            for executor in usable.values()
            if executor.executor_id not in reserved_ids and need.fits_in(executor.info.capacity)
        ]
        chosen = min(candidates, key=lambda e: self._cost(e, step, task), default=None)
        if chosen is None:
            return None
        reservation = _Reservation(executor_id=chosen.executor_id, since=self._state.now)
        self._reservations_by_task[task.key] = reservation
        return reservation

    def _may_reserve(self, job_id: str) -> bool:
        if not self._max_reservations:
            self._max_reservations = _max_reservations(self._open_executors)
        if len(self._reservations_by_task) >= self._max_reservations:
            return False
        of_job = sum(1 for key in self._reservations_by_task if key.job == job_id)
        return of_job < _max_reservations_of_job(self._open_executors)

    def _cost(
        self, executor: Executor, step: StepRun, task: TaskRun
    ) -> tuple[bool, bool, int, int, str]:
        """Return the sort key of executors: ready ones first, then by the work at risk."""
        urgent = sum(1 for key in executor.runs_by_task if self._is_urgent(key))
        return (
            not self._is_ready(executor, step),
            executor.executor_id in task.avoided,
            urgent,
            len(executor.runs_by_task),
            executor.executor_id,
        )

    def _is_urgent(self, key: TaskKey) -> bool:
        found = self._state.find(key)
        return found is not None and self._state.queue_of(found[0]).priority == URGENT_PRIORITY

    def _is_ready(self, executor: Executor, step: StepRun) -> bool:
        """Whether a task may start there now without another run that is starting."""
        if not executor.count_fitting(step.step.need, 1) or not may_add(executor, step):
            return False
        return all(self._is_past_startup(key) for key in executor.runs_by_task)

    def _is_past_startup(self, key: TaskKey) -> bool:
        found = self._state.find(key)
        if found is None:
            return False
        return _is_past_startup(found[2])


def _is_past_startup(task: TaskRun) -> bool:
    """Whether listings have shown a run in progress for so long that it is not starting."""
    startup_s = SUSPECT_STARTUP_S if task.is_suspect else STARTUP_S
    return task.state is StartState.STARTED and task.at_work_s >= startup_s


def _max_reservations(open_executors: Collection[Executor]) -> int:
    """Return how many executors may be reserved at once for tasks of all jobs."""
    total = sum(executor.info.capacity.cores_milli for executor in open_executors)
    free = sum(max(executor.free.cores_milli, 0) for executor in open_executors)
    free_share = free / total if total else 0.0
    in_free = int(len(open_executors) * FREE_PROBATION_SHARE * free_share)
    return max(_max_reservations_of_job(open_executors), in_free)


def _max_reservations_of_job(open_executors: Collection[Executor]) -> int:
    """Return how many executors may be reserved at once for tasks of one job."""
    return max(1, int(len(open_executors) * MIN_PROBATION_SHARE))
