"""Why a decision did not start a waiting step; pure functions of the decision's data."""

from collections.abc import Mapping
from enum import StrEnum
from typing import Final

from galenastall.coordination.cell.advice import TICKET_MARGIN_S, StepAdvice
from galenastall.coordination.cell.executors import Executor
from galenastall.coordination.cell.reservation_plan import PlannedStart, ReservationPlan
from galenastall.coordination.cell.wait_queue import WaitingStep

SOON_S: Final = 1.5
"""Capacity planned sooner than this is awaited with the tickets that a step has."""


class WaitReason(StrEnum):
    """Reason why a waiting step has not started."""

    STORE_AWAY = "store_away"
    """Nothing is placed while appends to the store fail."""
    NOT_LOOKED_AT = "not_looked_at"
    """It is beyond the steps that one decision considers."""
    NONE_OPEN = "none_open"
    """No executor with its service and label accepts new work."""
    QUOTA_UNKNOWN = "quota_unknown"
    """The leader has not yet read a configuration, which sets the limits of workspaces."""
    QUOTA_USED = "quota_used"
    """Its workspace may start nothing more, or not all of its gang, until some of its runs end."""
    OVER_QUOTA = "over_quota"
    """One of its tasks, or its gang, exceeds the limit of its workspace."""
    LAST_RUN_ENDING = "last_run_ending"
    """Members of its gang's last run have not ended."""
    REFUSED = "refused"
    """Executors have repeatedly refused its tasks; it is retried after a pause."""
    START_UNANSWERED = "start_unanswered"
    """A start of one of its tasks got no answer, and an executor may still carry it out."""
    ON_PROBATION = "on_probation"
    """An executor crashed under one of its tasks, which must run in isolation; few may at a
    time."""
    NOT_PLANNED = "not_planned"
    """It is beyond the gangs that one decision plans, so its tickets are not renewed."""
    ADVICE_ASKED = "advice_asked"
    """An advice call is pending, and no executor is approved yet."""
    TICKETS_ASKED = "tickets_asked"
    """An advice call is pending for tickets of approved executors, or for more executors."""
    ADVICE_FAILED = "advice_failed"
    """An advice call has just failed."""
    NO_HOST = "no_host"
    """It lacks tickets, and all hosts that could call the advisor have calls pending."""
    NONE_APPROVED = "none_approved"
    """The advisor was asked about all open executors and approves none."""
    APPROVED_CLOSED = "approved_closed"
    """The approved executors that it needs accept no new work."""
    TOO_FEW_APPROVED = "too_few_approved"
    """Its executors could not hold it even if they were all open and empty."""
    TICKETS_OUT = "tickets_out"
    """There is capacity, but no valid tickets, and no advice call is pending."""
    ROOM_KEPT = "room_kept"
    """There is capacity, but it is reserved for others."""
    KEPT_FOR_URGENT = "kept_for_urgent"
    """There is capacity, but it is kept for urgent work."""
    ROOM_SOON = "room_soon"
    """Its start is planned for the near future; if this persists, others take its capacity each
    time."""
    ROOM_LATER = "room_later"
    """Other runs hold the capacity, and release it within the planning horizon."""
    PLANNED_FOR_OTHERS = "planned_for_others"
    """Not enough of its executors' capacity becomes free beside the reservations of others."""
    NO_ROOM_AHEAD = "no_room_ahead"
    """Not enough of its executors' capacity becomes free within the planning horizon."""
    NO_ROOM = "no_room"
    """No executor on which a task may start now can hold one more."""


def why_not_singles(
    waiting: WaitingStep,
    usable: Mapping[str, Executor],
    plan: ReservationPlan,
    *,
    can_request: bool,
) -> WaitReason:
    """Return why some single tasks did not start; call it after advice was requested."""
    if not usable:
        return WaitReason.NONE_OPEN
    if plan.withheld > 0:
        return WaitReason.ROOM_KEPT
    if plan.withheld_for_urgent > 0:
        return WaitReason.KEPT_FOR_URGENT
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
    """Return why a gang did not start; call it after planning it and requesting advice."""
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
        # A gang that is not planned gets no renewed tickets, even if hosts are free.
        return WaitReason.NOT_PLANNED
    if why is not None:
        return why
    if planned is not None:
        return WaitReason.TICKETS_OUT
    return WaitReason.NO_ROOM_AHEAD if may_plan else WaitReason.NOT_PLANNED


def _why_no_tickets(
    waiting: WaitingStep, advice: StepAdvice, usable: Mapping[str, Executor], *, can_request: bool
) -> WaitReason | None:
    """Return why tickets are missing; None if the advisor has answered all that it can."""
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
    """Whether the advisor was never asked about an open executor, or a ticket has expired."""
    if not usable.keys() <= advice.asked:
        return True
    good_until = advice.good_until_by_executor
    if len(good_until) < len(advice.tickets_by_executor):
        return True
    return min(good_until.values(), default=0.0) < waiting.now + TICKET_MARGIN_S
