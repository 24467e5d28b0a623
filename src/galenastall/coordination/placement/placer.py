"""Place one waiting task, or free capacity for it: by preemption, else by a promise on a worker."""

from math import inf
from typing import Final

from galenastall.coordination.placement.feasibility import describe_amount
from galenastall.coordination.placement.placement_commands import (
    CommandKind,
    Refusal,
    RefusalReason,
)
from galenastall.coordination.placement.placement_settings import class_of
from galenastall.coordination.placement.placement_state import Placed, Worker
from galenastall.coordination.placement.placement_tables import PlacementTables
from galenastall.coordination.placement.policies import PLACEMENT_POLICIES, PlacementPolicy
from galenastall.coordination.placement.preemption import PreemptionPlan, cheapest, plan_on
from galenastall.coordination.placement.promises import Promise
from galenastall.coordination.placement.waiting import Lane, Waiting, WaitReason
from galenastall.state.ledger import LedgerPhase
from galenastall.state.resources import Resources
from galenastall.state.work import TaskSpec, Urgency, Workload

WORKERS_EXAMINED: Final = 6
"""Workers examined for preemption victims or a promise, drawn at random."""
CAPACITY_SEARCHES_PER_DECISION: Final = 2
"""Tasks for which victims or a promise are sought in one decision; the rest wait for the next."""
VICTIM_SEARCH_INTERVAL_S: Final = 1.0
"""Time after which victims for an urgent task are sought again, on other workers."""
PREEMPTION_TIME_S: Final = 10.0
"""Time after which capacity freed by preemption is expected, in seconds."""
PROMISE_SLACK_S: Final = 30.0
"""How long an urgent task's promise outlasts its expected time. Other promises outlast theirs by
the starvation time, so that wrong estimates don't move them from worker to worker."""
DEFAULT_RUN_S: Final = 600.0
"""Remaining run time assumed for batch tasks whose run time is unknown."""
PROMISES_PER_WORKER: Final = 4
"""Limit of promises to urgent tasks, per worker; starving tasks get a sixteenth of the total."""


