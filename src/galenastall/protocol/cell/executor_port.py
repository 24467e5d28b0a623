"""What the leader says to executors and hears from them."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from returns.result import Result

from galenastall.coordination.cell.commands import PaceOrder, StartOrder, StopOrder
from galenastall.coordination.cell.listings import Listing
from galenastall.state.errors import StepError


class StartVerdict(StrEnum):
    """What an executor did with a start."""

    STARTED = "started"
    """The run is there, from this order or an earlier one."""
    OLD_RUN = "old_run"
    """This run, or a later one, has been stopped or has ended there."""
    NO_ROOM = "no_room"
    TOO_LATE = "too_late"
    """The named deadline had passed."""
    NO_TICKET = "no_ticket"
    """The advisor's ticket is missing, of another step or has expired."""
    UNHEALTHY = "unhealthy"
    """It did nothing and may recover."""
    FENCED = "fenced"
    """Another leader has shown it a higher token."""
    OTHER_EXECUTOR = "other_executor"
    """An executor of another name answers at this address."""
    MALFORMED = "malformed"
    """It could not read the order: a defect of ours."""


@dataclass(frozen=True, kw_only=True, slots=True)
class OrderAnswer:
    """An executor's answer to a start or a stop."""

    verdict: StartVerdict
    clock_ms: int | None
    """Its clock, if the answer carried it."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ListingAnswer:
    """An executor's answer to a request for its listing."""

    verdict: StartVerdict
    executor_id: str
    """Who answered: the one that was meant, or another incarnation of it."""
    listing: Listing | None
    """None unless the verdict is STARTED, which here says that it obeyed."""


class ExecutorPort(Protocol):
    """Calls to executors; a Failure says whether the call may have taken effect."""

    async def start(
        self, *, address: str, order: StartOrder, deadline_ms: int, token: int, timeout_s: float
    ) -> Result[OrderAnswer, StepError]:
        """Start a run; idempotent for one run number."""

    async def stop(
        self, *, address: str, order: StopOrder, token: int, timeout_s: float
    ) -> Result[OrderAnswer, StepError]:
        """Stop a run, and have it rejected if it comes later."""

    async def throttle(
        self, *, address: str, order: PaceOrder, token: int, timeout_s: float
    ) -> Result[OrderAnswer, StepError]:
        """Let a run work at a share of its speed; idempotent."""

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
        """Renew the lease, acknowledge ends up to `noted`, and list what runs and has ended.

        Waits up to `wait_s` for an end. With `deadline_ms` None the lease stays as it is.
        """
