"""Applies the decision on admission to the leader's tables, between two scheduling decisions."""

from collections import Counter
from typing import Final

from galenastall.coordination.cell.backlog import Backlog, WaitingWork
from galenastall.coordination.cell.booked_returns import BookedReturns, ReturnRank
from galenastall.coordination.cell.cell_state import CellState
from galenastall.coordination.cell.executors import Executor
from galenastall.coordination.cell.job_admission import (
    JobKind,
    LoadRefusal,
    NewJob,
    decide,
    describe,
)
from galenastall.coordination.cell.job_runs import JobRun
from galenastall.coordination.cell.placer import Placer
from galenastall.coordination.cell.wait_queue import URGENT_PRIORITY, WaitingStep
from galenastall.state.cell.jobs import CellJob
from galenastall.state.resources import NOTHING, Resources

UNKNOWN_WORKSPACE: Final = "unknown"
"""Label of refusals for workspaces that no configuration has named."""


class LoadAdmission:
    """Knows the backlog as the last decision left it, and what was refused because of it."""

    def __init__(self, *, state: CellState, placer: Placer) -> None:
        """Read these tables."""
        self._state = state
        self._placer = placer
        self._returns = BookedReturns()
        self._backlogs_by_service: dict[str, Backlog] = {}
        self._refusing: set[JobKind] = set()
        """Kinds of jobs of which the last one was refused."""
        self.refused_by_reason: Counter[tuple[str, str]] = Counter()
        """Number of jobs that this leader has refused, by reason and workspace."""

    def after_decision(self, *, now: float) -> None:
        """Forget the backlog before a decision, and measure how fast capacity is released."""
        self._backlogs_by_service.clear()
        if not self._placer.waiting_in_order:
            self._refusing.clear()
        used_by_service: dict[str, Resources] = {}
        for executor in self._state.executors_by_id.values():
            service = executor.info.service
            if self._state.turnover_of(service).is_due(now):
                used = executor.info.capacity - executor.free
                used_by_service[service] = used_by_service.get(service, NOTHING) + used
        for service, used in used_by_service.items():
            self._state.turnover_of(service).measure(now=now, used=used)

    def consider(
        self, job: CellJob, *, is_within_rate: bool, now: float, wall: float
    ) -> LoadRefusal | None:
        """Return why a job that is not stored is refused; None to accept it."""
        if not self._placer.waiting_in_order or not _is_refusable(job):
            return None
        run = JobRun(job=job)
        run.is_within_rate = is_within_rate
        run.open_due(wall)
        steps = self._placer.describe_new(run, now=now, wall=wall)
        key = min(step.order_key(self._state.without) for step in steps)
        candidate = describe(steps, key, wall=wall)
        backlog = self._backlog(steps[0].queue.service)
        refusal = decide(candidate, backlog, is_refusing=candidate.kind in self._refusing)
        if refusal is None or self._may_start_now(steps, backlog, candidate):
            self._refusing.discard(candidate.kind)
            return None
        self._refusing.add(candidate.kind)
        return refusal

    def note_refusal(self, job: CellJob, refusal: LoadRefusal, *, now: float) -> int:
        """Log and count a refusal; return after how many seconds its caller may return."""
        new, total = refusal.job, self._backlog(job.queue.service).total
        rank = ReturnRank(
            is_within_rate=new.kind.is_within_rate, is_urgent=job.queue.priority == URGENT_PRIORITY
        )
        retry_after_s = self._returns.book(
            now=now,
            free_in_s=refusal.free_in_s,
            share=new.need.dominant_share(total),
            per_s=refusal.turnover_per_s,
            rank=rank,
        )
        is_known = self._state.workspaces.is_known(job.workspace)
        workspace = job.workspace if is_known else UNKNOWN_WORKSPACE
        self.refused_by_reason[(refusal.reason, workspace)] += 1
        fields = {
            "reason": refusal.reason,
            "queue": job.queue.name,
            "workspace": job.workspace,
            "wait_s": f"{refusal.wait_s:.2f}",
            "may_wait_s": f"{new.may_wait_s:.2f}",
            "share_ahead": f"{refusal.share_ahead:.2f}",
            "turnover_per_s": f"{refusal.turnover_per_s:.3f}",
            "retry_after_s": str(retry_after_s),
        }
        self._state.note("job.overloaded", job.job_id, cause=refusal.cause, fields=fields)
        return retry_after_s

    def _backlog(self, service: str) -> Backlog:
        """Return the backlog of a service, built once a decision."""
        known = self._backlogs_by_service.get(service)
        if known is None:
            known = self._backlogs_by_service[service] = self._build(service)
        return known

    def _build(self, service: str) -> Backlog:
        executors = self._executors(service)
        return Backlog.build(
            (
                WaitingWork(
                    key=each.order_key(self._state.without),
                    need=each.step.step.need,
                    count=len(each.step.waiting()),
                )
                for each in self._placer.waiting_in_order
                if each.queue.service == service and not each.step.step.label
            ),
            free=sum((each.free for each in executors), NOTHING),
            total=sum((each.info.capacity for each in executors), NOTHING),
            turnover_per_s=self._state.turnover_of(service).per_s,
        )

    def _executors(self, service: str) -> list[Executor]:
        return [each for each in self._placer.open_executors if each.info.service == service]

    def _may_start_now(self, steps: list[WaitingStep], backlog: Backlog, new: NewJob) -> bool:
        """Whether all its first steps fit beside the smaller tasks ahead of it, which also may."""
        executors = self._executors(steps[0].queue.service)
        return all(self._fits(step, executors, backlog, new) for step in steps)

    def _fits(
        self, waiting: WaitingStep, executors: list[Executor], backlog: Backlog, new: NewJob
    ) -> bool:
        step = waiting.step.step
        competing = backlog.competing(new.key, step.need)
        wanted = step.count + sum(work.count for work in competing)
        found = 0
        for executor in executors:
            found += self._placer.plan.startable_count(executor, step, wanted - found)
            if found >= wanted:
                return True
        return False


def _is_refusable(job: CellJob) -> bool:
    """Whether the backlog may refuse a job: neither recurring nor lasting, nor bound to a label."""
    if job.recurrence is not None:
        return False
    return not any(step.is_long_running or step.label for step in job.steps)
