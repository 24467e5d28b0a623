"""Invariants of work: capacity, no duplicate task runs, no lost job, one owner at a time."""

from collections.abc import Iterator
from heapq import heappop, heappush

from galenastall.proof.checker import INVARIANTS, Bounds, Finding
from galenastall.proof.history import (
    History,
    HistoryEvent,
    JobAccepted,
    JobCancelled,
    JobEnded,
    JobSeen,
    OwnershipAct,
    RunClosed,
    TaskEnded,
    TaskResized,
    TaskStarted,
    WorkerKnown,
)
from galenastall.state.ids import HostId, JobId, TaskId, split_task_id
from galenastall.state.resources import NOTHING, Resources

CHECKPOINTED = "checkpointed"
"""Cause of a task's end after which it resumes elsewhere from its checkpoint."""

_Place = tuple[HostId, TaskId, int]


class _LoadSweep:
    """Tracks the load of each worker over a history."""

    def __init__(self, *, real: bool) -> None:
        """Count actual resource use if `real`, else reservations."""
        self._real = real
        self.load_by_worker: dict[HostId, Resources] = {}
        self._amount_by_place: dict[_Place, tuple[TaskStarted, Resources]] = {}

    def apply(self, event: HistoryEvent) -> HostId | None:
        """Apply one event; return the worker whose load may have grown."""
        if isinstance(event, TaskStarted):
            amount = event.real if self._real else event.reserved
            self._amount_by_place[(event.worker, event.task_id, event.attempt)] = (event, amount)
            self._add(event.worker, amount)
            return event.worker
        if isinstance(event, TaskEnded):
            gone = self._amount_by_place.pop((event.worker, event.task_id, event.attempt), None)
            if gone is not None:
                self._add(event.worker, NOTHING - gone[1])
        if isinstance(event, TaskResized) and self._real:
            return self._resize(event)
        return None

    def tasks_on(self, worker: HostId) -> tuple[TaskStarted, ...]:
        """Return the start events of the tasks that run on a worker."""
        places = self._amount_by_place.items()
        return tuple(start for place, (start, _) in places if place[0] == worker)

    def _add(self, worker: HostId, amount: Resources) -> None:
        self.load_by_worker[worker] = self.load_by_worker.get(worker, NOTHING) + amount

    def _resize(self, event: TaskResized) -> HostId | None:
        for place, (start, amount) in self._amount_by_place.items():
            if place[:2] == (event.worker, event.task_id):
                self._amount_by_place[place] = (start, event.real)
                self._add(event.worker, event.real - amount)
                return event.worker
        return None


def _over_capacity(history: History, *, real: bool) -> Iterator[Finding]:
    sweep = _LoadSweep(real=real)
    known_by_worker: dict[HostId, WorkerKnown] = {}
    for event in history.events:
        if isinstance(event, WorkerKnown):
            known_by_worker[event.worker] = event
        worker = sweep.apply(event)
        if worker is None:
            continue
        known = known_by_worker.get(worker)
        if known is None:
            yield f"{worker} runs a task and its capacity is not known", (event,)
            continue
        load = sweep.load_by_worker[worker]
        if not load.fits_in(known.capacity):
            yield (
                _overload_detail(worker, load, known.capacity),
                (known, event, *sweep.tasks_on(worker)),
            )


def _overload_detail(worker: HostId, load: Resources, capacity: Resources) -> str:
    return (
        f"{worker} holds {load.cores_milli}/{load.memory_mb}/{load.accelerators}"
        f" of {capacity.cores_milli}/{capacity.memory_mb}/{capacity.accelerators}"
        " (milli cores/MB/accelerators)"
    )


@INVARIANTS.register("capacity-reserved")
def capacity_reserved(history: History, bounds: Bounds) -> Iterator[Finding]:
    """Check that the reservations of a worker's tasks never exceed its capacity."""
    return _over_capacity(history, real=False)


@INVARIANTS.register("capacity-real")
def capacity_real(history: History, bounds: Bounds) -> Iterator[Finding]:
    """Check that the actual use of a worker's tasks never exceeds its capacity."""
    return _over_capacity(history, real=True)


@INVARIANTS.register("task-in-one-place")
def task_in_one_place(history: History, bounds: Bounds) -> Iterator[Finding]:
    """Check that a task never runs twice at the same instant, on one worker or on two."""
    running: dict[TaskId, dict[tuple[HostId, int], TaskStarted]] = {}
    for event in history.events:
        if isinstance(event, TaskStarted):
            places = running.setdefault(event.task_id, {})
            if places:
                detail = f"{event.task_id} runs in {len(places) + 1} places"
                yield detail, (*places.values(), event)
            places[(event.worker, event.attempt)] = event
        elif isinstance(event, TaskEnded):
            running.get(event.task_id, {}).pop((event.worker, event.attempt), None)


@INVARIANTS.register("task-at-most-once")
def task_at_most_once(history: History, bounds: Bounds) -> Iterator[Finding]:
    """Check that a task of a non-idempotent job starts once, except to resume a checkpoint."""
    strict = {event.job_id for event in history.of(JobAccepted) if not event.idempotent}
    spent: dict[TaskId, TaskStarted] = {}
    for event in history.events:
        if isinstance(event, TaskStarted) and split_task_id(event.task_id)[0] in strict:
            if event.task_id in spent:
                yield f"non-idempotent {event.task_id} started again", (
                    spent[event.task_id],
                    event,
                )
            spent[event.task_id] = event
        elif isinstance(event, TaskEnded) and event.cause == CHECKPOINTED:
            spent.pop(event.task_id, None)


@INVARIANTS.register("no-job-lost")
def no_job_lost(history: History, bounds: Bounds) -> Iterator[Finding]:
    """Check that an accepted job stays known until it ends or is cancelled."""
    last_seen: dict[JobId, HistoryEvent] = {}
    over: set[JobId] = set()
    accepted = {event.job_id: event for event in history.of(JobAccepted)}
    for event in history.events:
        if isinstance(event, JobEnded | JobCancelled):
            over.add(event.job_id)
        elif isinstance(event, JobSeen):
            last_seen[event.job_id] = event
            known_before = event.job_id in accepted and event.at >= accepted[event.job_id].at
            if not event.known and known_before and event.job_id not in over:
                yield f"{event.job_id} is no longer known", (accepted[event.job_id], event)
    if not any(True for _ in history.of(RunClosed)):
        return
    for job_id, acceptance in accepted.items():
        if job_id not in over and job_id not in last_seen:
            yield f"no report on {job_id} after its acceptance", (acceptance,)


@INVARIANTS.register("one-owner-at-an-instant")
def one_owner_at_an_instant(history: History, bounds: Bounds) -> Iterator[Finding]:
    """Check that acts of different owners never overlap, and epochs never decrease."""
    for ownable, acts in history.grouped(OwnershipAct, lambda act: act.ownable).items():
        open_acts: list[tuple[float, int, OwnershipAct]] = []
        highest: OwnershipAct | None = None
        for order, act in enumerate(acts):
            while open_acts and open_acts[0][0] <= act.at:
                heappop(open_acts)
            for _, _, other in open_acts:
                if (other.entry_host, other.epoch) != (act.entry_host, act.epoch):
                    detail = f"{ownable}: {other.entry_host} and {act.entry_host} act at once"
                    yield detail, (other, act)
                    break
            if highest is not None and act.epoch < highest.epoch:
                yield f"{ownable}: epoch {act.epoch} acts after {highest.epoch}", (highest, act)
            if highest is None or act.epoch > highest.epoch:
                highest = act
            heappush(open_acts, (act.until, order, act))
