"""Interface through which the leader calls executors."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from returns.result import Result

from galenastall.coordination.cell.commands import StartOrder, StopOrder, ThrottleOrder
from galenastall.coordination.cell.listings import Listing
from galenastall.state.errors import StepError


class StartVerdict(StrEnum):
    """Result of a start order at an executor."""

    STARTED = "started"
    """The run exists, from this order or an earlier one."""
    OLD_RUN = "old_run"
    """This run, or a later one, was stopped or has ended on the executor."""
    NO_ROOM = "no_room"
    TOO_LATE = "too_late"
    """The deadline of the order had passed."""
    NO_TICKET = "no_ticket"
    """The advisor's ticket is missing, belongs to another step or has expired."""
    UNHEALTHY = "unhealthy"
    """The executor did nothing, and may recover."""
    FENCED = "fenced"
    """Another leader has presented a higher token."""
    OTHER_EXECUTOR = "other_executor"
    """An executor of another name answered at this address."""
    MALFORMED = "malformed"
    """The order could not be parsed: a defect on our side."""


@dataclass(frozen=True, kw_only=True, slots=True)
class OrderAnswer:
    """An executor's answer to a start or a stop."""

    verdict: StartVerdict
    clock_ms: int | None
    """The executor's clock, if the answer contained it."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ListingAnswer:
    """An executor's answer to a request for its listing."""

    verdict: StartVerdict
    executor_id: str
    """The executor that answered: the intended one, or another incarnation of it."""
    listing: Listing | None
    """None unless the verdict is STARTED, which here means that the request was carried out."""


class ExecutorPort(Protocol):
    """Calls to executors; a Failure states whether the call may have taken effect."""

    async def start(
        self, *, address: str, order: StartOrder, deadline_ms: int, token: int, timeout_s: float
    ) -> Result[OrderAnswer, StepError]:
        """Start a run; idempotent for one run number."""

    async def stop(
        self, *, address: str, order: StopOrder, token: int, timeout_s: float
    ) -> Result[OrderAnswer, StepError]:
        """Stop a run, and reject its start if that arrives later."""

    async def throttle(
        self, *, address: str, order: ThrottleOrder, token: int, timeout_s: float
    ) -> Result[OrderAnswer, StepError]:
        """Limit a run to a share of its full speed; idempotent."""

    async def renew(
        self,
        *,
        address: str,
        executor_id: str,
        deadline_ms: int | None,
        noted: int,
        wait_s: float,
        token: int,
        timeout_s: float,
    ) -> Result[ListingAnswer, StepError]:
        """Renew the lease, acknowledge ends up to `noted`, and list running and ended runs.

        Waits up to `wait_s` for a run to end. With `deadline_ms` None the lease is unchanged.
        """
