"""Chooses executors for waiting steps in priority order; gangs start completely or not at all."""

from itertools import takewhile
from typing import Final

from galenastall.coordination.cell.advice import AdviceTable
from galenastall.coordination.cell.advice_planner import AdvicePlanner
from galenastall.coordination.cell.cell_state import CellState
from galenastall.coordination.cell.commands import StartOrder
from galenastall.coordination.cell.executors import Executor
from galenastall.coordination.cell.fitting import SingleChoices, choose_for_gang, may_host
from galenastall.coordination.cell.forecast import Forecast
from galenastall.coordination.cell.gang_pace import plan_gang
from galenastall.coordination.cell.mechanisms import Mechanism
from galenastall.coordination.cell.probation import Probation
from galenastall.coordination.cell.reservation_plan import PlannedStart, ReservationPlan, could_hold
from galenastall.coordination.cell.rotation import GangRotation, OverdueRotation, StepRotation
from galenastall.coordination.cell.speed_wish import wish_of
from galenastall.coordination.cell.task_runs import TaskRun
from galenastall.coordination.cell.urgent_reserve import NO_RESERVE, UrgentCapacity
from galenastall.coordination.cell.wait_observations import WaitObservations
from galenastall.coordination.cell.wait_queue import WaitingStep, WaitQueue
from galenastall.coordination.cell.wait_reasons import WaitReason, why_not_gang, why_not_singles
from galenastall.state.cell.jobs import StepKey
from galenastall.state.resources import NOTHING, Resources

TICKETED_SOON_S: Final = 1.5
"""A gang start at most this far ahead, in seconds, is planned on executors with tickets."""

OpenExecutors = dict[str, Executor]
"""Executors that accept new work, by id."""
PlaceableStep = tuple[WaitingStep, OpenExecutors]
"""A waiting step with the executors that may host it."""


