"""Peer messages by which entry hosts ask for permits, grant them and return them.

Asks, grants and returns are one-way and batched. A lost one only causes a wait that ends by
time-out, never a slot used twice.
"""

from dataclasses import dataclass

from galenastall.coordination.requests.permit_types import HeldPermit, Permit, PermitLedger
from galenastall.protocol.codec import PEER_MESSAGES
from galenastall.state.ids import Epoch, HostId
from galenastall.state.outcomes import Outcome
from galenastall.state.work import Urgency


@dataclass(frozen=True, kw_only=True, slots=True)
class PermitAsk:
    """Asks for one permit of any of the owner's upstreams."""

    ask_id: int
    urgency: Urgency
    avoid: tuple[HostId, ...] = ()
    """Upstreams that were tried before."""


@PEER_MESSAGES.register("permit_asks")
@dataclass(frozen=True, kw_only=True, slots=True)
class PermitAsks:
    """A batch of asks."""

    asks: tuple[PermitAsk, ...]


@PEER_MESSAGES.register("permit_grants")
@dataclass(frozen=True, kw_only=True, slots=True)
class PermitGrants:
    """Permits, refused asks and the owner's load, which needs no separate message this way."""

    permits: tuple[Permit, ...] = ()
    refused: tuple[int, ...] = ()
    slots: int
    in_use: int
    waiting: int


@dataclass(frozen=True, kw_only=True, slots=True)
class PermitReturn:
    """A returned permit with the request's observations of the upstream."""

    permit_id: str
    upstream: HostId
    outcome: Outcome | None = None
    """None if the permit was not used."""
    latency_s: float = 0.0
    busy_for_s: float = 0.0
    """Seconds for which the upstream may still be busy with the request."""
    is_fault: bool = False
    """The upstream was unreachable, failed on its own, or sent no complete response."""
    leaving: bool = False
    """The upstream reported that it is leaving."""


@PEER_MESSAGES.register("permit_returns")
@dataclass(frozen=True, kw_only=True, slots=True)
class PermitReturns:
    """A batch of returns."""

    returns: tuple[PermitReturn, ...]
    forwarded: bool = False
    """Forwarded by a former owner; must not be forwarded again."""


@PEER_MESSAGES.register("permit_ledger_call")
@dataclass(frozen=True, kw_only=True, slots=True)
class PermitLedgerCall:
    """A new owner queries the previous one for its outstanding permits."""

    upstream: HostId
    epoch: Epoch
    """Of the new owner."""


@PEER_MESSAGES.register("permit_ledger_answer")
@dataclass(frozen=True, kw_only=True, slots=True)
class PermitLedgerAnswer:
    """The previous owner's ledger; None if this process has none."""

    ledger: PermitLedger | None


@PEER_MESSAGES.register("permit_report_call")
@dataclass(frozen=True, kw_only=True, slots=True)
class PermitReportCall:
    """A new owner queries the permits of an entry host; earlier owners' grants are void then."""

    upstream: HostId
    epoch: Epoch


@PEER_MESSAGES.register("permit_report")
@dataclass(frozen=True, kw_only=True, slots=True)
class PermitReport:
    """The permits that an entry host holds of an upstream."""

    held: tuple[HeldPermit, ...]
    alive_s: float
    """Age of the process in seconds: an earlier incarnation of the host may hold more."""
