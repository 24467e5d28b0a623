"""Permits and their durations, shared by upstream owners and the entry hosts that ask them."""

from dataclasses import dataclass

from galenastall.state.ids import Epoch, HostId


@dataclass(frozen=True, kw_only=True, slots=True)
class PermitLimits:
    """Durations of a permit, in seconds; the same at the owner and at the requesting host."""

    ask_ttl_s: float = 1.0
    """How long an ask (a request for a permit) waits at the owner before another is chosen."""
    begin_within_s: float = 2.0
    """From the ask until the request must have been sent; after that the permit is void."""
    longest_s: float = 30.0
    """From the ask until the request must have ended."""
    longest_cap_s: float = 0.0
    """Upper bound of `longest_s` at any owner; takeovers wait this long if it is the larger."""
    grace_s: float = 1.0
    """Extra time for which the owner counts an unreturned slot as in use."""
    asks_per_client: int = 256
    """Asks that one entry host may have waiting at an owner."""

    @property
    def takeover_s(self) -> float:
        """How long permits of earlier owners may stay valid, whatever their settings were."""
        return max(self.longest_s, self.longest_cap_s) + self.grace_s


@dataclass(frozen=True, kw_only=True, slots=True)
class Permit:
    """The right to have one request in progress at an upstream."""

    permit_id: str
    upstream: HostId
    address: str
    epoch: Epoch
    ask_id: int
    """The requesting host's number of its ask; times count from when it was sent."""
    begin_within_s: float
    ends_within_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class HeldPermit:
    """A permit that an entry host still holds, as it reports it to a new owner."""

    permit_id: str
    upstream: HostId
    ends_in_s: float
    """Seconds until it expires, at the time of the report."""


@dataclass(frozen=True, kw_only=True, slots=True)
class LedgerUse:
    """A slot in use, as reported by one owner to the next."""

    permit_id: str
    client: HostId
    ends_in_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class PermitLedger:
    """An owner's state of an upstream when it stopped granting."""

    uses: tuple[LedgerUse, ...]
    silent: tuple[tuple[HostId, float], ...]
    """Entry hosts that had not reported to it, with the seconds they may still hold permits."""


@dataclass(frozen=True, kw_only=True, slots=True)
class OwnedUpstream:
    """What the owner needs to know about an upstream to open it."""

    host_id: HostId
    address: str
    slots: int
    connections: int
