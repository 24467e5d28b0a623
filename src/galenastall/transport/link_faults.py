"""Faults that bench and tests put into a peer link, and the counters of what crossed it."""

from dataclasses import dataclass, field

from galenastall.state.ids import HostId


@dataclass(kw_only=True, slots=True)
class LinkFaults:
    """Faults on the way out of a process; change them while it runs."""

    delay_s_by_peer: dict[HostId, float] = field(default_factory=dict)
    """One-way delay in seconds of what is sent to a peer."""
    cut: set[HostId] = field(default_factory=set)
    """Peers to which nothing goes and from which nothing is taken; known at the sender."""
    lossy: set[HostId] = field(default_factory=set)
    """Peers to which everything sent is lost without a sign."""


@dataclass(kw_only=True, slots=True)
class LinkCounters:
    """Messages and their bytes (without TCP's own) to and from one peer."""

    messages_out: int = 0
    bytes_out: int = 0
    messages_in: int = 0
    bytes_in: int = 0

    def add(self, other: "LinkCounters") -> None:
        """Add another's counts to these."""
        self.messages_out += other.messages_out
        self.bytes_out += other.bytes_out
        self.messages_in += other.messages_in
        self.bytes_in += other.bytes_in


@dataclass(kw_only=True, slots=True)
class DroppedCounters:
    """Messages that were taken in and not used."""

    late_answers: int = 0
    """Answers whose call had given up."""
    forged: int = 0
    """Messages that claimed a host id other than the one of their key."""
    malformed: int = 0
    """Frames that are no message of ours."""
    misdirected: int = 0
    """Messages meant for a host that had this address before."""
    overloaded: int = 0
    """Messages that came while too many were being handled."""
    unsent_answers: int = 0
    """Answers whose asker was gone or whose queue was full."""
    expired: int = 0
    """One-way messages whose peer did not connect in time."""
