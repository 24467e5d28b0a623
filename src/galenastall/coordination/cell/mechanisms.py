"""Parts of the policy that can be switched off one by one, to measure what each is worth."""

from enum import StrEnum


class Mechanism(StrEnum):
    """A part of the policy; all are on unless a measurement switches one off."""

    RESERVATIONS = "reservations"
    """Room kept for pressing steps while a decision is taken."""
    KEPT_ROOM_LAST = "kept-room-last"
    """Other room first for work that may have room kept by the decision before."""
    ADVICE_AT_ONCE = "advice-at-once"
    """Several calls for advice at once about a gang, through several hosts."""
    KEPT_ADVICE = "kept-advice"
    """What hosts were told by the advisor for an earlier leader, taken over by the next one."""
    DOUBTS = "doubts"
    """Pauses of executors on which runs fail, stand still or crawl."""
    PROBATION = "probation"
    """Tasks under which an executor has crashed begin apart from others."""
    MOVES = "moves"
    """Stopping runs that crawl or stand still, to start them elsewhere."""
    PATH_DOUBTS = "path-doubts"
    """Nothing new where a start got no answer."""
    URGENT_FIRST = "urgent-first"
    """Urgent queues before others."""
    LATE_LAST = "late-last"
    """What is past its objective after what is not."""


DisabledMechanisms = frozenset[Mechanism]
"""Mechanisms that are switched off."""
ALL_ON: DisabledMechanisms = frozenset()
