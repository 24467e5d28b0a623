"""Owner of idempotency key shards: makes intents durable before their requests are sent."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, Final

import trio
from returns.result import Failure, Result, Success

from galenastall.coordination.requests.keys import (
    HeldIntents,
    KeyAnswer,
    KeyShard,
    KeyVerdict,
    intersects_every_majority,
    is_majority,
    shard_of,
)
from galenastall.node.requests.permit_settings import RequestSettings
from galenastall.protocol.clock import Clock
from galenastall.protocol.event_sink import EventSink
from galenastall.protocol.key_messages import KeyHeld, KeyHold, KeyRead, KeyReadAnswer, KeyReserve
from galenastall.protocol.log_access import LogAppender
from galenastall.protocol.ownership_view import OwnershipView
from galenastall.protocol.peers import PeerLink
from galenastall.state.errors import Reason, StepError
from galenastall.state.ids import (
    Epoch,
    HostId,
    OwnableId,
    OwnableKind,
    StreamName,
    make_ownable_id,
)
from galenastall.state.key_fold import (
    KeyEnded,
    KeyEntry,
    KeyFold,
    KeyIntent,
    KeysCarriedForward,
    KeyShardOpened,
    KeyShardReady,
    entry_of,
)
from galenastall.state.outcomes import Outcome

HOLD_CALL_S: Final = 0.5
READ_TRIES: Final = 4
"""Rounds of reading from holders before intents held in a log outage count as lost."""
RETRY_S: Final = 1.0
HOLDER_REFRESH_ROUNDS: Final = 10
"""Rounds after which the holders are queried again, since a restarted process is no holder."""
CARRY_CHUNK: Final = 200
"""Keys in one `KeysCarried` record, which writes entries to the log again."""


@dataclass(kw_only=True, slots=True)
class OwnedShard:
    """A shard that this entry host serves."""

    shard: KeyShard
    holder_sets: tuple[frozenset[HostId], ...]
    """More than half of each must hold an intent; two while a change of holders is unconfirmed."""
    needs_flush: bool = False
    rounds: int = 0


class KeyOwner:
    """Serves the shards that this entry host owns."""

    def __init__(
        self,
        *,
        stream: StreamName,
        fold: KeyFold,
        held: HeldIntents,
        clock: Clock,
        peers: PeerLink,
        ownership: OwnershipView,
        appender: LogAppender,
        settings: Callable[[], RequestSettings],
        events: EventSink,
    ) -> None:
        """`fold` follows the data centre's stream; `held` stores intents for other owners."""
        self._stream = stream
        self._fold = fold
        self._held = held
        self._clock = clock
        self._peers = peers
        self._me = peers.host_id
        self._ownership = ownership
        self._appender = appender
        self._settings = settings
        self._events = events
        self._owned_by_name: dict[str, OwnedShard] = {}
        self._epochs_by_name: dict[str, Epoch] = {}
        self._nursery: trio.Nursery | None = None
        self._to_open: list[tuple[str, Epoch]] = []
        ownership.on_activated(self._on_activated)
        ownership.on_lost(self._on_lost)

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Open activated shards and write entries missing in the log, until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for name, epoch in self._to_open:
                nursery.start_soon(self._open, name, epoch)
            task_status.started()
            while True:
                await trio.sleep(RETRY_S)
                for owned in list(self._owned_by_name.values()):
                    await self._maintain(owned)

    @property
    def serving(self) -> frozenset[str]:
        """Names of the served shards."""
        return frozenset(self._owned_by_name)

    async def reserve(
        self, *, runner: HostId, reservation: KeyReserve
    ) -> Result[KeyAnswer, StepError]:
        """Return the verdict; GO is returned only once the intent is durable."""
        owned = self._owned_by_name.get(shard_of(reservation.key))
        if owned is None or not self._may_act(owned.shard):
            return Failure(_error(Reason.NOT_OWNER, f"key shard {shard_of(reservation.key)}"))
        answer = owned.shard.check(
            key=reservation.key,
            digest=reservation.digest,
            made_at=reservation.made_at,
            wall=self._clock.wall(),
        )
        if answer.verdict is not KeyVerdict.GO:
            return Success(answer)
        intent = owned.shard.begin(
            key=reservation.key,
            digest=reservation.digest,
            made_at=reservation.made_at,
            request_id=reservation.request_id,
            runner=runner,
            ends_at=reservation.ends_at,
        )
        if await self._make_durable(owned, intent):
            return Success(answer)
        await self.end(_not_run(intent))
        return Failure(
            _error(
                Reason.UNAVAILABLE, "the intent is neither in the log nor at a majority of holders"
            )
        )

    async def end(self, ended: KeyEnded) -> bool:
        """Record a request's end; return False if its shard is not served here."""
        owned = self._owned_by_name.get(ended.shard)
        if owned is None:
            return False
        record = owned.shard.end(
            key=ended.key,
            request_id=ended.request_id,
            outcome=ended.outcome,
            status=ended.status,
        )
        if record is None:
            return True
        if self._appender.is_log_up:
            appended = await self._appender.append(stream=self._stream, record=record)
            if isinstance(appended, Success):
                return True
        owned.needs_flush = True
        entries = [entry for entry in owned.shard.unlogged() if entry.key == ended.key]
        await self._hold(owned, tuple(entries))
        return True

    async def _make_durable(self, owned: OwnedShard, intent: KeyIntent) -> bool:
        if self._appender.is_log_up:
            appended = await self._appender.append(stream=self._stream, record=intent)
            if isinstance(appended, Success):
                return owned.shard.is_recorded(intent)
        owned.needs_flush = True
        return await self._hold(owned, (entry_of(intent),))

    async def _hold(self, owned: OwnedShard, entries: tuple[KeyEntry, ...]) -> bool:
        """Store the entries at the holders; return whether more than half of them confirmed."""
        message = KeyHold(shard=owned.shard.name, epoch=owned.shard.epoch, entries=entries)
        holding: set[HostId] = set()

        async def store_at(holder: HostId) -> None:
            if await self._is_held(holder, message):
                holding.add(holder)

        async with trio.open_nursery() as nursery:
            for holder in frozenset().union(*owned.holder_sets):
                nursery.start_soon(store_at, holder)
        return all(
            is_majority(count=len(holders & holding), of=len(holders))
            for holders in owned.holder_sets
        )

    async def _is_held(self, holder: HostId, message: KeyHold) -> bool:
        if holder == self._me:
            return self._held.hold(
                shard=message.shard, epoch=message.epoch, entries=message.entries
            )
        answer = await self._peers.call(peer=holder, message=message, timeout_s=HOLD_CALL_S)
        return isinstance(answer, Success) and answer.unwrap() == KeyHeld(held=True)

    def _may_act(self, shard: KeyShard) -> bool:
        return self._ownership.may_act(_ownable(shard.name)) == shard.epoch

    def _on_activated(self, ownable: OwnableId, epoch: Epoch) -> None:
        kind, _, name = ownable.partition("/")
        if kind != OwnableKind.KEYS:
            return
        self._epochs_by_name[name] = epoch
        if self._nursery is None:
            self._to_open.append((name, epoch))
            return
        self._nursery.start_soon(self._open, name, epoch)

    def _on_lost(self, ownable: OwnableId) -> None:
        kind, _, name = ownable.partition("/")
        if kind == OwnableKind.KEYS:
            self._epochs_by_name.pop(name, None)
            self._owned_by_name.pop(name, None)

    async def _open(self, name: str, epoch: Epoch) -> None:
        """Fence earlier owners in the log and at the holders, read held entries, then serve."""
        opened = KeyShardOpened(shard=name, epoch=epoch, opened_at=self._clock.wall())
        if not await self._append_until_done(name, epoch, opened):
            return
        shard = KeyShard(name=name, epoch=epoch, fold=self._fold, rules=self._settings().keys)
        serving = self._fold.shard(name).serving
        entries, holders, complete = await self._read_back(name, epoch, serving)
        restored = shard.restore(entries)
        for first in range(0, len(restored), CARRY_CHUNK):
            chunk = restored[first : first + CARRY_CHUNK]
            carried = KeysCarriedForward(shard=name, epoch=epoch, entries=chunk)
            if not await self._append_until_done(name, epoch, carried):
                return
        ready = KeyShardReady(
            shard=name,
            epoch=epoch,
            holders=tuple(sorted(holders)),
            ready_at=self._clock.wall(),
            incomplete_until=0.0 if complete else self._clock.wall(),
        )
        if not await self._append_until_done(name, epoch, ready):
            return
        self._owned_by_name[name] = OwnedShard(shard=shard, holder_sets=(holders,))
        cause = "complete" if complete else "intents may be lost"
        self._events.record("keys.serving", subjects=(_ownable(name),), cause=cause)

    async def _append_until_done(self, name: str, epoch: Epoch, record: Any) -> bool:
        """Retry the append while this entry host owns the shard; return False once it does not."""
        while self._epochs_by_name.get(name) == epoch:
            appended = await self._appender.append(stream=self._stream, record=record)
            if isinstance(appended, Success):
                return self._epochs_by_name.get(name) == epoch
            await trio.sleep(RETRY_S)
        return False

    async def _read_back(
        self, name: str, epoch: Epoch, serving: KeyShardReady | None
    ) -> tuple[list[KeyEntry], frozenset[HostId], bool]:
        """Return the held entries, the new holders, and whether the entries are complete."""
        last_holders = frozenset(serving.holders) if serving else frozenset()
        targets = last_holders | self._ownership.roster()
        request = KeyRead(shard=name, epoch=epoch, serving=serving.epoch if serving else None)
        reads_by_host: dict[HostId, KeyReadAnswer] = {}

        async def read_from(host: HostId) -> None:
            read = await self._read_one(host, request)
            if read is not None:
                reads_by_host[host] = read

        complete = False
        for tried in range(READ_TRIES):
            async with trio.open_nursery() as nursery:
                for host in targets - reads_by_host.keys():
                    nursery.start_soon(read_from, host)
            answered = [
                h for h in last_holders if h in reads_by_host and reads_by_host[h].was_holder
            ]
            complete = self._is_complete(serving, len(answered))
            if complete or tried + 1 == READ_TRIES:
                break
            await trio.sleep(RETRY_S)
        entries = [entry for read in reads_by_host.values() for entry in read.entries]
        roster = self._ownership.roster()
        holders = frozenset(
            h for h, read in reads_by_host.items() if read.is_holder and h in roster
        )
        return entries, holders | {self._me}, complete

    def _is_complete(self, serving: KeyShardReady | None, answered: int) -> bool:
        if serving is None:
            return self._fold.first_offset in (None, 0)
        return intersects_every_majority(count=answered, of=len(serving.holders))

    async def _read_one(self, host: HostId, request: KeyRead) -> KeyReadAnswer | None:
        if host == self._me:
            read = self._held.read(
                shard=request.shard, epoch=request.epoch, serving=request.serving
            )
            return KeyReadAnswer(
                is_holder=read.is_holder, was_holder=read.was_holder, entries=read.entries
            )
        answer = await self._peers.call(peer=host, message=request, timeout_s=HOLD_CALL_S)
        if isinstance(answer, Failure):
            return None
        read_back: KeyReadAnswer = answer.unwrap()
        return read_back

    async def _maintain(self, owned: OwnedShard) -> None:
        """Write held entries once the log is back, then follow changes of the roster."""
        if not self._appender.is_log_up or not self._may_act(owned.shard):
            return
        if owned.needs_flush and not await self._flush(owned):
            return
        roster = self._ownership.roster()
        owned.rounds += 1
        is_current = len(owned.holder_sets) == 1 and owned.holder_sets[0] == roster
        if is_current and owned.rounds % HOLDER_REFRESH_ROUNDS:
            return
        await self._change_holders(owned, roster)

    async def _flush(self, owned: OwnedShard) -> bool:
        owned.needs_flush = False
        if await self.carry_forward(owned.shard, owned.shard.unlogged()):
            return True
        owned.needs_flush = True
        return False

    async def carry_forward(self, shard: KeyShard, entries: Iterable[KeyEntry]) -> bool:
        """Append entries again in chunks; return False as soon as an append is not confirmed."""
        pending = tuple(entries)
        for first in range(0, len(pending), CARRY_CHUNK):
            chunk = pending[first : first + CARRY_CHUNK]
            record = KeysCarriedForward(shard=shard.name, epoch=shard.epoch, entries=chunk)
            appended = await self._appender.append(stream=self._stream, record=record)
            if isinstance(appended, Failure):
                return False
        return True

    async def _change_holders(self, owned: OwnedShard, roster: frozenset[HostId]) -> None:
        request = KeyRead(
            shard=owned.shard.name, epoch=owned.shard.epoch, serving=owned.shard.epoch
        )
        holders = set()
        for host in roster:
            read = await self._read_one(host, request)
            if read is not None and read.is_holder:
                holders.add(host)
        new = frozenset(holders | {self._me})
        if owned.holder_sets == (new,):
            return
        owned.holder_sets = (*owned.holder_sets, new)
        if await self.announce(owned.shard, new):
            owned.holder_sets = (new,)

    async def announce(self, shard: KeyShard, holders: frozenset[HostId]) -> bool:
        """Record the new holders; return False if the append is not confirmed."""
        state = self._fold.shard(shard.name)
        record = KeyShardReady(
            shard=shard.name,
            epoch=shard.epoch,
            holders=tuple(sorted(holders)),
            ready_at=self._clock.wall(),
            incomplete_until=state.incomplete_until,
        )
        appended = await self._appender.append(stream=self._stream, record=record)
        return isinstance(appended, Success)

    async def reopen(self, owned: OwnedShard) -> bool:
        """Append the opening again under the same epoch, before the log trims it."""
        opened = KeyShardOpened(
            shard=owned.shard.name, epoch=owned.shard.epoch, opened_at=self._clock.wall()
        )
        appended = await self._appender.append(stream=self._stream, record=opened)
        if isinstance(appended, Failure):
            return False
        holders = frozenset().union(*owned.holder_sets)
        return len(owned.holder_sets) == 1 and await self.announce(owned.shard, holders)

    def owned(self) -> tuple[OwnedShard, ...]:
        """Return the served shards."""
        return tuple(self._owned_by_name.values())


def _ownable(name: str) -> OwnableId:
    return make_ownable_id(OwnableKind.KEYS, name)


def _not_run(intent: KeyIntent) -> KeyEnded:
    return KeyEnded(
        shard=intent.shard,
        key=intent.key,
        request_id=intent.request_id,
        outcome=Outcome.NOT_RUN,
    )


def _error(reason: Reason, detail: str) -> StepError:
    return StepError(step="keys.reserve", peer="", reason=reason, detail=detail)
