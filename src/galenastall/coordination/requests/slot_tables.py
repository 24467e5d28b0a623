"""Tables of an owner's slots: uses, upstreams and waiting asks."""

from dataclasses import dataclass, field

from galenastall.coordination.requests.permit_types import OwnedUpstream
from galenastall.state.ids import Epoch, HostId


@dataclass(slots=True)
class SlotUse:
    """One permit in use, or one that may be."""

    client: HostId
    until: float


@dataclass(slots=True)
class UpstreamTable:
    """The owner's accounting of one upstream."""

    info: OwnedUpstream
    epoch: Epoch
    serial: int = 0
    leaving: bool = False
    uses_by_permit: dict[str, SlotUse] = field(default_factory=dict)
    uses_by_client: dict[HostId, int] = field(default_factory=dict)
    unreported_until_by_client: dict[HostId, float] = field(default_factory=dict)
    returned_early: set[str] = field(default_factory=set)
    """Permits released before any entry host or ledger reported them."""
    forget_at: float = 0.0


@dataclass(slots=True)
class WaitingAsk:
    """An ask that waits for a slot."""

    ask_id: int
    until: float
    avoid: tuple[HostId, ...]
