"""Peer messages by which entry hosts ask for permits, grant them and give them back.

Asks, grants and returns are one-way and batched: a lost one costs a wait that ends by itself, never
a slot used twice.
"""

from dataclasses import dataclass

from galenastall.coordination.requests.permit_types import HeldPermit, Permit, PermitLedger
from galenastall.protocol.codec import PEER_MESSAGES
from galenastall.state.ids import Epoch, HostId
from galenastall.state.outcomes import Outcome
from galenastall.state.work import Urgency


@dataclass(frozen=True, kw_only=True, slots=True)
class PermitAsk:
    """One permit wanted, of any upstream of the owner."""

    ask_id: int
    urgency: Urgency
    avoid: tuple[HostId, ...] = ()
    """Upstreams tried before."""


@PEER_MESSAGES.register("permit_asks")
@dataclass(frozen=True, kw_only=True, slots=True)
class PermitAsks:
    """Many asks at once."""

    asks: tuple[PermitAsk, ...]


@PEER_MESSAGES.register("permit_grants")
@dataclass(frozen=True, kw_only=True, slots=True)
class PermitGrants:
    """Permits, asks not taken, and the owner's load, which saves a message of its own."""

    permits: tuple[Permit, ...] = ()
    refused: tuple[int, ...] = ()
    slots: int
    in_use: int
    waiting: int


@dataclass(frozen=True, kw_only=True, slots=True)
class PermitReturn:
    """A permit given back with what the request saw of the upstream."""

    permit_id: str
    upstream: HostId
    outcome: Outcome | None = None
    """None if the permit was not used."""
    latency_s: float = 0.0
    busy_for_s: float = 0.0
    """Seconds for which the upstream may still be busy with the request."""
    is_fault: bool = False
    """The upstream could not be reached, failed by itself, or gave no whole answer."""
    leaving: bool = False
    """The upstream said that it is leaving."""


@PEER_MESSAGES.register("permit_returns")
@dataclass(frozen=True, kw_only=True, slots=True)
class PermitReturns:
    """Many returns at once."""

    returns: tuple[PermitReturn, ...]
    forwarded: bool = False
    """Sent on by a former owner; not to be sent on again."""


@PEER_MESSAGES.register("permit_ledger_call")
@dataclass(frozen=True, kw_only=True, slots=True)
class PermitLedgerCall:
    """A new owner asks the last one what is out."""

    upstream: HostId
    epoch: Epoch
    """Of the new owner."""


@PEER_MESSAGES.register("permit_ledger_answer")
@dataclass(frozen=True, kw_only=True, slots=True)
class PermitLedgerAnswer:
    """The last owner's ledger; None if this process has none."""

    ledger: PermitLedger | None


@PEER_MESSAGES.register("permit_report_call")
@dataclass(frozen=True, kw_only=True, slots=True)
class PermitReportCall:
    """A new owner asks an entry host what it holds; earlier owners' grants are void from then."""

    upstream: HostId
    epoch: Epoch


@PEER_MESSAGES.register("permit_report")
@dataclass(frozen=True, kw_only=True, slots=True)
class PermitReport:
    """What an entry host holds of an upstream."""

    held: tuple[HeldPermit, ...]
    alive_s: float
    """Age of the process: an earlier life of the same host may hold more."""
