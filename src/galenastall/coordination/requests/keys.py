"""Idempotency keys: placement of keys on shards, and the verdicts of a shard's owner.

A key contains its creation time, because a forgotten key cannot be distinguished from a new one:
keys older than the retention period are refused instead of run. The owner records an intent before
a request is sent, so that no later owner allows it to be sent a second time.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

import xxhash
from returns.result import Failure, Result, Success

from galenastall.state.errors import Reason, StepError
from galenastall.state.ids import DataCentre, Epoch, HostId, RequestId
from galenastall.state.key_fold import (
    KeyEnded,
    KeyEntry,
    KeyFold,
    KeyIntent,
    entry_of,
    rank,
    with_outcome,
)
from galenastall.state.outcomes import Outcome

KEY_SHARDS: Final = 8
"""Key shards in each data centre; changing it would separate keys from their records."""
MAX_KEY_LENGTH: Final = 200
UUID_LENGTH: Final = 36
UUID_VERSION_AT: Final = 14
MILLISECONDS: Final = 1_000.0


@dataclass(frozen=True, kw_only=True, slots=True)
class KeyRules:
    """How long keys are remembered, in seconds."""

    memory_s: float = 86_400.0
    """Retention period: the age up to which a key is accepted."""
    margin_s: float = 600.0
    """Extra time for which a key is remembered, larger than any clock skew."""
    skew_s: float = 5.0
    """Largest difference between two wall clocks; keys further in the future are refused."""
    settle_s: float = 5.0
    """Time after a request's deadline to record its end, before it counts as unknown."""


@dataclass(frozen=True, kw_only=True, slots=True)
class KeyHomes:
    """The data centres that share the keys created from a given time on.

    There is one list per period, so that adding a data centre moves no existing key.
    """

    since: float
    """Wall time in seconds."""
    data_centres: tuple[DataCentre, ...]


class KeyVerdict(StrEnum):
    """The owner's verdict on a request with a key."""

    GO = "go"
    REPEAT = "repeat"
    """The first request has ended; its outcome is returned."""
    IN_PROGRESS = "in_progress"
    UNKNOWN = "unknown"
    """The first request may have run."""
    MISMATCH = "mismatch"
    """The key was used before with another operation or body."""


@dataclass(frozen=True, kw_only=True, slots=True)
class KeyAnswer:
    """The verdict and, for a repeat, the entry of the first request."""

    verdict: KeyVerdict
    epoch: Epoch
    first: KeyEntry | None = None


def key_time(key: str) -> Result[float, StepError]:
    """Return the wall time at which a key was created.

    A key is `<seconds since 1970>-<text>` or a UUID of version 7.
    """
    if not key or len(key) > MAX_KEY_LENGTH or not key.isascii() or not key.isprintable():
        return Failure(_invalid_key(key[:MAX_KEY_LENGTH], f"1 to {MAX_KEY_LENGTH} printable ASCII"))
    if len(key) == UUID_LENGTH and key[UUID_VERSION_AT] == "7" and key[8] == "-":
        try:
            return Success(int(key[:8] + key[9:13], 16) / MILLISECONDS)
        except ValueError:
            return Failure(_invalid_key(key, "a UUID of version 7"))
    seconds, dash, text = key.partition("-")
    if not dash or not text or not seconds.isdigit():
        return Failure(_invalid_key(key, "<seconds since 1970>-<text> or a UUID of version 7"))
    return Success(float(seconds))


def check_age(key: str, *, wall: float, rules: KeyRules) -> Result[float, StepError]:
    """Return the key's time, or why it is refused: malformed, too old, or from the future."""
    made = key_time(key)
    if isinstance(made, Failure):
        return made
    at = made.unwrap()
    if at + rules.memory_s < wall:
        return Failure(_invalid_key(key, f"made at most {rules.memory_s:.0f} s ago"))
    if at > wall + rules.skew_s:
        return Failure(_invalid_key(key, "not made in the future"))
    return made


def digest_of(*, operation: str, body: bytes) -> str:
    """Return the digest that distinguishes a repeat from a different request with the same key."""
    digest = xxhash.xxh3_128()
    digest.update(operation.encode())
    digest.update(b"\0")
    digest.update(body)
    return str(digest.hexdigest())


