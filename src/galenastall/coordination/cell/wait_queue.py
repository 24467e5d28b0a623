"""Waiting steps in the order in which decisions consider them."""

from dataclasses import dataclass
from typing import Final

from galenastall.coordination.cell.advice import AdviceTable, StepAdvice
from galenastall.coordination.cell.cell_state import CellState
from galenastall.coordination.cell.job_runs import JobRun, Occurrence, StepRun
from galenastall.coordination.cell.mechanisms import ALL_ON, DisabledMechanisms, Mechanism
from galenastall.coordination.cell.objectives import lateness_rank, objective_at, worthless_at
from galenastall.coordination.cell.workspace_shares import NO_SHARE, Share, WorkspaceShares
from galenastall.state.cell.jobs import CellJob, Queue, StepKey
from galenastall.state.cell.workspaces import NO_WORKSPACE
from galenastall.state.resources import NOTHING, Resources

URGENT_PRIORITY: Final = 0
WORTHLESS_RANK: Final = 2
"""Rank of work so late that it has no value left; it runs when nothing else needs the capacity."""
OVERDUE_AFTER_S: Final = 15.0
"""A gang that has had no value for longer is promoted, one step at a time: otherwise small tasks
would take any free capacity before it."""
HEAVY_OVERDUE_AFTER_S: Final = 120.0
"""The same for gangs that take more than half of all capacity, and for single tasks, which may need
whole executors: draining these delays work that still has value."""

SHARE_STEP: Final = 0.5
"""Jobs beyond the rate of their workspace are ordered by its share in steps of this size."""
MAX_SHARE_STEPS: Final = 100
"""Larger shares, up to infinity where the weight is 0, count as this many steps."""

OrderKey = tuple[int, int, int, int, float, StepKey]


@dataclass(frozen=True, kw_only=True, slots=True)
class WaitingStep:
    """A waiting step with the data that determines its order."""

    job: JobRun
    occurrence: Occurrence
    step: StepRun
    queue: Queue
    advice: StepAdvice | None
    """The advisor's answers; None on a queue without an advisor."""
    now: float
    rank: int
    """How late its job is, as `lateness_rank` returns it."""
    worthless_s: float
    """For how long it has had no value, in seconds; negative while it has some."""
    share: Share = NO_SHARE
    """How much of its share its workspace uses; nothing where the order ignores shares."""

    @property
    def is_urgent(self) -> bool:
        """Whether its queue has the urgent priority."""
        return self.queue.priority == URGENT_PRIORITY

    @property
    def is_worthless(self) -> bool:
        """Whether it is so late that it has no value left."""
        return self.rank >= WORTHLESS_RANK

    def is_overdue(self, total: Resources) -> bool:
        """Whether it may start and has had no value for long enough to be promoted.

        `total` is the capacity of all executors that may host it.
        """
        step = self.step.step
        if step.is_gang and len(self.step.waiting()) < step.count:
            return False
        is_light = step.is_gang and step.need.times(2 * step.count).fits_in(total)
        return self.worthless_s > (OVERDUE_AFTER_S if is_light else HEAVY_OVERDUE_AFTER_S)

    def ticket(self, executor_id: str) -> str | None:
        """Return a ticket for the executor; empty if none is needed, None if none is valid."""
        return "" if self.advice is None else self.advice.ticket(executor_id, self.now)

    def order_key(self, without: DisabledMechanisms = ALL_ON) -> OrderKey:
        """Return the sort key that gives its position in the queue."""
        return order_key_of(
            is_urgent=self.is_urgent,
            is_worthless=self.is_worthless,
            is_within_rate=self.job.is_within_rate,
            rank=self.rank,
            share=self.share,
            objective=self.occurrence.objective,
            step=self.step.key,
            without=without,
        )


def order_key_of(
    *,
    is_urgent: bool,
    is_worthless: bool,
    is_within_rate: bool,
    rank: int,
    share: Share,
    objective: float,
    step: StepKey,
    without: DisabledMechanisms = ALL_ON,
) -> OrderKey:
    """Return the sort key of a step, waiting or not.

    Urgent work goes before other work even when it is late: work that waits behind other work with
    only seconds to spare ends up worthless.
    """
    urgency = 0 if is_urgent or Mechanism.URGENT_FIRST in without else 1
    worthless = 1 if is_worthless or not is_within_rate else 0
    lateness = 0 if Mechanism.LATE_LAST in without else rank
    return (worthless, urgency, lateness, _share_rank(share, is_within_rate), objective, step)


