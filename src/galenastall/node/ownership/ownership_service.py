"""Driver of ownership: feeds the core from log, peers, list and clock; implements the view.

Events and the core's resulting commands run on the event loop without yielding in between, so that
a member that has received a claim never sends a confirmation as if it had not.
"""

from collections import deque
from collections.abc import Callable
from typing import Any, Final

import trio
from returns.result import Failure, Result, Success

import galenastall.protocol.ownership_messages  # noqa: F401 (registers the messages)
from galenastall.coordination.ownership.ownership import AppendOutcome, OwnershipCore
from galenastall.coordination.ownership.ownership_messages import (
    Activated,
    AppendRecord,
    Expelled,
    Fence,
    FenceAck,
    FetchTail,
    Heartbeat,
    Lost,
    OwnershipCommand,
    SendMessage,
    TailAnswer,
    TailRequest,
)
from galenastall.coordination.ownership.ownership_tail import RecordTail
from galenastall.coordination.ownership.ownership_timings import OwnershipTimings
from galenastall.node.host_list_service import HostListPoller
from galenastall.node.ownership.ownables import OwnableSet, ShardCounts, listed_entry_hosts
from galenastall.protocol.clock import Clock
from galenastall.protocol.codec import decode_record, encode_record
from galenastall.protocol.event_sink import EventSink, NullEventSink
from galenastall.protocol.log_access import LogAppender, StreamFollower
from galenastall.protocol.peers import PeerLink
from galenastall.state.errors import Reason, StepError
from galenastall.state.hosts import HostListing
from galenastall.state.ids import DataCentre, Epoch, HostId, Incarnation, Offset, OwnableId
from galenastall.state.ownership_records import Claim, HandOver, Member
from galenastall.state.records import LoggedRecord

TICK_S: Final = 0.1
IDLE_TICK_S: Final = 0.2
"""Tick while nothing is contested; still several per heartbeat interval."""
TAIL_TIMEOUT_S: Final = 1.0


