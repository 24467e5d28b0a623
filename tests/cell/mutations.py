"""Mutations that disable one rule of the leader each, to show that the checks detect it."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

from galenastall.coordination.cell import listings
from galenastall.coordination.cell.commands import Batch, StartOrder
from galenastall.coordination.cell.election import Election, ElectionAction
from galenastall.coordination.cell.incarnations import Incarnations
from galenastall.coordination.cell.lease_clock import LeaseClock
from galenastall.coordination.cell.orders import OrderOutcomes, StartOutcome
from galenastall.coordination.cell.scheduler import CellScheduler
from galenastall.coordination.cell.task_runs import TaskRun
from galenastall.node.cell.commit_loop import CommitLoop
from galenastall.node.cell.term_context import TOKENS_PER_TERM, TermContext
from galenastall.state.cell.phases import RunEnd

Mutation = Callable[[], Any]
MUTATIONS: dict[str, Mutation] = {}


def mutation(begin: Mutation) -> Mutation:
    """Register a mutation under its name, as a context manager."""
    MUTATIONS[begin.__name__] = contextmanager(begin)
    return begin


@contextmanager
def replaced(owner: Any, name: str, value: Any) -> Iterator[Any]:
    """Replace an attribute within the context, which yields the original."""
    original = owner.__dict__[name]
    setattr(owner, name, value)
    try:
        yield original
    finally:
        setattr(owner, name, original)


@mutation
def starts_leave_before_they_are_durable() -> Iterator[None]:
    async def commit(self: CommitLoop) -> list[StartOrder]:
        context = self._context
        batch: Batch = context.core.take_batch()
        starts = context.core.commit(batch, wall=context.wall())
        self._sequence += 1
        values = batch.values_by_key or {"confirm": b""}
        self._send_early(starts)  # type: ignore[attr-defined]
        await self._append(values)
        context.notify_committed()
        return []

    async def run(self: CommitLoop, send: Callable[[list[StartOrder]], None]) -> None:
        self._send_early = send  # type: ignore[attr-defined]
        await original_run(self, send)

    with replaced(CommitLoop, "commit", commit), replaced(CommitLoop, "run", run) as original_run:
        yield


@mutation
def who_does_not_answer_counts_as_lapsed_at_once() -> Iterator[None]:
    with replaced(LeaseClock, "has_lapsed", lambda self, now: True):
        yield


@mutation
def an_unanswered_start_counts_as_not_started() -> Iterator[None]:
    def on_start(
        self: OrderOutcomes, order: StartOrder, outcome: StartOutcome, *, now: float, wall: float
    ) -> bool:
        if outcome is StartOutcome.UNKNOWN:
            self._ends.apply(order.task, order.run, RunEnd.NEVER_STARTED, wall=wall)
            return False
        return bool(original(self, order, outcome, now=now, wall=wall))

    with replaced(OrderOutcomes, "on_start", on_start) as original:
        yield


@mutation
def any_listing_that_lacks_a_run_ends_it() -> Iterator[None]:
    def is_settled(task: TaskRun, asked_seq: int) -> bool:
        return True

    with replaced(listings, "_proves_ended", is_settled):
        yield


@mutation
def ends_are_acknowledged_before_they_are_durable() -> Iterator[None]:
    def on_listing(self: CellScheduler, executor_id: str, *args: Any, **options: Any) -> None:
        original(self, executor_id, *args, **options)
        executor = self.executors_by_id.get(executor_id)
        if executor is not None:
            executor.durable_position = executor.applied_position

    with replaced(CellScheduler, "on_listing", on_listing) as original:
        yield


@mutation
def a_job_is_acknowledged_before_it_is_durable() -> Iterator[None]:
    def submit(self: CellScheduler, job: Any, *, wall: float) -> Any:
        run = original(self, job, wall=wall)
        run.is_durable = True
        return run

    with replaced(CellScheduler, "submit", submit) as original:
        yield


@contextmanager
def incarnations_are_shown_one_token() -> Iterator[None]:
    """Send a restarted executor the same token as before its restart."""

    def raise_token(self: TermContext, executor_id: str) -> int:
        return self.token * TOKENS_PER_TERM

    with replaced(TermContext, "raise_token", raise_token):
        yield


@contextmanager
def runs_are_not_transferred() -> Iterator[None]:
    """Treat all runs of an ended incarnation as lost."""
    with replaced(Incarnations, "_transfer_runs", lambda self, earlier, later, listing: None):
        yield


@contextmanager
def leases_reach_beyond_the_confirmation() -> Iterator[None]:
    """Renew leases while the executor answers, even if the store does not confirm the leader."""

    def deadline_ms(self: LeaseClock, *, confirmed_at: float, now: float) -> int | None:
        return original(self, confirmed_at=now, now=now)  # type: ignore[no-any-return]

    with replaced(LeaseClock, "deadline_ms", deadline_ms) as original:
        yield


@contextmanager
def standbys_claim_without_reading() -> Iterator[None]:
    """Claim as soon as the leader is unresponsive; this costs terms and must break nothing."""

    def next_action(self: Election, now: float) -> ElectionAction:
        has_recent_heartbeat = self.has_recent_heartbeat(now)
        return (
            ElectionAction.WAIT
            if has_recent_heartbeat or now < self._not_before
            else ElectionAction.CLAIM
        )

    with replaced(Election, "next_action", next_action):
        yield
