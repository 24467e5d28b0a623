"""Fold of the idempotency keys in a data centre's stream.

A key's intent is logged before its request is sent, so any later owner of the key's shard knows
that the request may have run. Intents of a replaced owner are ignored: its successor's
`KeyShardOpened` precedes them in the stream, and the old owner detects this when it reads its own
record back.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field

from galenastall.state.ids import Epoch, HostId, Offset, RequestId
from galenastall.state.outcomes import Outcome
from galenastall.state.records import RECORDS, LoggedRecord


@RECORDS.register("key_shard_opened")
@dataclass(frozen=True, kw_only=True, slots=True)
class KeyShardOpened:
    """A new owner of a key shard: later intents of earlier owners are ignored."""

    shard: str
    epoch: Epoch
    opened_at: float
    """Wall time in seconds."""


@RECORDS.register("key_shard_ready")
@dataclass(frozen=True, kw_only=True, slots=True)
class KeyShardReady:
    """The owner of that epoch has read back the held intents and serves from here on."""

    shard: str
    epoch: Epoch
    holders: tuple[HostId, ...]
    """Entry hosts; in a log outage a majority of them holds each of its intents."""
    ready_at: float
    """Wall time in seconds."""
    incomplete_until: float = 0.0
    """Wall time before which intents may have been lost, since too few holders answered."""


@RECORDS.register("key_intent")
@dataclass(frozen=True, kw_only=True, slots=True)
class KeyIntent:
    """A request with a key that is about to be dispatched."""

    shard: str
    key: str
    digest: str
    """Hash of operation and body; a repeat must have the same."""
    request_id: RequestId
    runner: HostId
    """The entry host that dispatches it."""
    epoch: Epoch
    """Of the shard's owner."""
    serial: int = 1
    """Number of the request among those with this key; a further one needs a `not_run` first."""
    ends_at: float
    """Wall time in seconds by which it ends; without a recorded end it is unknown after that."""
    until: float
    """Wall time in seconds until which the key is kept."""


@RECORDS.register("key_ended")
@dataclass(frozen=True, kw_only=True, slots=True)
class KeyEnded:
    """The outcome of a key's request."""

    shard: str
    key: str
    request_id: RequestId
    outcome: Outcome
    status: int = 0
    """HTTP status of the executor's response; 0 if there was none."""