class Placer:
    """Assigns waiting tasks to executors with free capacity, and requests advice where needed."""

    def __init__(self, *, state: CellState, advice: AdviceTable) -> None:
        """Operate on these tables."""
        self._state = state
        self._queue = WaitQueue(state=state, advice=advice)
        self._forecast = Forecast(state=state)
        self._planner = AdvicePlanner(state=state, advice=advice, forecast=self._forecast)
        self.plan = ReservationPlan(
            forecast=self._forecast, speeds=state.speeds, without=state.without
        )
        """Capacity that the last decision reserved."""
        self._probation = Probation(state=state)
        self.observations = WaitObservations()
        """Reasons why the last decision did not start waiting steps."""
        self._step_rotation = StepRotation()
        self._gang_rotation = GangRotation()
        self._answered: set[StepKey] = set()
        """Steps for which advice arrived since the last decision."""
        self._overdue: StepKey | None = None
        """The overdue step that this decision promotes."""
        self._overdue_rotation = OverdueRotation()
        self._urgent_capacity = UrgentCapacity(state=state)

    def note_answer(self, step: StepKey) -> None:
        """Consider a step next time: in a long queue its tickets expire before its rotation."""
        self._answered.add(step)

    def decide(self, *, now: float, wall: float) -> None:
        """Place what fits; start orders and advice requests are added to the tables."""
        open_executors = self._open_executors(now) if self._state.waiting_steps else []
        self._probation.begin(open_executors)
        self.plan.begin(now=now, fleet_size=len(open_executors))
        self.plan.close(self._probation.reserved_ids)
        self.observations.begin(is_any_open=bool(open_executors))
        if not self._state.waiting_steps:
            self._urgent_capacity.observe((), now=now)
        if not open_executors:
            return
        self._gang_rotation.begin(self._state.waiting_steps)
        self._state.workspaces.begin_decision()
        for waiting, usable in self._steps_to_place(_UsableExecutors(open_executors), now, wall):
            self._keep_for_urgent(waiting, open_executors)
            self._place(waiting, usable)
        self._forecast.forget()

    def _keep_for_urgent(self, waiting: WaitingStep, open_executors: list[Executor]) -> None:
        """Keep capacity for urgent work before the first step that has no claim to it."""
        if not self._state.contention.reserves_for_urgent or waiting.has_urgent_claim:
            return
        if self.plan.urgent is NO_RESERVE:
            self.plan.keep_for_urgent(self._urgent_capacity.reserve(open_executors))

    def _steps_to_place(
        self, usable: "_UsableExecutors", now: float, wall: float
    ) -> list[PlaceableStep]:
        """Return the steps to consider, in order, with the executors that may host each."""
        queue = self._promote_overdue(self._placeable_steps(usable, now, wall), usable, now)
        chosen = self._step_rotation.choose([waiting.step.key for waiting, _ in queue])
        chosen |= self._gang_rotation.in_turn | self._answered
        self._answered.clear()
        return [(waiting, hosting) for waiting, hosting in queue if waiting.step.key in chosen]

    def _placeable_steps(
        self, usable: "_UsableExecutors", now: float, wall: float
    ) -> list[PlaceableStep]:
        """Return the waiting steps in order, without those that no open executor may host."""
        queue: list[PlaceableStep] = []
        in_order = self._queue.in_order(now=now, wall=wall)
        if self._state.contention.reserves_for_urgent:
            self._urgent_capacity.observe(in_order, now=now)
        for waiting in in_order:
            hosting = usable.by(waiting)
            if hosting:
                queue.append((waiting, hosting))
            else:
                self.observations.note(waiting.step.key, WaitReason.NONE_OPEN)
        return queue

    def _promote_overdue(
        self, queue: list[PlaceableStep], usable: "_UsableExecutors", now: float
    ) -> list[PlaceableStep]:
        """Move one overdue step ahead of all non-urgent ones, unless its last plan had no start."""
        overdue_keys = [
            waiting.step.key
            for waiting, _ in queue
            if waiting.is_worthless
            and waiting.is_overdue(usable.total(waiting))
            and not self._gang_rotation.had_no_start(waiting.step.key)
        ]
        self._overdue = self._overdue_rotation.choose(overdue_keys, now=now)
        overdue = next((pair for pair in queue if pair[0].step.key == self._overdue), None)
        if overdue is None:
            return queue
        others = [pair for pair in queue if pair is not overdue]
        ahead = list(takewhile(lambda pair: pair[0].is_urgent and not pair[0].is_worthless, others))
        return [*ahead, overdue, *others[len(ahead) :]]

    def _open_executors(self, now: float) -> list[Executor]:
        timings = self._state.timings
        reach_s, grace_s = timings.reach_s, timings.delisted_grace_s
        answered = (
            executor
            for executor in self._state.executors_by_id.values()
            if executor.has_answered(now=now, reach_s=reach_s)
        )
        return [
            executor
            for executor in answered
            if executor.is_open(now=now, reach_s=reach_s, delisted_grace_s=grace_s)
        ]

    def _place(self, waiting: WaitingStep, usable: OpenExecutors) -> None:
        waits = waiting.step.waiting()
        tasks = [task for task in waits if not self._may_start_late(task)]
        is_gang = waiting.step.step.is_gang
        if len(tasks) < len(waits) and (is_gang or not tasks):
            self.observations.note(waiting.step.key, WaitReason.START_UNANSWERED)
            return
        tasks = [task for task in tasks if task.not_before <= waiting.now]
        if is_gang and len(waits) < waiting.step.step.count:
            self.observations.note(waiting.step.key, WaitReason.LAST_RUN_ENDING)
        elif not tasks or (is_gang and len(tasks) < len(waits)):
            self.observations.note(waiting.step.key, WaitReason.REFUSED)
        elif tasks := self._within_quota(waiting, tasks):
            if is_gang:
                self._place_gang(waiting, tasks, usable)
            else:
                self._place_singly(waiting, tasks, usable)

    def _may_start_late(self, task: TaskRun) -> bool:
        """Whether an executor may still carry out an earlier start of a task."""
        return bool(self._state.late_orders.sent_to(task.key, now=self._state.now))

    def _within_quota(self, waiting: WaitingStep, tasks: list[TaskRun]) -> list[TaskRun]:
        """Return the tasks that the workspace may start now, and note why others may not start."""
        workspaces, step = self._state.workspaces, waiting.step.step
        name = waiting.job.job.workspace
        allowed = workspaces.startable(name, step, len(tasks))
        if allowed == len(tasks):
            return tasks
        if not workspaces.is_configured:
            self.observations.note(waiting.step.key, WaitReason.QUOTA_UNKNOWN)
            return []
        if not workspaces.may_ever_start(name, step):
            self.observations.note(waiting.step.key, WaitReason.OVER_QUOTA)
            return []
        self.observations.note(waiting.step.key, WaitReason.QUOTA_USED)
        if step.is_gang and waiting.job.is_within_rate and not waiting.is_worthless:
            workspaces.hold_for_gang(name)
        return tasks[:allowed]

    def _place_singly(
        self, waiting: WaitingStep, tasks: list[TaskRun], usable: OpenExecutors
    ) -> None:
        suspects = [task for task in tasks if self._is_on_probation(task)]
        others = [task for task in tasks if not self._is_on_probation(task)]
        ticketed = _ticketed(usable, waiting)
        suspects_left = self._start_on_probation(waiting, suspects, ticketed)
        others_left = self._start_singly(waiting, others, ticketed)
        left = suspects_left + others_left
        if not left:
            return
        advice = waiting.advice
        if advice is not None and not advice.is_request_pending(waiting.now):
            self._planner.request_for_singles(waiting, advice, list(usable.values()), left)
        if others_left and self._may_reserve(waiting):
            self.plan.reserve_for_singles(
                waiting.step.step, others_left, _approved(usable, waiting)
            )
        if suspects_left and not others_left:
            self.observations.note(waiting.step.key, WaitReason.ON_PROBATION)
            return
        can_request = self._planner.can_request(waiting)
        reason = why_not_singles(waiting, usable, self.plan, can_request=can_request)
        self.observations.note(waiting.step.key, reason)

    def _place_gang(
        self, waiting: WaitingStep, tasks: list[TaskRun], usable: OpenExecutors
    ) -> None:
        if self._start_gang(waiting, tasks, _ticketed(usable, waiting)):
            return
        planned = self._plan_gang(waiting, usable)
        advice = waiting.advice
        if advice is not None and not advice.is_request_pending(waiting.now):
            self._planner.request_for_gang(waiting, advice, list(usable.values()), planned)
        can_request = self._planner.can_request(waiting)
        may_plan = not self._gang_rotation.is_deferred(waiting.step.key)
        reason = why_not_gang(
            waiting, usable, self.plan, planned, may_plan=may_plan, can_request=can_request
        )
        self.observations.note(waiting.step.key, reason)

    def _plan_gang(self, waiting: WaitingStep, usable: OpenExecutors) -> PlannedStart | None:
        """Return the earliest start of a gang, and reserve its capacity if the gang may reserve."""
        key, step = waiting.step.key, waiting.step.step
        approved = _approved(usable, waiting)
        if not could_hold(step, step.count, approved):
            # Checked on capacities alone, 40 us with 60 executors: it counts against no limit.
            self._gang_rotation.note_infeasible(key)
            return None
        if not self._gang_rotation.may_plan(key):
            return None
        planned = self._plan_on(waiting, approved)
        is_first = self._gang_rotation.note(key, is_found=planned is not None)
        if planned is not None and is_first and self._may_reserve(waiting):
            self.plan.reserve_for_gang(planned, step)
        return planned

    def _plan_on(self, waiting: WaitingStep, approved: list[Executor]) -> PlannedStart | None:
        """Return the earliest start, on executors with valid or pending tickets if it is soon.

        Otherwise the planned executors would change with each run that ends elsewhere, and tickets
        would arrive for other executors than those that have the capacity by then.
        """
        step, advice, now = waiting.step.step, waiting.advice, waiting.now
        wish = wish_of(waiting, self._state.speeds)
        if advice is not None:
            soon = [e for e in approved if advice.has_ticket_soon(e.executor_id, now)]
            planned = plan_gang(self.plan, step, soon, wish, now=now, within_s=TICKETED_SOON_S)
            if planned is not None:
                return planned
        return plan_gang(self.plan, step, approved, wish, now=now)

    def _may_reserve(self, waiting: WaitingStep) -> bool:
        if Mechanism.RESERVATIONS in self._state.without:
            return False
        is_entitled = waiting.job.is_within_rate and not waiting.is_worthless
        return is_entitled or waiting.step.key == self._overdue

    def _is_on_probation(self, task: TaskRun) -> bool:
        return task.is_suspect and Mechanism.PROBATION not in self._state.without

    def _start_on_probation(
        self, waiting: WaitingStep, suspects: list[TaskRun], usable: list[Executor]
    ) -> int:
        """Start tasks that must run in isolation at first, and return how many are left."""
        if not suspects:
            return 0
        usable_by_id = {executor.executor_id: executor for executor in usable}
        placed = 0
        for task in suspects:
            executor = self._probation.choose(waiting.step, task, usable_by_id)
            if executor is not None:
                self._assign(waiting, task, executor, task.run + 1)
                placed += 1
        self.plan.close(self._probation.reserved_ids)
        if placed:
            self._state.refresh_waiting(waiting.job)
        return len(suspects) - placed

    def _start_singly(
        self, waiting: WaitingStep, tasks: list[TaskRun], usable: list[Executor]
    ) -> int:
        """Start tasks one by one, and return how many are left."""
        placed = 0
        wish = wish_of(waiting, self._state.speeds)
        choices = SingleChoices(usable, waiting.step, self.plan, wish)
        for task in tasks:
            executor = choices.choose(task)
            if executor is None:
                break
            self._assign(waiting, task, executor, task.run + 1)
            placed += 1
        if placed:
            self._state.refresh_waiting(waiting.job)
        return len(tasks) - placed

    def _start_gang(
        self, waiting: WaitingStep, tasks: list[TaskRun], usable: list[Executor]
    ) -> bool:
        wish = wish_of(waiting, self._state.speeds)
        chosen = choose_for_gang(usable, waiting.step, len(tasks), self.plan, wish)
        if chosen is None:
            return False
        run = waiting.step.highest_run + 1
        waiting.step.share_checkpoint()
        waiting.step.share_given_up()
        for task, executor in zip(tasks, chosen, strict=True):
            self._assign(waiting, task, executor, run)
        self._state.refresh_waiting(waiting.job)
        return True

    def _assign(self, waiting: WaitingStep, task: TaskRun, executor: Executor, run: int) -> None:
        state = self._state
        state.assign(task, waiting.step, executor, run, waiting.now)
        self.plan.use(executor, waiting.step.step)
        fields = {
            "run": str(run),
            "executor": executor.executor_id,
            "free_cores_milli": str(executor.free.cores_milli),
        }
        if state.speeds.is_in_use:
            fields["speed"] = f"{state.speeds.of(executor.info.host):.2f}"
        state.note(
            "run.assigned",
            task.key.job,
            f"{task.key.occurrence}.{task.key.step}.{task.key.number}",
            fields=fields,
        )
        state.new_starts.append(
            StartOrder(
                task=task.key,
                run=run,
                executor_id=executor.executor_id,
                payload=waiting.job.job.payload,
                checkpoint=task.checkpoint,
                ticket=waiting.ticket(executor.executor_id) or "",
            )
        )