def home_of(key: str, *, made_at: float, homes: Sequence[KeyHomes]) -> DataCentre:
    """Return the data centre that serves a key; `homes` is in order of `since`.

    Raises ValueError if no list is in force at that time.
    """
    in_force = [one for one in homes if one.since <= made_at]
    if not in_force:
        raise ValueError(f"no data centres are given for keys made at {made_at}")
    return max(in_force[-1].data_centres, key=lambda name: _hash(f"{name}/{key}"))


def shard_of(key: str) -> str:
    """Return the name of the shard that holds a key."""
    return str(_hash(key) % KEY_SHARDS)


class KeyShard:
    """The owner's decisions on one shard, from the fold and entries not yet in the log."""

    def __init__(self, *, name: str, epoch: Epoch, fold: KeyFold, rules: KeyRules) -> None:
        """Serve the shard under `epoch`, once its `KeyShardReady` was read back from the log."""
        self.name = name
        self.epoch = epoch
        self._fold = fold
        self._rules = rules
        self._entries_by_key: dict[str, KeyEntry] = {}

    def check(self, *, key: str, digest: str, made_at: float, wall: float) -> KeyAnswer:
        """Return the verdict on a request with this key."""
        entry = self._entry(key)
        if entry is None:
            return self._first_seen(made_at)
        if entry.digest != digest:
            return self._answer(KeyVerdict.MISMATCH, entry)
        match entry.outcome:
            case Outcome.NOT_RUN:
                return self._answer(KeyVerdict.GO)
            case Outcome.UNKNOWN:
                return self._answer(KeyVerdict.UNKNOWN, entry)
            case None if wall < entry.ends_at + self._rules.settle_s:
                return self._answer(KeyVerdict.IN_PROGRESS, entry)
            case None:
                return self._answer(KeyVerdict.UNKNOWN, entry)
        return self._answer(KeyVerdict.REPEAT, entry)

    def begin(
        self,
        *,
        key: str,
        digest: str,
        made_at: float,
        request_id: RequestId,
        runner: HostId,
        ends_at: float,
    ) -> KeyIntent:
        """Reserve the key after a GO; the intent must be durable before the request is sent."""
        earlier = self._entry(key)
        intent = KeyIntent(
            shard=self.name,
            key=key,
            digest=digest,
            request_id=request_id,
            runner=runner,
            epoch=self.epoch,
            serial=earlier.serial + 1 if earlier else 1,
            ends_at=ends_at,
            until=made_at + self._rules.memory_s + self._rules.margin_s,
        )
        self._entries_by_key[key] = entry_of(intent)
        return intent

    def is_recorded(self, intent: KeyIntent) -> bool:
        """Return whether the folded log assigns the key to this intent."""
        entry = self._fold.entry(shard=self.name, key=intent.key)
        return entry is not None and entry.request_id == intent.request_id

    def end(
        self, *, key: str, request_id: RequestId, outcome: Outcome, status: int
    ) -> KeyEnded | None:
        """Apply a request's end; return the record to append, or None if nothing changes."""
        entry = self._entry(key)
        if entry is None or entry.request_id != request_id or entry.outcome is not None:
            return None
        self._entries_by_key[key] = with_outcome(entry, outcome=outcome, status=status)
        return KeyEnded(
            shard=self.name, key=key, request_id=request_id, outcome=outcome, status=status
        )

    def restore(self, entries: Iterable[KeyEntry]) -> tuple[KeyEntry, ...]:
        """Merge entries read from holders; return those missing or still open in the log."""
        missing = tuple(entry for entry in _merged(entries) if self._is_newer(entry))
        self._entries_by_key.update({entry.key: entry for entry in missing})
        return missing

    def unlogged(self) -> tuple[KeyEntry, ...]:
        """Return the entries that the log does not contain yet, and drop the others."""
        for key in [
            key for key, entry in self._entries_by_key.items() if not self._is_newer(entry)
        ]:
            del self._entries_by_key[key]
        return tuple(self._entries_by_key.values())

    def _entry(self, key: str) -> KeyEntry | None:
        """Return the higher-ranked of the local and the logged entry."""
        own = self._entries_by_key.get(key)
        logged = self._fold.entry(shard=self.name, key=key)
        if own is None or logged is None:
            return own or logged
        return own if rank(own) >= rank(logged) else logged

    def _is_newer(self, entry: KeyEntry) -> bool:
        logged = self._fold.entry(shard=self.name, key=entry.key)
        return logged is None or rank(entry) > rank(logged)

    def _first_seen(self, made_at: float) -> KeyAnswer:
        """Return the verdict for an unknown key: it may have run if intents were lost."""
        lost_until = self._fold.shard(self.name).incomplete_until
        if made_at <= lost_until + self._rules.skew_s:
            return self._answer(KeyVerdict.UNKNOWN)
        return self._answer(KeyVerdict.GO)

    def _answer(self, verdict: KeyVerdict, first: KeyEntry | None = None) -> KeyAnswer:
        return KeyAnswer(verdict=verdict, epoch=self.epoch, first=first)


