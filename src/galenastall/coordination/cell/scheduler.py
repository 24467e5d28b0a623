"""The scheduling core of a cell's leader: takes typed events, returns batches and orders."""

from collections.abc import Iterable
from typing import Final

from galenastall.coordination.cell.advice import AdviceTable, Approval
from galenastall.coordination.cell.batches import Batches
from galenastall.coordination.cell.cell_state import CellState
from galenastall.coordination.cell.commands import (
    AdviceRequest,
    Batch,
    Note,
    StartOrder,
    StopOrder,
    ThrottleOrder,
)
from galenastall.coordination.cell.contention import ContentionRules, contention_rules
from galenastall.coordination.cell.crashes import CrashAttributor
from galenastall.coordination.cell.executor_health import ExecutorHealth
from galenastall.coordination.cell.executor_speeds import SpeedClass
from galenastall.coordination.cell.executors import Executor, ExecutorInfo
from galenastall.coordination.cell.fleet import Fleet
from galenastall.coordination.cell.host_operations import HostOperations
from galenastall.coordination.cell.incarnations import Incarnations
from galenastall.coordination.cell.inherited_advice import InheritedAdvice
from galenastall.coordination.cell.job_rates import JobRates
from galenastall.coordination.cell.job_runs import JobRun
from galenastall.coordination.cell.late_orders import LateOrders
from galenastall.coordination.cell.listings import Listing, ListingReader
from galenastall.coordination.cell.load_report import closed_by_id, report_load
from galenastall.coordination.cell.mechanisms import ALL_ON, DisabledMechanisms
from galenastall.coordination.cell.orders import OrderOutcomes, StartOutcome
from galenastall.coordination.cell.placer import Placer
from galenastall.coordination.cell.reservation_plan import ReservationPlan
from galenastall.coordination.cell.run_ends import RunEnds
from galenastall.coordination.cell.run_moves import RunMoves
from galenastall.coordination.cell.stop_rules import StopRule
from galenastall.coordination.cell.stored_speeds import StoredSpeeds
from galenastall.coordination.cell.task_runs import StartState
from galenastall.coordination.cell.throttling import Throttling
from galenastall.coordination.cell.timings import CellTimings
from galenastall.coordination.cell.unresponsive import UnresponsiveExecutors
from galenastall.coordination.cell.wait_reasons import WaitReason
from galenastall.coordination.cell.waiting_report import WaitingReport
from galenastall.state.cell.executor_ids import executor_name
from galenastall.state.cell.jobs import CellJob, Queue
from galenastall.state.cell.phases import ENDED_PHASES, JobPhase
from galenastall.state.cell.rows import (
    PROGRESS_PREFIX,
    ProgressRow,
    Rows,
)
from galenastall.state.cell.workspaces import Workspace
from galenastall.state.resources import Resources

CLEANUP_INTERVAL_S: Final = 1.0
"""Interval between scans of all jobs; scanning a thousand of them takes half a millisecond."""