def _share_rank(share: Share, is_within_rate: bool) -> int:
    if is_within_rate:
        return 0
    return int(min(share.ratio / SHARE_STEP, MAX_SHARE_STEPS))


class WaitQueue:
    """Lists the waiting steps of the leader's tables."""

    def __init__(self, *, state: CellState, advice: AdviceTable) -> None:
        """Read these tables."""
        self._state = state
        self._advice = advice
        self.shares = WorkspaceShares()
        """Shares of the workspaces, as of the last decision."""

    def in_order(self, *, now: float, wall: float) -> list[WaitingStep]:
        """Return the waiting steps, highest priority first."""
        found: list[tuple[OrderKey, WaitingStep]] = []
        for key in list(self._state.waiting_steps):
            job = self._state.jobs_by_id.get(key.job)
            step = job.find_step(key) if job is not None else None
            if job is None or step is None or job.has_ended:
                self._state.waiting_steps.discard(key)
                continue
            waiting = self._describe(job, step, now, wall)
            found.append((waiting.order_key(self._state.without), waiting))
        found.sort(key=lambda pair: pair[0])
        return [waiting for _, waiting in found]

    def key_of_new(self, job: CellJob, *, is_within_rate: bool, wall: float) -> OrderKey:
        """Return the sort key that the first step of a job would have if it were submitted now."""
        queue = self._state.queues_by_name.get(job.queue.name, job.queue)
        return order_key_of(
            is_urgent=queue.priority == URGENT_PRIORITY,
            is_worthless=False,
            is_within_rate=is_within_rate,
            rank=0,
            share=self._share_of(job.workspace),
            objective=objective_at(steps=job.steps, queue=job.queue, begins_at=wall),
            step=StepKey(job.job_id, 0, 0),
            without=self._state.without,
        )

    def update_shares(self, *, now: float, capacity: Resources) -> None:
        """Apply what the workspaces use now of the capacity of all open executors."""
        if not self._state.contention.orders_by_share:
            return
        jobs = (self._state.jobs_by_id.get(key.job) for key in self._state.waiting_steps)
        workspaces = self._state.workspaces
        names = {job.job.workspace for job in jobs if job is not None}
        names |= {name for name, used in workspaces.used_by_name.items() if used != NOTHING}
        names.discard(NO_WORKSPACE)
        changed = self.shares.update(
            map(workspaces.find, names),
            used_by_name=workspaces.used_by_name,
            capacity=capacity,
            now=now,
        )
        for name in changed:
            self._note_change(name, capacity)

    def _note_change(self, name: str, capacity: Resources) -> None:
        share = self.shares.of(name)
        used = self._state.workspaces.used(name)
        event = "workspace.above_share" if share.is_above else "workspace.within_share"
        fields = {
            "share": f"{share.ratio:.2f}",
            "weight": f"{self._state.workspaces.find(name).weight:g}",
            "used_cores_milli": str(used.cores_milli),
            "used_memory_mb": str(used.memory_mb),
            "open_cores_milli": str(capacity.cores_milli),
            "open_memory_mb": str(capacity.memory_mb),
        }
        self._state.note(event, name, fields=fields)

    def _share_of(self, name: str) -> Share:
        return self.shares.of(name) if self._state.contention.orders_by_share else NO_SHARE

    def _describe(self, job: JobRun, step: StepRun, now: float, wall: float) -> WaitingStep:
        queue = self._state.queue_of(job)
        occurrence = job.occurrences_by_number[step.key.occurrence]
        return WaitingStep(
            job=job,
            occurrence=occurrence,
            step=step,
            queue=queue,
            advice=None if queue.advisor is None else self._advice.of(step.key),
            now=now,
            rank=lateness_rank(
                objective=occurrence.objective, begins_at=occurrence.begins_at, now=wall
            ),
            worthless_s=wall
            - worthless_at(objective=occurrence.objective, begins_at=occurrence.begins_at),
            share=self._share_of(job.job.workspace),
        )
