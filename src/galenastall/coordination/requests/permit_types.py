"""Permits and their spans, shared by the owner of an upstream and those who ask it."""

from dataclasses import dataclass

from galenastall.state.ids import Epoch, HostId


@dataclass(frozen=True, kw_only=True, slots=True)
class PermitLimits:
    """Spans of a permit, in seconds; the same at owner and asker."""

    ask_ttl_s: float = 1.0
    """For how long an ask waits at the owner before the asker chooses anew."""
    begin_within_s: float = 2.0
    """From the ask until the request must have left; later the permit is void."""
    longest_s: float = 30.0
    """From the ask until the request is over at the latest."""
    longest_cap_s: float = 0.0
    """No owner grants longer ones; a takeover waits by this if it is above `longest_s`."""
    grace_s: float = 1.0
    """Further time for which the owner counts an unreturned slot as in use."""
    asks_per_client: int = 256
    """Asks that one entry host may have waiting at an owner."""

    @property
    def takeover_s(self) -> float:
        """For how long permits of earlier owners may be out, whatever their settings were."""
        return max(self.longest_s, self.longest_cap_s) + self.grace_s


@dataclass(frozen=True, kw_only=True, slots=True)
class Permit:
    """The right to have one request in progress at an upstream."""

    permit_id: str
    upstream: HostId
    address: str
    epoch: Epoch
    ask_id: int
    """The asker's number of its ask; times count from when it sent that."""
    begin_within_s: float
    ends_within_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class HeldPermit:
    """A permit that an entry host still holds, as it reports it to a new owner."""

    permit_id: str
    upstream: HostId
    ends_in_s: float
    """Seconds until it is over at the latest, at the moment of the report."""


@dataclass(frozen=True, kw_only=True, slots=True)
class LedgerUse:
    """A slot in use, as one owner tells the next."""

    permit_id: str
    client: HostId
    ends_in_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class PermitLedger:
    """All that an owner knew of an upstream when it stopped granting."""

    uses: tuple[LedgerUse, ...]
    silent: tuple[tuple[HostId, float], ...]
    """Entry hosts that had not reported to it, with the seconds for which they may hold permits."""


@dataclass(frozen=True, kw_only=True, slots=True)
class OwnedUpstream:
    """What the owner needs to know of an upstream when it opens it."""

    host_id: HostId
    address: str
    slots: int
    connections: int