class OwnershipService:
    """Ownership of one entry host; see protocol.ownership_view.OwnershipView."""

    def __init__(
        self,
        *,
        host_id: HostId,
        incarnation: Incarnation,
        data_centre: DataCentre,
        timings: OwnershipTimings,
        shards: ShardCounts,
        clock: Clock,
        appender: LogAppender,
        follower: StreamFollower,
        peers: PeerLink,
        host_list: HostListPoller,
        events: EventSink | None = None,
    ) -> None:
        """Subscribe to the data centre's stream, the peers and the list; `run` starts acting.

        `incarnation` must differ from that of every earlier process of this host.
        """
        self._data_centre = data_centre
        self._timings = timings
        self._current_timings = timings
        self._clock = clock
        self._appender = appender
        self._follower = follower
        self._peers = peers
        self._events = events or NullEventSink()
        self._first_incarnation = incarnation
        self._incarnation_count = 1
        self._core = OwnershipCore(
            me=Member(host=host_id, incarnation=incarnation), timings=timings
        )
        self._ownables = OwnableSet(
            data_centre=data_centre, shards=shards, lag_s=timings.list_lag_s
        )
        self._tail = RecordTail()
        self._activated_callbacks: list[Callable[[OwnableId, Epoch], None]] = []
        self._lost_callbacks: list[Callable[[OwnableId], None]] = []
        self._nursery: trio.Nursery | None = None
        self._commands: deque[OwnershipCommand] = deque()
        self._is_executing = False
        self._left = trio.Event()
        self.appended = 0
        """Records submitted to the log, for metrics."""
        self.messages = 0
        """Messages sent to peers, for metrics."""
        follower.subscribe(self)
        host_list.subscribe(self._on_listing)
        for message_type in (Heartbeat, Fence, FenceAck):
            peers.handle(message_type, self._on_message)
        peers.handle(TailRequest, self._on_tail_request)

    # OwnershipView

    def may_act(self, ownable: OwnableId) -> Epoch | None:
        """Return the epoch under which this entry host may act on `ownable` now, else None."""
        return self._core.may_act(ownable, self._clock.now())

    def owner_of(self, ownable: OwnableId) -> HostId | None:
        """Return the owner according to the log; None while there is none or it is contested."""
        state = self._core.fold.state_by_ownable.get(ownable)
        if state is None or state.tenure is None or not state.is_settled:
            return None
        return state.tenure.owner.host

    def owned(self) -> frozenset[OwnableId]:
        """Return what this entry host has activated and not lost."""
        return frozenset(self._core.holdings.holding_by_ownable)

    def roster(self) -> frozenset[HostId]:
        """Return the live members that are not leaving, this one included."""
        return frozenset(member.host for member in self._core.live) | {self._core.me.host}

    def on_activated(self, callback: Callable[[OwnableId, Epoch], None]) -> None:
        """Call back whenever this entry host becomes the owner of something."""
        self._activated_callbacks.append(callback)

    def on_lost(self, callback: Callable[[OwnableId], None]) -> None:
        """Call back whenever this entry host stops being an owner."""
        self._lost_callbacks.append(callback)

    # For operators and metrics

    @property
    def is_member(self) -> bool:
        """Whether this process is in the data centre's roster."""
        return self._core.fold.has_member(self._core.me)

    @property
    def has_log_confirmation(self) -> bool:
        """Whether the log's end was read recently enough to act on."""
        return self._core.confirmations.has_log_confirmation(self._clock.now())

    def ownables(self) -> frozenset[OwnableId]:
        """Return all that should have an owner in this data centre."""
        return self._core.ownables or frozenset()

    def apply_timings(self, timings: OwnershipTimings) -> None:
        """Use other timings from now on; takeovers still wait by those given at construction."""
        self._current_timings = timings
        self._core.apply_timings(timings)

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Participate until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            try:
                while True:
                    self._tick()
                    await trio.sleep(IDLE_TICK_S if self._core.is_idle else TICK_S)
            finally:
                self._nursery = None

    async def drain(self) -> None:
        """Hand over all ownables and leave the roster; return once that is logged.

        It does not return during a log outage: the caller sets a time limit and warns. Stop making
        decisions before the call.
        """
        self._core.begin_leave()
        await self._left.wait()

    def apply(self, logged: LoggedRecord) -> None:
        """Apply the next record of the data centre's stream."""
        self._tail.keep(logged)
        self._core.on_record(logged, self._clock.now())
        self._execute_commands()

    # Events in

    def _tick(self) -> None:
        now = self._clock.now()
        self._core.on_log_end(
            read_at=self._follower.log_end_read_at, next_offset=self._follower.next_offset, now=now
        )
        self._core.on_tick(now)
        self._execute_commands()
        if self._core.is_removed and self._core.is_leaving:
            self._left.set()

    def _on_listing(self, listing: HostListing, fetched_at: float) -> None:
        self._core.on_listing(
            listed_entry_hosts(listing, data_centre=self._data_centre), fetched_at
        )
        self._core.on_ownables(self._ownables.update(listing, fetched_at))

    async def _on_message(self, sender: HostId, message: Any) -> None:
        self._core.on_message(sender, message, self._clock.now())
        self._execute_commands()

    async def _on_tail_request(self, sender: HostId, request: TailRequest) -> Any:
        records = self._tail.since(request.start) if self._core.fold.is_complete else None
        if records is None:
            detail = f"records from {request.start} on are no longer retained"
            return StepError(step="ownership.tail", peer="", reason=Reason.NOT_FOUND, detail=detail)
        return TailAnswer(
            start=request.start,
            end=self._tail.end,
            offsets=tuple(logged.offset for logged in records),
            texts=tuple(encode_record(r.record, record_id=r.record_id) for r in records),
        )

    # Commands out

    def _execute_commands(self) -> None:
        """Execute commands in order, including those that callbacks cause."""
        self._commands.extend(self._core.drain_commands())
        if self._is_executing:
            return
        self._is_executing = True
        try:
            while self._commands:
                self._execute(self._commands.popleft())
        finally:
            self._is_executing = False

    def _execute(self, command: OwnershipCommand) -> None:
        match command:
            case SendMessage():
                self.messages += 1
                self._peers.send(peer=command.to, message=command.message)
            case AppendRecord():
                self._start(self._append, self._core, command)
            case FetchTail():
                self._start(self._fetch_tail, command)
            case Activated():
                self._activated(command)
            case Lost():
                self._lost(command)
            case Expelled():
                self._rejoin()

    def _start(self, work: Callable[..., Any], *args: Any) -> None:
        if self._nursery is not None:
            self._nursery.start_soon(work, *args)

    def _activated(self, command: Activated) -> None:
        self._events.record(
            "ownership.activated",
            subjects=(command.ownable,),
            fields={"epoch": str(command.epoch)},
        )
        for callback in self._activated_callbacks:
            callback(command.ownable, command.epoch)

    def _lost(self, command: Lost) -> None:
        self._events.record("ownership.lost", subjects=(command.ownable,))
        for callback in self._lost_callbacks:
            callback(command.ownable)

    def _rejoin(self) -> None:
        """Rejoin as a new member, since the log no longer lists the old incarnation."""
        self._incarnation_count += 1
        incarnation = Incarnation(f"{self._first_incarnation}+{self._incarnation_count}")
        cause = "the roster no longer lists this incarnation"
        self._events.record("ownership.expelled", cause=cause, fields={"next": incarnation})
        old = self._core
        self._core = OwnershipCore(
            me=Member(host=old.me.host, incarnation=incarnation),
            timings=self._timings,
            fold=old.fold,
        )
        self._core.apply_timings(self._current_timings)
        if old.ownables is not None:
            self._core.on_ownables(old.ownables)

    async def _append(self, core: OwnershipCore, command: AppendRecord) -> None:
        self.appended += 1
        appended = await self._appender.append(
            stream=self._follower.stream, record=command.record, record_id=command.record_id
        )
        core.on_append_outcome(command.record_id, _outcome(appended), self._clock.now())
        if isinstance(appended, Success):
            self._record_written(command.record)
        if isinstance(appended, Failure):
            error = appended.failure()
            self._events.record("ownership.append_failed", peer=error.peer, cause=str(error))
        self._execute_commands()

    def _record_written(self, record: Any) -> None:
        match record:
            case Claim(ownables=ownables):
                self._events.record("ownership.claimed", subjects=ownables)
            case HandOver(gifts=gifts):
                for gift in gifts:
                    peer = gift.to.host if gift.to else ""
                    self._events.record("ownership.handed_over", peer=peer, subjects=gift.ownables)

    async def _fetch_tail(self, command: FetchTail) -> None:
        answered = await self._peers.call(
            peer=command.peer,
            message=TailRequest(start=command.start),
            timeout_s=TAIL_TIMEOUT_S,
        )
        if not isinstance(answered, Success):
            return
        answer: TailAnswer = answered.unwrap()
        records = list(self._decode_tail(answer))
        if len(records) < len(answer.texts):
            return
        self._tail.extend(start=answer.start, end=answer.end, records=records)
        self._core.on_tail(
            start=answer.start, end=answer.end, records=records, now=self._clock.now()
        )
        self._execute_commands()

    def _decode_tail(self, answer: TailAnswer) -> list[LoggedRecord]:
        stream = self._follower.stream
        decoded = (
            decode_record(text, stream=stream, offset=offset)
            for offset, text in zip(answer.offsets, answer.texts, strict=True)
        )
        return [result.unwrap() for result in decoded if isinstance(result, Success)]


def _outcome(appended: Result[Offset, StepError]) -> AppendOutcome:
    if isinstance(appended, Success):
        return AppendOutcome.APPENDED
    if appended.failure().may_have_taken_effect:
        return AppendOutcome.UNKNOWN
    return AppendOutcome.NOT_APPENDED