class CellScheduler:
    """All decisions of one term of leadership; `now` is trio's clock, `wall` is since 1970."""

    def __init__(
        self, *, timings: CellTimings, fenced_at: float, without: DisabledMechanisms = ALL_ON
    ) -> None:
        """Create the core of a leader whose fence has been in place since `fenced_at`."""
        self._state = CellState(timings=timings, fenced_at=fenced_at, without=without)
        self._advice = AdviceTable()
        self._doubts = ExecutorHealth(state=self._state)
        self._ends = RunEnds(state=self._state, health=self._doubts)
        self._listings = ListingReader(state=self._state, ends=self._ends)
        self._orders = OrderOutcomes(
            state=self._state, ends=self._ends, advice=self._advice, health=self._doubts
        )
        self.inherited_advice = InheritedAdvice(state=self._state, advice=self._advice)
        """Advice that earlier leaders requested."""
        self._placer = Placer(state=self._state, advice=self._advice)
        self._waiting = WaitingReport(
            state=self._state,
            advice=self._advice,
            observations=self._placer.observations,
            plan=self.plan,
        )
        crashes = CrashAttributor(state=self._state)
        self._incarnations = Incarnations(state=self._state, ends=self._ends, crashes=crashes)
        self._unresponsive = UnresponsiveExecutors(state=self._state)
        self._fleet = Fleet(
            state=self._state,
            ends=self._ends,
            crashes=crashes,
            incarnations=self._incarnations,
            unresponsive=self._unresponsive,
        )
        self._moves = RunMoves(state=self._state, ends=self._ends, health=self._doubts)
        self._throttling = Throttling(state=self._state)
        self.hosts = HostOperations(state=self._state, ends=self._ends)
        self._batches = Batches(
            state=self._state,
            ends=self._ends,
            advice=self._advice,
            hosts=self.hosts,
            unresponsive=self._unresponsive,
        )
        self._speeds = StoredSpeeds(state=self._state, batches=self._batches)
        self._rates = JobRates()
        self._recurring_jobs: set[str] = set()
        """Live jobs with a recurrence."""
        self._cleaned_up_at = float("-inf")

    @property
    def timings(self) -> CellTimings:
        """Timeouts and intervals of this leader."""
        return self._state.timings

    @property
    def fenced_at(self) -> float:
        """Leader's time from which no earlier leader can have extended a lease."""
        return self._state.fenced_at

    @property
    def executors_by_id(self) -> dict[str, Executor]:
        """Executors that are listed, or that may still run something."""
        return self._state.executors_by_id

    @property
    def executors_version(self) -> int:
        """Incremented whenever an executor is added to the table or removed from it."""
        return self._state.executors.version

    @property
    def jobs_by_id(self) -> dict[str, JobRun]:
        """Known jobs, including ended ones for as long as callers may query them."""
        return self._state.jobs_by_id

    @property
    def plan(self) -> ReservationPlan:
        """Capacity that the last decision reserved."""
        return self._placer.plan

    @property
    def waiting_by_reason(self) -> dict[WaitReason, int]:
        """Number of waiting steps by the reason why they did not start, as last reported."""
        return dict(self._waiting.steps_by_reason)

    @property
    def used_by_workspace(self) -> dict[str, Resources]:
        """Resources of all runs of each workspace that may still be running."""
        return dict(self._state.workspaces.used_by_name)

    @property
    def contention(self) -> ContentionRules:
        """Rules in force for workspaces that compete."""
        return self._state.contention

    @property
    def stopped_by_rule(self) -> dict[StopRule, int]:
        """Number of runs that this leader has stopped so far, by rule."""
        return dict(self._state.stopped_by_rule)

    @property
    def hosts_by_speed(self) -> dict[SpeedClass, int]:
        """Number of hosts by the class of their learned speed, all 0 while speeds are alike."""
        return self._state.speeds.count_by_class()

    def next_seq(self) -> int:
        """Return the next sequence number for messages that this leader sends and receives."""
        return self._state.next_seq()

    def on_fenced(self, *, now: float) -> None:
        """Note that the store has confirmed the fence: earlier leaders extend no more leases."""
        self._state.set_fenced(now)

    def restore(self, rows: Rows, *, wall: float) -> None:
        """Load the state from the rows in the store."""
        for key in rows.unreadable:
            cause = "a stored row can't be decoded"
            self._state.note("rows.unreadable", cause=cause, fields={"key": key})
        self._unresponsive.restore(rows.clock_ms, rows.unresponsive)
        for job_id, job in rows.jobs_by_id.items():
            run = JobRun(job=job)
            progress = rows.progress_by_id.get(job_id)
            if progress is None:
                run.is_durable = True
            else:
                run.restore(progress, wall=wall)
            self._state.jobs_by_id[job_id] = run
            self._fleet.adopt(run)
        for job_id, progress in rows.progress_by_id.items():
            if job_id not in self._state.jobs_by_id:
                self._restore_ended(job_id, progress)
        for run in sorted(self._state.jobs_by_id.values(), key=lambda each: each.job.submitted_at):
            if not run.has_ended:
                self._charge(run, run.job.submitted_at)
            self._open_due(run, wall)
        self.hosts.restore(rows)
        self._speeds.restore(rows.speeds, wall=wall)

    def _restore_ended(self, job_id: str, progress: ProgressRow) -> None:
        if progress.phase not in ENDED_PHASES:
            cause = f"a stored job is {progress.phase.value} and has no definition"
            self._state.note("rows.unreadable", cause=cause, fields={"key": job_id})
        queue = Queue(name=progress.queue_name, service="")
        ended = CellJob(
            job_id=job_id, queue=queue, payload="", steps=(), workspace=progress.workspace
        )
        run = JobRun(job=ended)
        run.restore(progress, wall=progress.ended_at)
        self._state.jobs_by_id[job_id] = run

    def set_queues(self, queues: Iterable[Queue]) -> None:
        """Apply the queues of a newer configuration."""
        self._state.queues_by_name = {queue.name: queue for queue in queues}

    def set_workspaces(self, workspaces: Iterable[Workspace]) -> None:
        """Apply the workspaces of a newer configuration; a lowered limit withholds starts."""
        for changed in self._state.workspaces.set_workspaces(workspaces):
            fields = {
                "weight": f"{changed.weight:g}",
                "cores_milli": str(changed.limit.cores_milli),
                "memory_mb": str(changed.limit.memory_mb),
                "accelerators": str(changed.limit.accelerators),
            }
            self._state.note("workspace.changed", changed.name, fields=fields)
        self._state.contention = contention_rules(self._state.workspaces.known, self._state.without)
        self._fleet.stop_unanswered_over_limits()

    def set_services(self, services: frozenset[str]) -> None:
        """Apply the services of a newer configuration; executors of other services are not used."""
        self._state.named_services = services

    def set_advice_calls_at_once(self, count: int) -> None:
        """Set how many advice calls can be pending at once: one for each entry host."""
        self._state.advice_calls_at_once = count

    def submit(self, job: CellJob, *, wall: float) -> JobRun:
        """Return the job of this id, adding it if it is new; it is durable with the next batch."""
        known = self._state.jobs_by_id.get(job.job_id)
        if known is not None:
            return known
        run = JobRun(job=job)
        self._state.jobs_by_id[job.job_id] = run
        self._charge(run, wall)
        self._open_due(run, wall)
        self._state.dirty_jobs.add(job.job_id)
        return run

    def _charge(self, run: JobRun, wall: float) -> None:
        name = run.job.workspace
        if not self._state.workspaces.is_known(name):
            return
        workspace = self._state.workspaces.find(name)
        run.is_within_rate = self._rates.is_within(workspace, wall=wall)
        if not run.is_within_rate:
            fields = {"workspace": name, "weight": f"{workspace.weight:g}"}
            self._state.note("job.beyond_rate", run.job.job_id, fields=fields)

    def withdraw(self, job_id: str) -> bool:
        """Forget a job that no batch has written yet; return False if it may be durable."""
        run = self._state.jobs_by_id.get(job_id)
        if run is None or run.is_durable or run.is_written:
            return False
        for task in run.assigned():
            step = run.find_step(task.key.step_key)
            if step is not None:
                self._state.free(task, step)
        self._state.drop_starts(job_id)
        self._advice.forget_job(job_id)
        del self._state.jobs_by_id[job_id]
        self._state.dirty_jobs.discard(job_id)
        return True

    def cancel(self, job_id: str, *, wall: float) -> JobRun | None:
        """Cancel a job; its runs are stopped once that is durable. None if the job is not known."""
        run = self._state.jobs_by_id.get(job_id)
        if run is not None and not run.has_ended:
            self._ends.end_job(run, JobPhase.CANCELLED, wall=wall, cause="a caller cancelled it")
        return run

    def pending_of(self, queue_name: str) -> int:
        """Return how many accepted jobs of a queue have no start that an executor has confirmed."""
        return sum(
            1
            for run in self._state.jobs_by_id.values()
            if run.is_durable
            and not run.has_ended
            and not run.has_started
            and run.queue.name == queue_name
        )

    def on_fleet(self, infos: Iterable[ExecutorInfo], *, now: float) -> None:
        """Apply the platform's list of executors."""
        self._fleet.update(infos, now=now)

    def on_listing(
        self, executor_id: str, listing: Listing, *, asked_seq: int, now: float, wall: float
    ) -> None:
        """Apply an executor's listing that was requested at `asked_seq`."""
        executor = self._state.executors_by_id.get(executor_id)
        if executor is None:
            return
        self._state.now = now
        executor.clock.observe(clock_ms=listing.clock_ms, received_at=now)
        self._incarnations.end_earlier(executor, listing, asked_seq=asked_seq, wall=wall)
        self._listings.read(executor, listing, asked_seq=asked_seq, now=now, wall=wall)
        self._throttling.on_listing(executor)
        self._unresponsive.on_answer(executor)

    def on_address_reused(self, executor_id: str, *, wall: float) -> None:
        """Note that an executor with another id answers at an executor's address."""
        cause = "another executor answers at its address"
        self._state.late_orders.drop_name(executor_name(executor_id))
        self._incarnations.end(executor_id, cause=cause, wall=wall)

    def on_restart(self, executor_id: str, later_id: str, *, now: float) -> None:
        """Note that a later incarnation has answered a call to an executor."""
        self._state.now = now
        self._incarnations.on_restart(executor_id, later_id)

    def on_start(
        self, order: StartOrder, outcome: StartOutcome, *, now: float, wall: float
    ) -> bool:
        """Apply a start's outcome; return whether to send the same order again."""
        return self._orders.on_start(order, outcome, now=now, wall=wall)

    def on_stop(self, order: StopOrder) -> None:
        """Apply an executor's answer to a stop order."""
        self._orders.on_stop(order)

    def on_throttle_confirmed(self, order: ThrottleOrder) -> None:
        """Apply an executor's confirmation of a throttle order."""
        self._throttling.on_throttle_confirmed(order)

    def on_advice(
        self,
        request: AdviceRequest,
        approved: tuple[Approval, ...],
        *,
        validity_s: float,
        now: float,
    ) -> None:
        """Apply the advisor's answer to a request."""
        if request.step.job in self._state.jobs_by_id:
            self._advice.answer(
                request.step,
                request.executor_ids,
                approved,
                validity_s=validity_s,
                now=now,
                queue_name=request.queue_name,
            )
            self._placer.note_answer(request.step)

    def on_advice_failed(self, request: AdviceRequest, *, now: float) -> None:
        """Note that an advice request failed."""
        if request.step.job in self._state.jobs_by_id:
            self._advice.fail(request.step, request.executor_ids, now)

    @property
    def late_orders(self) -> LateOrders:
        """Starts without an answer, which may still be carried out."""
        return self._state.late_orders

    def on_started_later(self, order: StartOrder, *, sent_at: float, now: float) -> None:
        """Note that a start was carried out whose executor has been replaced since it was sent."""
        self._orders.on_started_later(order, sent_at=sent_at, now=now)

    def is_assigned(self, order: StartOrder) -> bool:
        """Whether an order's run is still the task's current one, on the same executor."""
        return self._state.find_ordered(order) is not None

    def is_needed(self, order: StartOrder) -> bool:
        """Whether to still send an order: its run is neither given up nor known to have started."""
        task = self._state.find_ordered(order)
        if task is None or task.is_stopping:
            return False
        return task.state is not StartState.STARTED

    def decide(self, *, now: float, wall: float, may_place: bool = True) -> None:
        """Start due occurrences, expire leases, repeat stops, and place what fits.

        Nothing is placed while assignments can't be made durable (`may_place` is False).
        """
        self._state.now = now
        self._fleet.expire(now=now, wall=wall)
        self._speeds.refresh(now=now, wall=wall)
        self._open_all_due(wall)
        is_report_due = self._clean_up(now, wall)
        self._moves.decide(now=now)
        if may_place:
            self.hosts.decide(now=now, wall=wall)
        self._orders.order_stops(now)
        if may_place:
            self._placer.decide(now=now, wall=wall)
        else:
            self._placer.observations.hold()
        if is_report_due:
            self._report()

    def take_batch(self) -> Batch:
        """Return all changes since the last batch; none of them is durable before `commit`."""
        return self._batches.take()

    def commit(self, batch: Batch, *, wall: float) -> list[StartOrder]:
        """Note that a batch is durable; return the start orders that may be sent now."""
        return self._batches.commit(batch, wall=wall)

    def take_stops(self) -> list[StopOrder]:
        """Return the stop orders to send now."""
        stops, self._state.stops = self._state.stops, []
        return stops

    def take_throttle_orders(self) -> list[ThrottleOrder]:
        """Return the throttle orders to send now."""
        throttle_orders, self._state.throttle_orders = self._state.throttle_orders, []
        return throttle_orders

    def take_listing_requests(self) -> list[str]:
        """Return the executors whose listing is needed and has not been requested."""
        executors_by_id = self._state.executors_by_id
        wanted = sorted(
            executor_id
            for executor_id in self._state.wanted_listings
            if executor_id in executors_by_id and executors_by_id[executor_id].needs_listing
        )
        self._state.wanted_listings = set(wanted)
        return wanted

    def take_newly_polled(self) -> list[str]:
        """Return the executors that have to be polled continuously from now on."""
        polled, self._state.newly_polled = self._state.newly_polled, set()
        return sorted(polled)

    def take_advice_requests(self) -> list[AdviceRequest]:
        """Return the requests to the advisor."""
        asks, self._state.asks = self._state.asks, []
        return asks

    def take_notes(self) -> list[Note]:
        """Return the decisions to log."""
        notes, self._state.notes = self._state.notes, []
        return notes

    @property
    def has_changes(self) -> bool:
        """Whether a batch would contain anything."""
        return self._batches.has_changes

    def _open_all_due(self, wall: float) -> None:
        for job_id in list(self._recurring_jobs):
            run = self._state.jobs_by_id.get(job_id)
            if run is None or run.has_ended:
                self._recurring_jobs.discard(job_id)
            else:
                self._open_due(run, wall)

    def _open_due(self, run: JobRun, wall: float) -> None:
        if run.has_ended:
            return
        if run.job.recurrence is not None:
            self._recurring_jobs.add(run.job.job_id)
        if run.open_due(wall):
            self._state.dirty_jobs.add(run.job.job_id)
        self._state.refresh_waiting(run)

    def _report(self) -> None:
        """Log the cell's load, and why the last decision left steps waiting."""
        closed = closed_by_id(self._state)
        self._waiting.report(closed)
        not_looked_at = self._waiting.steps_by_reason[WaitReason.NOT_LOOKED_AT]
        report_load(
            self._state,
            self.plan,
            closed,
            advice_calls=self._advice.calls_under_way,
            not_looked_at=not_looked_at,
        )

    def _clean_up(self, now: float, wall: float) -> bool:
        """Drop ended jobs and tasks no longer needed, once a second; return whether it was due."""
        if now - self._cleaned_up_at < CLEANUP_INTERVAL_S:
            return False
        self._cleaned_up_at = now
        oldest = wall - self._state.timings.ended_kept_s
        for job_id, run in list(self._state.jobs_by_id.items()):
            if not run.has_ended or run.assigned():
                continue
            if run.ended_at < oldest:
                del self._state.jobs_by_id[job_id]
                self._batches.drop(PROGRESS_PREFIX + job_id)
            elif run.shown_phase is run.phase:
                run.forget_tasks()
        self._ends.samples.forget()
        return True
