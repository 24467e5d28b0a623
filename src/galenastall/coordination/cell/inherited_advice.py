"""Advice requested by earlier leaders that a new leader takes over.

Addresses this load: wide gangs wait for advice that takes a second a call, and the leader is lost.
Whether an executor is approved for a step never changes, and the hosts that made the calls still
hold the answers. A ticket is taken over only with the remaining validity that its host measured,
counted from before that host was queried.
"""

from collections.abc import Sequence

from galenastall.coordination.cell.advice import AdviceTable, Approval
from galenastall.coordination.cell.cell_state import CellState
from galenastall.coordination.cell.commands import AdviceRequest
from galenastall.state.cell.jobs import StepKey


class InheritedAdvice:
    """Adds answers to earlier leaders' calls to the tables."""

    def __init__(self, *, state: CellState, advice: AdviceTable) -> None:
        """Operate on these tables."""
        self._state = state
        self._advice = advice

    def wanted_steps(self) -> tuple[StepKey, ...]:
        """Return the waiting steps that need advice."""
        return tuple(
            step for step in self._state.waiting_steps if self._request(step, ()) is not None
        )

    def adopt(
        self,
        step: StepKey,
        executor_ids: Sequence[str],
        approved: tuple[Approval, ...],
        *,
        good_until: float,
    ) -> bool:
        """Add an answer with tickets valid until `good_until`; False if its step does not wait."""
        request = self._request(step, tuple(executor_ids))
        if request is None:
            return False
        self._advice.adopt(
            step, executor_ids, approved, good_until=good_until, queue_name=request.queue_name
        )
        return True

    def begin(
        self, step: StepKey, executor_ids: Sequence[str], *, now: float
    ) -> AdviceRequest | None:
        """Count a pending call, so that it is not repeated; None if its step does not wait."""
        request = self._request(step, tuple(executor_ids))
        if request is not None:
            self._advice.begin(step, executor_ids, now)
        return request

    def _request(self, step: StepKey, executor_ids: tuple[str, ...]) -> AdviceRequest | None:
        """Return the request for a waiting step that needs advice; None for other steps."""
        job = self._state.jobs_by_id.get(step.job)
        if job is None or step not in self._state.waiting_steps:
            return None
        queue = self._state.queue_of(job)
        if queue.advisor is None:
            return None
        return AdviceRequest(
            step=step,
            executor_ids=executor_ids,
            timing=queue.advisor,
            queue_name=queue.name,
            is_urgent=queue.priority == 0,
        )
