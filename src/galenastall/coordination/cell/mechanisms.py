"""Parts of the policy that can be switched off one by one, to measure what each is worth."""

from enum import StrEnum


class Mechanism(StrEnum):
    """A part of the policy; all are on unless a measurement switches one off."""

    RESERVATIONS = "reservations"
    """Room kept for pressing steps while a decision is taken."""
    HOLDS = "holds"
    """Room kept for a step while its tickets are renewed."""
    DOUBTS = "doubts"
    """Pauses of executors on which runs fail, stand still or crawl."""
    MOVES = "moves"
    """Stopping runs that crawl or stand still, to start them elsewhere."""
    PATH_DOUBTS = "path-doubts"
    """Nothing new where a start got no answer."""
    URGENT_FIRST = "urgent-first"
    """Urgent queues before others."""
    LATE_LAST = "late-last"
    """What can't meet its objective any more after what can."""


Without = frozenset[Mechanism]
"""Mechanisms that are switched off."""
ALL_ON: Without = frozenset()
