"""Messages between members, and the commands that the core passes to its driver."""

from dataclasses import dataclass
from typing import Any

import msgspec

from galenastall.state.ids import Epoch, HostId, Incarnation, Offset, OwnableId, RecordId


class ContestedClaim(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """A claim that the receiver of a message may not have read."""

    epoch: Epoch
    ownables: tuple[OwnableId, ...]


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """A ping, and the answer to the receiver's last ping, for all ownables at once.

    The echo confirms everything that the receiver owns except what `claims` takes away: the
    sender includes each claim that it knows of and that lies beyond what the receiver reported
    as read.
    """

    sender: Incarnation
    receiver: Incarnation
    sequence: int
    echo: int
    """Highest sequence number received from the receiver; 0 for none."""
    next_offset: Offset
    """First offset that the sender has not read."""
    tip_age_ms: int
    """Time since the sender sent a read that reached the log's end; -1 for never."""
    is_leaving: bool = False
    silent: tuple[Incarnation, ...] = ()
    """Roster members that the sender finds unresponsive."""
    claims: tuple[ContestedClaim, ...] = ()
    lacks_log: bool = False
    """Whether the sender can't read the log itself, and so can't serve further ownables."""


class Fence(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Request to confirm no lower epoch from now on."""

    sender: Incarnation
    receiver: Incarnation
    claim: ContestedClaim


class FenceAck(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """The promise that a Fence requested."""

    sender: Incarnation
    epoch: Epoch


class TailRequest(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Request for the ownership records from an offset on."""

    start: Offset


class TailAnswer(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """All ownership records in [start, end) as log texts, if the sender still has them."""

    start: Offset
    end: Offset
    offsets: tuple[Offset, ...]
    texts: tuple[str, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class AppendRecord:
    """Append a record and report the outcome by its id."""

    record_id: RecordId
    record: Any


@dataclass(frozen=True, kw_only=True, slots=True)
class SendMessage:
    """Send a one-way message to a member."""

    to: HostId
    message: Heartbeat | Fence | FenceAck


@dataclass(frozen=True, kw_only=True, slots=True)
class FetchTail:
    """Fetch the records from `start` on from a member that has read further."""

    peer: HostId
    start: Offset


@dataclass(frozen=True, kw_only=True, slots=True)
class Activated:
    """This member became the owner."""

    ownable: OwnableId
    epoch: Epoch


@dataclass(frozen=True, kw_only=True, slots=True)
class Lost:
    """This member stopped being the owner."""

    ownable: OwnableId


@dataclass(frozen=True, kw_only=True, slots=True)
class Expelled:
    """The log no longer lists this incarnation: it must never act again."""


OwnershipCommand = AppendRecord | SendMessage | FetchTail | Activated | Lost | Expelled
