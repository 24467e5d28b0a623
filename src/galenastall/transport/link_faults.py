"""Faults that benchmarks and tests inject into a peer link, and its traffic counters."""

from dataclasses import dataclass, field

from galenastall.state.ids import HostId


@dataclass(kw_only=True, slots=True)
class LinkFaults:
    """Faults on the outbound path of a process; may be changed while it runs."""

    delay_s_by_peer: dict[HostId, float] = field(default_factory=dict)
    """One-way delay in seconds of messages sent to a peer."""
    cut: set[HostId] = field(default_factory=set)
    """Peers to which nothing is sent and from which nothing is accepted; the sender knows."""
    lossy: set[HostId] = field(default_factory=set)
    """Peers to which all messages are lost silently."""


@dataclass(kw_only=True, slots=True)
class LinkCounters:
    """Messages and bytes (excluding TCP overhead) to and from one peer."""

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
    """Messages that were dropped, by cause."""

    late_answers: int = 0
    """Answers that arrived after their call had timed out."""
    forged: int = 0
    """Messages that claimed a host id other than that of their key."""
    malformed: int = 0
    """Frames that are not valid messages."""
    misdirected: int = 0
    """Messages addressed to a host that previously had this address."""
    overloaded: int = 0
    """Messages that arrived while too many were being handled."""
    unsent_answers: int = 0
    """Answers whose caller was gone or whose queue was full."""
    expired: int = 0
    """One-way messages whose peer did not connect in time."""
