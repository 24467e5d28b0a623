"""Idempotency keys on one entry host: calls owners, holds intents, keeps records in the log."""

from collections import deque
from collections.abc import Callable
from typing import Any, Final

import trio
from returns.result import Failure, Result, Success

from galenastall.coordination.requests.keys import (
    HeldIntents,
    KeyAnswer,
    check_age,
    digest_of,
    home_of,
    shard_of,
)
from galenastall.node.requests.answer_cache import AnswerCache, CachedAnswer
from galenastall.node.requests.key_owner import KeyOwner, OwnedShard
from galenastall.node.requests.permit_settings import RequestSettings
from galenastall.protocol.clock import Clock
from galenastall.protocol.event_sink import EventSink
from galenastall.protocol.key_messages import (
    KeyAnswerFetch,
    KeyAnswerKept,
    KeyEnd,
    KeyEndAck,
    KeyHeld,
    KeyHold,
    KeyRead,
    KeyReadAnswer,
    KeyReserve,
    KeyReserved,
)
from galenastall.protocol.log_access import LogAppender, StreamFollower
from galenastall.protocol.ownership_view import OwnershipView
from galenastall.protocol.peers import PeerLink
from galenastall.state.errors import Reason, StepError
from galenastall.state.ids import (
    DataCentre,
    HostId,
    Offset,
    OwnableKind,
    RequestId,
    make_ownable_id,
)
from galenastall.state.key_fold import KeyEnded, KeyEntry, KeyFold
from galenastall.state.outcomes import Outcome

RESERVE_TIMEOUT_S: Final = 5.0
END_TIMEOUT_S: Final = 2.0
END_RETRY_S: Final = 1.0
END_TRIES: Final = 60
FETCH_TIMEOUT_S: Final = 1.0
MAINTENANCE_PERIOD_S: Final = 30.0
"""Period at which expired keys are dropped and old records are written again."""
CARRY_AFTER_S: Final = 1_800.0
"""Age at which a key's record is written again; well below the log's retention."""