@RECORDS.register("keys_carried")
@dataclass(frozen=True, kw_only=True, slots=True)
class KeysCarriedForward:
    """Keys written again in compact form before the log trims their first records."""

    shard: str
    epoch: Epoch
    entries: tuple["KeyEntry", ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class KeyEntry:
    """The folded state of one key."""

    key: str
    digest: str
    request_id: RequestId
    runner: HostId
    epoch: Epoch
    serial: int
    ends_at: float
    until: float
    outcome: Outcome | None = None
    """None until an end is recorded."""
    status: int = 0


@dataclass(slots=True)
class ShardState:
    """State of one key shard."""

    opened: KeyShardOpened | None = None
    serving: KeyShardReady | None = None
    """Of the last owner that became ready; its holders may hold intents missing from the log."""
    incomplete_until: float = 0.0
    """Wall time before which intents may have been lost with their holders."""
    entries_by_key: dict[str, KeyEntry] = field(default_factory=dict)
    opened_offset: Offset = Offset(0)
    """Offset of the record in `opened`."""
    first_offset_by_key: dict[str, Offset] = field(default_factory=dict)
    """Offset of the oldest record still needed for each key."""


class KeyFold:
    """All shards of one data centre, built from its stream in offset order.

    `first_offset` is the offset of the first record applied; above 0, older ones were trimmed.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._shards_by_name: dict[str, ShardState] = {}
        self.first_offset: Offset | None = None

    def apply(self, logged: LoggedRecord) -> None:
        """Apply the next record; unrelated record types are ignored."""
        if self.first_offset is None:
            self.first_offset = logged.offset
        record = logged.record
        match record:
            case KeyShardOpened():
                self._open(record, logged.offset)
            case KeyShardReady():
                self._ready(record)
            case KeyIntent():
                self._record_intent(record, logged.offset)
            case KeyEnded():
                self._end(record)
            case KeysCarriedForward():
                self._carry(record, logged.offset)
            case _:
                return

    def shard(self, name: str) -> ShardState:
        """Return the state of a shard, empty if nothing was recorded."""
        return self._shards_by_name.setdefault(name, ShardState())

    def entry(self, *, shard: str, key: str) -> KeyEntry | None:
        """Return the recorded state of a key, None if there is none."""
        return self.shard(shard).entries_by_key.get(key)

    def epoch(self, shard: str) -> Epoch:
        """Return the epoch of the shard's last recorded owner; 0 if it had none."""
        opened = self.shard(shard).opened
        return opened.epoch if opened else Epoch(0)

    def recorded_before(self, *, shard: str, offset: Offset) -> Iterator[KeyEntry]:
        """Yield the keys whose records would be lost if the stream were trimmed to `offset`."""
        state = self.shard(shard)
        for key, first in state.first_offset_by_key.items():
            if first < offset:
                yield state.entries_by_key[key]

    def drop_expired(self, *, wall: float) -> int:
        """Drop keys whose retention has expired; return how many."""
        dropped = 0
        for state in self._shards_by_name.values():
            old = [key for key, entry in state.entries_by_key.items() if entry.until <= wall]
            for key in old:
                del state.entries_by_key[key]
                del state.first_offset_by_key[key]
            dropped += len(old)
        return dropped

    def __len__(self) -> int:
        return sum(len(state.entries_by_key) for state in self._shards_by_name.values())

    def _open(self, record: KeyShardOpened, offset: Offset) -> None:
        state = self.shard(record.shard)
        if state.opened is not None and record.epoch < state.opened.epoch:
            return
        state.opened = record
        state.opened_offset = offset

    def _ready(self, record: KeyShardReady) -> None:
        state = self.shard(record.shard)
        if state.opened is None or record.epoch != state.opened.epoch:
            return
        state.serving = record
        state.incomplete_until = max(state.incomplete_until, record.incomplete_until)

    def _record_intent(self, record: KeyIntent, offset: Offset) -> None:
        state = self.shard(record.shard)
        if state.opened is None or record.epoch != state.opened.epoch:
            return
        known = state.entries_by_key.get(record.key)
        if known is not None and not _may_follow(known, record):
            return
        state.entries_by_key[record.key] = entry_of(record)
        state.first_offset_by_key[record.key] = offset

    def _end(self, record: KeyEnded) -> None:
        entries = self.shard(record.shard).entries_by_key
        known = entries.get(record.key)
        if known is None or known.request_id != record.request_id:
            return
        entries[record.key] = with_outcome(known, outcome=record.outcome, status=record.status)

    def _carry(self, record: KeysCarriedForward, offset: Offset) -> None:
        state = self.shard(record.shard)
        if state.opened is not None and record.epoch < state.opened.epoch:
            return
        for entry in record.entries:
            known = state.entries_by_key.get(entry.key)
            if known is not None and rank(known) > rank(entry):
                continue
            state.entries_by_key[entry.key] = entry
            state.first_offset_by_key[entry.key] = offset


def _may_follow(known: KeyEntry, record: KeyIntent) -> bool:
    """Return whether a new request may use the key; a late append of an older intent may not."""
    return known.outcome is Outcome.NOT_RUN and record.serial > known.serial


def rank(entry: KeyEntry) -> tuple[int, int, bool]:
    """Return the sort key between two entries of one key; the higher one wins."""
    return entry.epoch, entry.serial, entry.outcome is not None


def entry_of(intent: KeyIntent) -> KeyEntry:
    """Return the entry that an intent creates."""
    return KeyEntry(
        key=intent.key,
        digest=intent.digest,
        request_id=intent.request_id,
        runner=intent.runner,
        epoch=intent.epoch,
        serial=intent.serial,
        ends_at=intent.ends_at,
        until=intent.until,
    )


def with_outcome(entry: KeyEntry, *, outcome: Outcome, status: int) -> KeyEntry:
    """Return the entry with this outcome, unless it already has one."""
    if entry.outcome is not None:
        return entry
    return KeyEntry(
        key=entry.key,
        digest=entry.digest,
        request_id=entry.request_id,
        runner=entry.runner,
        epoch=entry.epoch,
        serial=entry.serial,
        ends_at=entry.ends_at,
        until=entry.until,
        outcome=outcome,
        status=status,
    )
