"""Scheduling mechanisms that can be switched off one by one, to measure what each contributes."""

from enum import StrEnum


class Mechanism(StrEnum):
    """A scheduling mechanism; all are on unless a measurement switches one off."""

    RESERVATIONS = "reservations"
    """Reservation of capacity for blocked steps within a decision."""
    KEPT_ROOM_LAST = "kept-room-last"
    """Work that may use capacity reserved by the previous decision prefers other capacity."""
    ADVICE_AT_ONCE = "advice-at-once"
    """Several concurrent advice calls for a gang, through several hosts."""
    KEPT_ADVICE = "kept-advice"
    """Advice that hosts obtained for an earlier leader is taken over by the next one."""
    DOUBTS = "doubts"
    """Pauses for executors on which runs fail, stall or progress slowly."""
    PROBATION = "probation"
    """Isolated starts for tasks under which an executor has crashed."""
    MOVES = "moves"
    """Stopping stalled or slow runs to restart them elsewhere."""
    PATH_DOUBTS = "path-doubts"
    """No new work where a start got no answer."""
    URGENT_FIRST = "urgent-first"
    """Urgent queues before others."""
    LATE_LAST = "late-last"
    """Work past its objective after work that is not."""
    URGENT_CAPACITY = "urgent-capacity"
    """Capacity for urgent work that other work does not take, or gives up."""
    SPEEDS = "speeds"
    """Learned speeds of executors in forecasts and in the choice of executors."""


DisabledMechanisms = frozenset[Mechanism]
"""Mechanisms that are switched off."""
ALL_ON: DisabledMechanisms = frozenset()
