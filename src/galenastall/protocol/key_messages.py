"""Peer messages about idempotency keys: reserving, ending, holding in an outage, reading back."""

from dataclasses import dataclass

from galenastall.coordination.requests.keys import KeyAnswer
from galenastall.protocol.codec import PEER_MESSAGES
from galenastall.state.ids import Epoch, RequestId
from galenastall.state.key_fold import KeyEnded, KeyEntry


@PEER_MESSAGES.register("key_reserve")
@dataclass(frozen=True, kw_only=True, slots=True)
class KeyReserve:
    """Take a key for a request; answered once the intent is durable."""

    key: str
    digest: str
    request_id: RequestId
    made_at: float
    """Wall time in seconds that the key carries."""
    ends_at: float
    """Wall time in seconds by which the request is over."""


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
    """The owner took in a request's end."""


@PEER_MESSAGES.register("key_hold")
@dataclass(frozen=True, kw_only=True, slots=True)
class KeyHold:
    """The owner of a shard asks to hold entries while the log is down."""

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
    """A new owner reads back what is held; earlier owners are refused from then on."""

    shard: str
    epoch: Epoch
    serving: Epoch | None
    """Of the owner that served last; None if none did."""


@PEER_MESSAGES.register("key_read_answer")
@dataclass(frozen=True, kw_only=True, slots=True)
class KeyReadAnswer:
    """What is held."""

    is_holder: bool
    """Whether this process holds for the new owner from now on."""
    was_holder: bool
    """Whether it held for the owner that served last, all the time since."""
    entries: tuple[KeyEntry, ...]


@PEER_MESSAGES.register("key_answer_fetch")
@dataclass(frozen=True, kw_only=True, slots=True)
class KeyAnswerFetch:
    """Ask the entry host that ran a key's request for its answer."""

    key: str
    request_id: RequestId


@PEER_MESSAGES.register("key_answer_kept")
@dataclass(frozen=True, kw_only=True, slots=True)
class KeyAnswerKept:
    """The answer, if it is still kept."""

    found: bool
    content_type: str = ""
    body: bytes = b""
