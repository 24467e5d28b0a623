"""Peer messages of idempotency keys: reserve, end, hold in a log outage, read back."""

from dataclasses import dataclass

from galenastall.coordination.requests.keys import KeyAnswer
from galenastall.protocol.codec import PEER_MESSAGES
from galenastall.state.ids import Epoch, RequestId
from galenastall.state.key_fold import KeyEnded, KeyEntry


@PEER_MESSAGES.register("key_reserve")
@dataclass(frozen=True, kw_only=True, slots=True)
class KeyReserve:
    """Reserve a key for a request; answered once the intent is durable."""

    key: str
    digest: str
    request_id: RequestId
    made_at: float
    """Wall time in seconds at which the key was made, as encoded in it."""
    ends_at: float
    """Wall time in seconds by which the request ends."""


@PEER_MESSAGES.register("key_reserved")
@dataclass(frozen=True, kw_only=True, slots=True)
class KeyReserved:
    """The owner's verdict."""

    answer: KeyAnswer


@PEER_MESSAGES.register("key_end")
@dataclass(frozen=True, kw_only=True, slots=True)
class KeyEnd:
    """A key's request ended."""

    ended: KeyEnded


@PEER_MESSAGES.register("key_noted")
@dataclass(frozen=True, kw_only=True, slots=True)
class KeyEndAck:
    """The owner recorded the end of a request."""


@PEER_MESSAGES.register("key_hold")
@dataclass(frozen=True, kw_only=True, slots=True)
class KeyHold:
    """The owner of a shard requests that entries be held while the log is down."""

    shard: str
    epoch: Epoch
    entries: tuple[KeyEntry, ...]


@PEER_MESSAGES.register("key_held")
@dataclass(frozen=True, kw_only=True, slots=True)
class KeyHeld:
    """Whether the entries are held."""

    held: bool


@PEER_MESSAGES.register("key_read")
@dataclass(frozen=True, kw_only=True, slots=True)
class KeyRead:
    """A new owner reads back the held entries; earlier owners are rejected from then on."""

    shard: str
    epoch: Epoch
    serving: Epoch | None
    """Epoch of the owner that served last; None if there was none."""


@PEER_MESSAGES.register("key_read_answer")
@dataclass(frozen=True, kw_only=True, slots=True)
class KeyReadAnswer:
    """The held entries."""

    is_holder: bool
    """Whether this process holds entries for the new owner from now on."""
    was_holder: bool
    """Whether it has held entries for the last serving owner without interruption."""
    entries: tuple[KeyEntry, ...]


@PEER_MESSAGES.register("key_answer_fetch")
@dataclass(frozen=True, kw_only=True, slots=True)
class KeyAnswerFetch:
    """Requests the response from the entry host that ran a key's request."""

    key: str
    request_id: RequestId


@PEER_MESSAGES.register("key_answer_kept")
@dataclass(frozen=True, kw_only=True, slots=True)
class KeyAnswerKept:
    """The response, if it is still cached."""

    found: bool
    content_type: str = ""
    body: bytes = b""