class Placer:
    """Finds a worker for a task; all state is in the tables."""

    def __init__(self, *, tables: PlacementTables) -> None:
        """Read and change these tables."""
        self._tables = tables
        self._policies_by_class: dict[str, PlacementPolicy] = {}
        self._searches_left = 0
        self._explanations_by_class: dict[str, str] = {}
        self.why = ""
        """Why the worker found last was chosen."""
        self.refusals: list[Refusal] = []
        self.use_policies()

    def use_policies(self) -> None:
        """Create the policies that the settings name; raises UnknownNameError for unknown ones."""
        tables = self._tables
        self._policies_by_class = {
            name: PLACEMENT_POLICIES.get(policy)(
                index=tables.index, spread=tables.spread, rng=tables.rng
            )
            for name, policy in tables.settings.policies_by_class.items()
        }
        self._explanations_by_class = {
            name: f"policy {policy} of class {name} chose it among the workers with capacity"
            for name, policy in tables.settings.policies_by_class.items()
        }

    def begin(self) -> None:
        """Start a decision with its full allowance of capacity searches."""
        self._searches_left = CAPACITY_SEARCHES_PER_DECISION

    def place(self, waiting: Waiting, now: float) -> Placed | None:
        """Reserve capacity for a waiting task and dequeue it, or record why it still waits."""
        tables = self._tables
        task = waiting.task
        if tables.quarantine.is_bad_job(task.job_id):
            self._refuse(task, RefusalReason.BAD_JOB, tables.quarantine.history(task.job_id))
            return None
        amount = self.amount_of(task)
        if not tables.queue.allows(task.team, amount):
            waiting.reason = WaitReason.QUOTA
            self._refuse_over_quota(task)
            return None
        worker = self._promised_worker(task, amount) or self.find(task, amount, now)
        if worker is None:
            self._on_no_capacity(waiting, amount, now)
            return None
        placed = tables.reserve(
            task, worker, amount, phase=LedgerPhase.STARTING, now=now, since=waiting.since
        )
        if placed is not None:
            placed.why = self.why
            tables.leave_queue(task.task_id)
        return placed

    def amount_of(self, task: TaskSpec) -> Resources:
        """Return what to reserve for a task: the larger of needed and learned.

        A learned size that exceeds every worker or the quota is ignored in favour of the need, so
        that learning can't make a task wait indefinitely.
        """
        tables = self._tables
        need = tables.estimates.need(task)
        if not tables.settings.is_learning or not task.kind:
            return need
        amount = tables.estimates.amount(task, tables.capacities.most)
        if amount is need or amount == need:
            return need
        exceeded = tables.queue.exceeded_quota(task.team, amount)
        if exceeded is not None and not amount.fits_in(exceeded[1]):
            return need
        return need if tables.capacities.obstacle(amount) is not None else amount

    def find(self, task: TaskSpec, amount: Resources, now: float) -> Worker | None:
        """Return the worker that the class's policy chooses, or None if none has capacity."""
        tables = self._tables
        if tables.quarantined_by_id:
            probed = self._probe(task, amount, now)
            if probed is not None:
                self.why = "the worker was quarantined and due to be probed"
                return probed
        avoid = tables.quarantine.workers_to_avoid(task.job_id)
        if not tables.failed_shapes.covers(amount):
            policy = self._policies_by_class[class_of(task)]
            worker = policy.choose(task=task, amount=amount, avoid=avoid)
            if worker is not None:
                self.why = self._explanations_by_class[class_of(task)]
                return worker
            if not avoid:
                tables.failed_shapes.add(amount)
        return self._backfill(task, amount, now)

    def preempt_or_promise(
        self, task: TaskSpec, amount: Resources, now: float, *, gang_id: str = ""
    ) -> Promise | None:
        """Free capacity for a task: preempt lower classes, or promise it a worker's capacity."""
        tables = self._tables
        drawn = tables.index.draw(4 * WORKERS_EXAMINED, accelerated=amount.accelerators > 0)
        workers = [worker for worker in drawn if amount.fits_in(worker.ledger.capacity)]
        workers = workers[:WORKERS_EXAMINED]
        plan = self._preempt(task, amount, workers, now)
        if plan is not None:
            until = now + PREEMPTION_TIME_S
            return self._promise(
                task,
                plan.worker,
                amount,
                now=now,
                expected_at=until,
                until=until,
                gang_id=gang_id,
                is_preempting=True,
            )
        times = [
            (self._expected_fit_at(worker, amount, now), worker.slot, worker) for worker in workers
        ]
        expected_at, _, worker = min(times, default=(inf, 0, None))
        if worker is None or expected_at == inf:
            return None
        slack_s = PROMISE_SLACK_S
        if task.urgency is not Urgency.URGENT:
            slack_s = tables.settings.starvation_of(task.urgency)
        until = expected_at + slack_s
        return self._promise(
            task,
            worker,
            amount,
            now=now,
            expected_at=expected_at,
            until=until,
            gang_id=gang_id,
            is_preempting=False,
        )

    def _promised_worker(self, task: TaskSpec, amount: Resources) -> Worker | None:
        promise = self._tables.promises.get(task.task_id)
        if promise is None or not promise.worker.is_open:
            return None
        if not promise.worker.ledger.fits(amount):
            return None
        self.why = "capacity there was promised to it while it waited"
        return promise.worker

    def _probe(self, task: TaskSpec, amount: Resources, now: float) -> Worker | None:
        """Return a quarantined worker that is due for a probe, if this task may be the probe."""
        if not task.idempotent or task.urgency is Urgency.URGENT:
            return None
        if task.workload is not Workload.BATCH:
            return None
        tables = self._tables
        for worker in tables.quarantined_by_id.values():
            if not worker.may_be_probed or not worker.ledger.fits(amount):
                continue
            if tables.quarantine.is_probe_due(worker.worker_id, now):
                tables.quarantine.on_probe(worker.worker_id, task.task_id)
                return worker
        return None

    def _backfill(self, task: TaskSpec, amount: Resources, now: float) -> Worker | None:
        tables = self._tables
        if task.workload is not Workload.BATCH or not len(tables.promises):
            return None
        run_s = tables.estimates.run_s(task)
        if run_s is None:
            return None
        worker = tables.promises.backfill(amount, now + run_s)
        if worker is None or worker.worker_id in tables.quarantine.workers_to_avoid(task.job_id):
            return None
        self.why = "it ends before the task that the capacity is promised to needs it"
        return worker

    def _on_no_capacity(self, waiting: Waiting, amount: Resources, now: float) -> None:
        task = waiting.task
        obstacle = self._tables.capacities.obstacle(self._tables.estimates.need(task))
        if obstacle is not None:
            self._refuse(task, RefusalReason.IMPOSSIBLE, obstacle)
            return
        if waiting.lane is Lane.TEAM or self._searches_left <= 0:
            waiting.reason = WaitReason.NO_CAPACITY
            return
        promise = self._tables.promises.get(task.task_id)
        if promise is not None and not self._may_retry_preemption(task, promise, now):
            return
        if len(self._tables.promises) >= self._max_promises(waiting.lane):
            waiting.reason = WaitReason.NO_CAPACITY
            return
        self._searches_left -= 1
        self._tables.drop_promise(task.task_id)
        promise = self.preempt_or_promise(task, amount, now)
        waiting.reason = WaitReason.NO_CAPACITY if promise is None else WaitReason.PROMISED

    def _may_retry_preemption(self, task: TaskSpec, promise: Promise, now: float) -> bool:
        """Whether an urgent task with a promise should search for preemption victims again."""
        if task.urgency is not Urgency.URGENT or promise.is_preempting:
            return False
        return now - promise.made_at >= VICTIM_SEARCH_INTERVAL_S

    def _max_promises(self, lane: Lane | None) -> int:
        most = PROMISES_PER_WORKER * len(self._tables.workers_by_id)
        return most if lane is Lane.URGENT else max(most // 16, 1)

    def _preempt(
        self, task: TaskSpec, amount: Resources, workers: list[Worker], now: float
    ) -> PreemptionPlan | None:
        tables = self._tables
        if not tables.settings.is_preempting or task.urgency is Urgency.BACKFILL:
            return None
        plans = (plan_on(worker, tables.on_worker(worker), task, amount, now) for worker in workers)
        plan = cheapest(plans)
        if plan is None:
            return None
        for victim in plan.victims:
            cause = f"it is preempted for {task.task_id}"
            if victim.command is CommandKind.CHECKPOINT:
                tables.pending.checkpoint(victim.placed, cause)
            else:
                tables.pending.stop(victim.placed, cause)
            victim.placed.ending = victim.command
        return plan

    def _promise(
        self,
        task: TaskSpec,
        worker: Worker,
        amount: Resources,
        *,
        now: float,
        expected_at: float,
        until: float,
        gang_id: str,
        is_preempting: bool,
    ) -> Promise:
        if gang_id:
            until = now + self._tables.settings.gang_promise_s
        promise = Promise(
            task_id=task.task_id,
            worker=worker,
            amount=amount,
            now=now,
            expected_at=expected_at,
            until=until,
            gang_id=gang_id,
            is_preempting=is_preempting,
        )
        self._tables.make_promise(promise)
        return promise

    def _expected_fit_at(self, worker: Worker, amount: Resources, now: float) -> float:
        """Return when a worker is expected to fit `amount`, in wall seconds; inf if unknown."""
        free = worker.ledger.free - worker.promised
        if amount.fits_in(free):
            return now
        ends = [
            (self._expected_end_at(placed, now), placed)
            for placed in self._tables.on_worker(worker)
        ]
        ends.sort(key=lambda end: end[0])
        for ends_at, placed in ends:
            free = free + placed.entry.amount
            if amount.fits_in(free):
                return ends_at
        return inf

    def _expected_end_at(self, placed: Placed, now: float) -> float:
        if placed.ending is not None:
            return now + PREEMPTION_TIME_S
        if placed.task.workload is Workload.SERVICE:
            return inf
        run_s = self._tables.estimates.run_s(placed.task)
        left = DEFAULT_RUN_S if run_s is None else placed.decided_at + run_s - now
        return now + max(left, 1.0)

    def _refuse_over_quota(self, task: TaskSpec) -> None:
        """Refuse a task that exceeds a quota even with nothing else reserved."""
        need = self._tables.estimates.need(task)
        exceeded = self._tables.queue.exceeded_quota(task.team, need)
        if exceeded is None or need.fits_in(exceeded[1]):
            return
        detail = f"needs {describe_amount(need)}; "
        detail += f"the quota of {exceeded[0]} is {describe_amount(exceeded[1])}"
        self._refuse(task, RefusalReason.IMPOSSIBLE, detail)

    def _refuse(self, task: TaskSpec, reason: RefusalReason, detail: str) -> None:
        self._tables.leave_queue(task.task_id)
        need = self._tables.estimates.need(task)
        self.refusals.append(Refusal(task=task, reason=reason, detail=detail, need=need))
