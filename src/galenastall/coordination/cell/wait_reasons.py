"""Why a decision did not start a waiting step; pure, from what the decision has at hand."""

from collections.abc import Mapping
from enum import StrEnum
from typing import Final

from galenastall.coordination.cell.advice import TICKET_MARGIN_S, StepAdvice
from galenastall.coordination.cell.executors import Executor
from galenastall.coordination.cell.reservation_plan import PlannedStart, ReservationPlan
from galenastall.coordination.cell.wait_queue import WaitingStep

SOON_S: Final = 1.5
"""Room that is planned nearer than this is awaited with the tickets that a step has."""


class WaitReason(StrEnum):
    """What keeps a waiting step from starting."""

    STORE_AWAY = "store_away"
    """Nothing is placed while appends fail."""
    NOT_LOOKED_AT = "not_looked_at"
    """It is beyond the steps that one decision looks at."""
    NONE_OPEN = "none_open"
    """No executor of its service and label takes new work."""
    QUOTA_UNKNOWN = "quota_unknown"
    """The leader has read no configuration yet, which names the limits of workspaces."""
    QUOTA_USED = "quota_used"
    """Its workspace may start nothing more, or not all of its gang, until runs of it end."""
    OVER_QUOTA = "over_quota"
    """A task of it, or its gang, is more than its workspace may ever have at once."""
    LAST_RUN_ENDING = "last_run_ending"
    """Members of its gang's last run have not ended."""
    REFUSED = "refused"
    """Executors have refused its tasks one after the other; it is tried again after a pause."""
    ON_PROBATION = "on_probation"
    """An executor crashed under a task of it, which begins apart from others; few may at a time."""
    NOT_PLANNED = "not_planned"
    """It is beyond the gangs for which one decision plans, so its tickets are not renewed."""
    ADVICE_ASKED = "advice_asked"
    """A call is under way, and no executor is approved yet."""
    TICKETS_ASKED = "tickets_asked"
    """A call is under way for tickets of executors that are approved, or for more executors."""
    ADVICE_FAILED = "advice_failed"
    """A call has just failed."""
    NO_HOST = "no_host"
    """It lacks tickets, and all hosts that could ask the advisor have calls under way."""
    NONE_APPROVED = "none_approved"
    """The advisor was asked about all open executors and approves of none."""
    APPROVED_CLOSED = "approved_closed"
    """The approved executors that it needs take no new work."""
    TOO_FEW_APPROVED = "too_few_approved"
    """Its executors could not hold it if they were all open and empty."""
    TICKETS_OUT = "tickets_out"
    """There is room, without good tickets, and no call is under way."""
    ROOM_KEPT = "room_kept"
    """There is room that is kept for others."""
    ROOM_SOON = "room_soon"
    """Its room is planned for a moment that is near; if this stays, others take it each time."""
    ROOM_LATER = "room_later"
    """Other runs have the room, and give it back within the horizon of the plan."""
    PLANNED_FOR_OTHERS = "planned_for_others"
    """Beside what is planned for others on its executors not enough comes free."""
    NO_ROOM_AHEAD = "no_room_ahead"
    """Not enough of its executors' room comes free within the horizon of the plan."""
    NO_ROOM = "no_room"
    """No executor on which a task may start now holds one more."""


def why_not_singles(
    waiting: WaitingStep,
    usable: Mapping[str, Executor],
    plan: ReservationPlan,
    *,
    can_request: bool,
) -> WaitReason:
    """Return why some tasks that start one by one did not; call it once the advisor was asked."""
    if not usable:
        return WaitReason.NONE_OPEN
    if plan.withheld > 0:
        return WaitReason.ROOM_KEPT
    advice = waiting.advice
    if advice is None:
        return WaitReason.NO_ROOM
    return _why_no_tickets(waiting, advice, usable, can_request=can_request) or WaitReason.NO_ROOM


def why_not_gang(
    waiting: WaitingStep,
    usable: Mapping[str, Executor],
    plan: ReservationPlan,
    planned: PlannedStart | None,
    *,
    may_plan: bool,
    can_request: bool,
) -> WaitReason:
    """Return why a gang did not start; call it once it was planned and the advisor was asked."""
    if not usable:
        return WaitReason.NONE_OPEN
    if plan.withheld > 0 and plan.withheld >= plan.missing_slots:
        return WaitReason.ROOM_KEPT
    if planned is not None and planned.at > waiting.now:
        is_soon = planned.at <= waiting.now + SOON_S
        return WaitReason.ROOM_SOON if is_soon else WaitReason.ROOM_LATER
    advice = waiting.advice
    if advice is None:
        return WaitReason.NO_ROOM_AHEAD if may_plan else WaitReason.NO_ROOM
    why = _why_no_tickets(waiting, advice, usable, can_request=can_request)
    if why is WaitReason.NO_HOST and not may_plan and advice.tickets_by_executor:
        # Beyond the plan no call would renew its tickets, however many hosts were free.
        return WaitReason.NOT_PLANNED
    if why is not None:
        return why
    if planned is not None:
        return WaitReason.TICKETS_OUT
    return WaitReason.NO_ROOM_AHEAD if may_plan else WaitReason.NOT_PLANNED


def _why_no_tickets(
    waiting: WaitingStep, advice: StepAdvice, usable: Mapping[str, Executor], *, can_request: bool
) -> WaitReason | None:
    """Return what keeps tickets from coming; None if the advisor has said what it can."""
    if waiting.now < advice.not_before:
        return WaitReason.ADVICE_FAILED
    tickets = advice.tickets_by_executor
    if advice.is_request_pending(waiting.now):
        return WaitReason.TICKETS_ASKED if tickets else WaitReason.ADVICE_ASKED
    if not can_request and _lacks_any(waiting, advice, usable):
        return WaitReason.NO_HOST
    if not tickets:
        return WaitReason.NONE_APPROVED
    if not any(executor_id in usable for executor_id in tickets):
        return WaitReason.APPROVED_CLOSED
    return None


def _lacks_any(waiting: WaitingStep, advice: StepAdvice, usable: Mapping[str, Executor]) -> bool:
    """Whether an open executor was never asked about, or a ticket has run out."""
    if not usable.keys() <= advice.asked:
        return True
    good_until = advice.good_until_by_executor
    if len(good_until) < len(advice.tickets_by_executor):
        return True
    return min(good_until.values(), default=0.0) < waiting.now + TICKET_MARGIN_S