class _UsableExecutors:
    """Open executors grouped by a step's requirements, computed once a decision."""

    def __init__(self, executors: list[Executor]) -> None:
        self._executors = executors
        self._by_requirement: dict[tuple[str, str], OpenExecutors] = {}
        self._total_by_requirement: dict[tuple[str, str], Resources] = {}

    def by(self, waiting: WaitingStep) -> OpenExecutors:
        """Return the executors that may host a step."""
        step, service = waiting.step.step, waiting.queue.service
        requirement = (service, step.label)
        usable = self._by_requirement.get(requirement)
        if usable is None:
            usable = {e.executor_id: e for e in self._executors if may_host(e, step, service)}
            self._by_requirement[requirement] = usable
        return usable

    def total(self, waiting: WaitingStep) -> Resources:
        """Return the total capacity of the executors that may host a step."""
        requirement = (waiting.queue.service, waiting.step.step.label)
        total = self._total_by_requirement.get(requirement)
        if total is None:
            capacities = (e.info.capacity for e in self.by(waiting).values())
            total = self._total_by_requirement[requirement] = sum(capacities, NOTHING)
        return total


def _ticketed(usable: OpenExecutors, waiting: WaitingStep) -> list[Executor]:
    """Return the executors on which a step may start now."""
    advice = waiting.advice
    if advice is None:
        return list(usable.values())
    return [usable[i] for i in advice.ticketed(waiting.now) if i in usable]


def _approved(usable: OpenExecutors, waiting: WaitingStep) -> list[Executor]:
    """Return the executors approved for a step, whether or not their tickets are still valid."""
    advice = waiting.advice
    if advice is None:
        return list(usable.values())
    return [usable[i] for i in advice.tickets_by_executor if i in usable]