class KeyService:
    """Client and owner side of idempotency keys on one entry host."""

    def __init__(
        self,
        *,
        data_centre: DataCentre,
        clock: Clock,
        peers: PeerLink,
        ownership: OwnershipView,
        appender: LogAppender,
        follower: StreamFollower,
        settings: Callable[[], RequestSettings],
        events: EventSink,
        carry_after_s: float = CARRY_AFTER_S,
    ) -> None:
        """Subscribe to `follower`, which follows the data centre's stream and must not run yet."""
        self._data_centre = data_centre
        self._clock = clock
        self._peers = peers
        self._me = peers.host_id
        self._ownership = ownership
        self._settings = settings
        self._follower = follower
        self._carry_after_s = carry_after_s
        self._offsets_by_time: deque[tuple[float, Offset]] = deque()
        self._ends: trio.MemorySendChannel[KeyEnded]
        self._ends, self._ends_in = trio.open_memory_channel[KeyEnded](10_000)
        self.answer_cache = AnswerCache()
        self.fold = KeyFold()
        self.held = HeldIntents()
        self.owner = KeyOwner(
            stream=follower.stream,
            fold=self.fold,
            held=self.held,
            clock=clock,
            peers=peers,
            ownership=ownership,
            appender=appender,
            settings=settings,
            events=events,
        )
        self.lost_ends = 0
        """Ends that could not be reported to an owner; their keys become `unknown`."""
        follower.subscribe(self.fold)
        peers.handle(KeyReserve, self._on_reserve)
        peers.handle(KeyEnd, self._on_end)
        peers.handle(KeyHold, self._on_hold)
        peers.handle(KeyRead, self._on_read)
        peers.handle(KeyAnswerFetch, self._on_fetch)

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self.owner.run)
            nursery.start_soon(self._report_ends, nursery)
            task_status.started()
            while True:
                await self._maintain()
                await trio.sleep(MAINTENANCE_PERIOD_S)

    def check(self, key: str) -> Result[tuple[float, DataCentre], StepError]:
        """Return a key's creation time and data centre, or why it is refused."""
        settings = self._settings()
        made = check_age(key, wall=self._clock.wall(), rules=settings.keys)
        if isinstance(made, Failure):
            return made
        made_at = made.unwrap()
        if not settings.key_homes:
            return Success((made_at, self._data_centre))
        return Success((made_at, home_of(key, made_at=made_at, homes=settings.key_homes)))

    async def reserve(
        self,
        *,
        key: str,
        operation: str,
        body: bytes,
        request_id: RequestId,
        made_at: float,
        ends_at: float,
    ) -> Result[KeyAnswer, StepError]:
        """Reserve the key for a request; on failure, nothing was sent and its state is unknown."""
        reservation = KeyReserve(
            key=key,
            digest=digest_of(operation=operation, body=body),
            request_id=request_id,
            made_at=made_at,
            ends_at=ends_at,
        )
        owner = self._owner_of(shard_of(key))
        if owner is None:
            return Failure(_error(Reason.UNAVAILABLE, "the key's shard has no owner now"))
        if owner == self._me:
            return await self.owner.reserve(runner=self._me, reservation=reservation)
        answer = await self._peers.call(
            peer=owner, message=reservation, timeout_s=RESERVE_TIMEOUT_S
        )
        if isinstance(answer, Failure):
            # The owner may have recorded the intent although its response was lost.
            self.ended(key=key, request_id=request_id, outcome=Outcome.NOT_RUN, status=0)
            return answer
        reserved: KeyReserved = answer.unwrap()
        return Success(reserved.answer)

    def ended(self, *, key: str, request_id: RequestId, outcome: Outcome, status: int) -> None:
        """Report the request's outcome to the key's owner in the background."""
        ended = KeyEnded(
            shard=shard_of(key), key=key, request_id=request_id, outcome=outcome, status=status
        )
        try:
            self._ends.send_nowait(ended)
        except trio.WouldBlock:
            self.lost_ends += 1

    async def fetch(self, first: KeyEntry) -> CachedAnswer | None:
        """Return the response to a key's request, if the entry host that ran it still caches it."""
        if first.runner == self._me:
            return self.answer_cache.get(first.request_id)
        message = KeyAnswerFetch(key=first.key, request_id=first.request_id)
        answer = await self._peers.call(
            peer=first.runner, message=message, timeout_s=FETCH_TIMEOUT_S
        )
        if isinstance(answer, Failure):
            return None
        kept: KeyAnswerKept = answer.unwrap()
        if not kept.found:
            return None
        return CachedAnswer(content_type=kept.content_type, body=kept.body)

    async def _report_ends(self, nursery: trio.Nursery) -> None:
        async for ended in self._ends_in:
            nursery.start_soon(self._report_end, ended)

    async def _report_end(self, ended: KeyEnded) -> None:
        for _ in range(END_TRIES):
            if await self._report_once(ended):
                return
            await trio.sleep(END_RETRY_S)
        self.lost_ends += 1

    async def _report_once(self, ended: KeyEnded) -> bool:
        owner = self._owner_of(ended.shard)
        if owner is None:
            return False
        if owner == self._me:
            return await self.owner.end(ended)
        message = KeyEnd(ended=ended)
        answer = await self._peers.call(peer=owner, message=message, timeout_s=END_TIMEOUT_S)
        return isinstance(answer, Success)

    def _owner_of(self, shard: str) -> HostId | None:
        return self._ownership.owner_of(make_ownable_id(OwnableKind.KEYS, shard))

    async def _on_reserve(self, sender: HostId, reservation: KeyReserve) -> Any:
        reserved = await self.owner.reserve(runner=sender, reservation=reservation)
        if isinstance(reserved, Failure):
            return reserved.failure()
        return KeyReserved(answer=reserved.unwrap())

    async def _on_end(self, sender: HostId, message: KeyEnd) -> Any:
        if await self.owner.end(message.ended):
            return KeyEndAck()
        return _error(Reason.NOT_OWNER, f"key shard {message.ended.shard}")

    async def _on_hold(self, sender: HostId, message: KeyHold) -> Any:
        held = self.held.hold(shard=message.shard, epoch=message.epoch, entries=message.entries)
        return KeyHeld(held=held)

    async def _on_read(self, sender: HostId, message: KeyRead) -> Any:
        read = self.held.read(shard=message.shard, epoch=message.epoch, serving=message.serving)
        return KeyReadAnswer(
            is_holder=read.is_holder, was_holder=read.was_holder, entries=read.entries
        )

    async def _on_fetch(self, sender: HostId, message: KeyAnswerFetch) -> Any:
        kept = self.answer_cache.get(message.request_id)
        if kept is None:
            return KeyAnswerKept(found=False)
        return KeyAnswerKept(found=True, content_type=kept.content_type, body=kept.body)

    async def _maintain(self) -> None:
        wall = self._clock.wall()
        self.fold.drop_expired(wall=wall)
        self.held.forget(fold=self.fold, wall=wall)
        horizon = self._horizon()
        for owned in self.owner.owned():
            await self._carry_old(owned, horizon)

    def _horizon(self) -> Offset:
        """Return the offset below which records are older than `carry_after_s`."""
        now = self._clock.now()
        self._offsets_by_time.append((now, self._follower.next_offset))
        horizon = Offset(0)
        while self._offsets_by_time and self._offsets_by_time[0][0] + self._carry_after_s <= now:
            horizon = self._offsets_by_time.popleft()[1]
        return horizon

    async def _carry_old(self, owned: OwnedShard, horizon: Offset) -> None:
        """Write a shard's old records again, including its opening, before they are trimmed."""
        name = owned.shard.name
        if self.fold.shard(name).opened_offset < horizon:
            await self.owner.reopen(owned)
        old = tuple(self.fold.recorded_before(shard=name, offset=horizon))
        await self.owner.carry_forward(owned.shard, old)


def _error(reason: Reason, detail: str) -> StepError:
    return StepError(step="keys.reserve", peer="", reason=reason, detail=detail)