@dataclass(frozen=True, kw_only=True, slots=True)
class HeldRead:
    """The entries that one process holds of a shard, as reported to a new owner."""

    is_holder: bool
    """It is a holder for the new owner from now on; False if that owner has been replaced."""
    was_holder: bool
    """It has been a holder without interruption since the last serving owner began."""
    entries: tuple[KeyEntry, ...]


class HeldIntents:
    """Intents that this process stores for the owners of shards while the log is down.

    It counts as a holder only from the first owner that queried it, so that a restarted process,
    which has lost the entries of its previous incarnation, is not taken for one that held nothing.
    """

    def __init__(self) -> None:
        """Start without entries."""
        self._fences_by_shard: dict[str, Epoch] = {}
        self._since_by_shard: dict[str, Epoch] = {}
        self._entries_by_shard: dict[str, dict[str, KeyEntry]] = {}

    def hold(self, *, shard: str, epoch: Epoch, entries: Iterable[KeyEntry]) -> bool:
        """Store entries; return False for an owner that was replaced or never sent a read."""
        since = self._since_by_shard.get(shard)
        if since is None or since > epoch or epoch < self._fences_by_shard[shard]:
            return False
        held = self._entries_by_shard[shard]
        for entry in entries:
            known = held.get(entry.key)
            if known is None or rank(entry) > rank(known):
                held[entry.key] = entry
        return True

    def read(self, *, shard: str, epoch: Epoch, serving: Epoch | None) -> HeldRead:
        """Return the held entries to a new owner, and reject earlier owners from now on."""
        if epoch < self._fences_by_shard.get(shard, 0):
            return HeldRead(is_holder=False, was_holder=False, entries=())
        self._fences_by_shard[shard] = epoch
        since = self._since_by_shard.setdefault(shard, epoch)
        entries = self._entries_by_shard.setdefault(shard, {})
        was_holder = serving is None or since <= serving
        return HeldRead(is_holder=True, was_holder=was_holder, entries=tuple(entries.values()))

    def forget(self, *, fold: KeyFold, wall: float) -> None:
        """Drop entries that are in the log, and keys past their retention."""
        for shard, entries in self._entries_by_shard.items():
            for key, entry in list(entries.items()):
                logged = fold.entry(shard=shard, key=key)
                is_logged = logged is not None and rank(logged) >= rank(entry)
                if is_logged or entry.until <= wall:
                    del entries[key]

    def __len__(self) -> int:
        return sum(len(entries) for entries in self._entries_by_shard.values())


def is_majority(*, count: int, of: int) -> bool:
    """Return whether `count` is more than half of `of`: so many must hold each intent."""
    return 2 * count > of


def intersects_every_majority(*, count: int, of: int) -> bool:
    """Return whether any `count` of `of` intersect every majority: so many must be read."""
    return count >= of - of // 2


def _hash(text: str) -> int:
    return int(xxhash.xxh3_64_intdigest(text.encode()))


def _merged(entries: Iterable[KeyEntry]) -> Iterable[KeyEntry]:
    """Return the highest-ranked entry of each key."""
    by_key: dict[str, KeyEntry] = {}
    for entry in entries:
        known = by_key.get(entry.key)
        if known is None or rank(entry) > rank(known):
            by_key[entry.key] = entry
    return by_key.values()


def _invalid_key(key: str, allowed: str) -> StepError:
    return StepError(
        step="keys.check",
        peer="",
        reason=Reason.INVALID,
        detail=f"Galenastall-Idempotency-Key {key!r}; allowed: {allowed}",
    )
