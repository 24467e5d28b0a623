"""Bring the shared settings up to date from peers, and detect hosts whose settings differ.

Each entry host sends its position to a few random peers every few seconds. One that receives a
higher position fetches what it lacks: the changes, or the whole state if the peer no longer has
them.
"""

import random
from collections import deque
from collections.abc import Callable, Collection
from typing import Any, Final

import trio
from returns.result import Success

from galenastall.protocol.clock import Clock
from galenastall.protocol.event_sink import EventSink
from galenastall.protocol.log_access import StreamFollower
from galenastall.protocol.peers import PeerLink
from galenastall.protocol.settings_messages import (
    FetchedChange,
    SettingsFetch,
    SettingsFetched,
    SettingsPosition,
    SettingsPositionQuery,
)
from galenastall.state.ids import SETTINGS_STREAM, HostId, Offset, RecordId
from galenastall.state.records import LoggedRecord, UnknownRecord
from galenastall.state.settings_records import SettingsChange
from galenastall.state.settings_tree import SettingsFold

ANNOUNCE_EVERY_S: Final = 2.0
ANNOUNCE_FANOUT: Final = 2
CALL_TIMEOUT_S: Final = 2.0
START_GRACE_S: Final = 3.0
"""How long a new entry host waits for the log before it starts from its peers' state."""
LOG_GRACE_S: Final = 1.0
"""How long the log may take to deliver what a peer already has, before the peer is queried."""
DIGEST_REPORT_MAX_AGE_S: Final = 30.0
"""How long a peer's agreement or disagreement on the digest counts."""
RECENT_CHANGES: Final = 256
MAX_FILLED_OFFSETS: Final = 10_000


class RecentChanges:
    """The last changes with their offsets, for peers without them; the state covers older ones."""

    def __init__(self) -> None:
        self._changes: deque[FetchedChange] = deque(maxlen=RECENT_CHANGES)
        self._complete_from = Offset(0)

    def note(self, offset: Offset, change: SettingsChange) -> None:
        """Add a change that was read; offsets must increase."""
        if self._changes and offset <= self._changes[-1].offset:
            return
        if len(self._changes) == RECENT_CHANGES:
            self._complete_from = Offset(self._changes[0].offset + 1)
        self._changes.append(FetchedChange(offset=offset, change=change))

    def restart(self, offset: Offset) -> None:
        """Drop all changes, as those right before `offset` were not read."""
        self._changes.clear()
        self._complete_from = offset

    def since(self, offset: Offset) -> tuple[FetchedChange, ...] | None:
        """Return the changes from `offset` on, None if some may be missing."""
        if offset < self._complete_from:
            return None
        return tuple(found for found in self._changes if found.offset >= offset)


class SettingsCatchUp:
    """Exchanges positions and missing changes with peers."""

    def __init__(
        self,
        *,
        fold: SettingsFold,
        recent: RecentChanges,
        clock: Clock,
        rng: random.Random,
        follower: StreamFollower,
        is_log_up: Callable[[], bool],
        peers: PeerLink,
        peer_ids: Callable[[], Collection[HostId]],
        apply_record: Callable[[LoggedRecord], None],
        on_adopted: Callable[[], None],
        events: EventSink,
    ) -> None:
        self._fold = fold
        self._recent = recent
        self._clock = clock
        self._rng = rng
        self._follower = follower
        self._is_log_up = is_log_up
        self._peers = peers
        self._peer_ids = peer_ids
        self._apply_record = apply_record
        self._on_adopted = on_adopted
        self._events = events
        self._is_caught_up = False
        self._digest_reports_by_id: dict[HostId, tuple[float, bool]] = {}
        self._best_position: tuple[Offset, HostId] | None = None
        self._fetch_needed = trio.Event()
        self.digest_mismatches = 0
        """Positions received with this entry host's offset and another digest, for metrics."""
        peers.handle(SettingsPosition, self._on_position)
        peers.handle(SettingsPositionQuery, self._on_position_request)
        peers.handle(SettingsFetch, self._on_fetch)

    def position(self) -> SettingsPosition:
        """Return the position of this entry host."""
        return SettingsPosition(
            next_offset=self._fold.next_offset,
            digest=self._fold.digest,
            is_ready=not self.not_ready_reasons(),
        )

    def not_ready_reasons(self) -> tuple[str, ...]:
        """Return why this entry host must not serve with its settings; empty if it may."""
        self._note_log()
        if not self._is_caught_up:
            if self._follower.log_end_read_at is not None:
                return (
                    "the log has no snapshot of the settings that connects to its retained records",
                )
            return ("no settings yet, neither from the log nor from a peer",)
        if self._is_outvoted():
            return ("settings differ from those of most peers at the same offset",)
        return ()

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Announce, query and fetch until cancelled; reports started at once."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._announce)
            nursery.start_soon(self._fetch_when_behind)
            task_status.started()

    async def _announce(self) -> None:
        started_at = self._clock.now()
        while True:
            ids = sorted(self._peer_ids())
            if not self.not_ready_reasons():
                for peer in self._rng.sample(ids, min(ANNOUNCE_FANOUT, len(ids))):
                    self._peers.send(peer=peer, message=self.position())
            elif not self._is_caught_up and self._clock.now() - started_at >= START_GRACE_S:
                await self._start_from_peers(ids)
            await trio.sleep(ANNOUNCE_EVERY_S * self._rng.uniform(0.75, 1.25))

    async def _start_from_peers(self, ids: Collection[HostId]) -> None:
        """Adopt the newest state of the peers that answer, while the log can't be read."""
        if self._follower.log_end_read_at is None and self._is_log_up():
            return

        async def ask(peer: HostId) -> None:
            answer = await self._peers.call(
                peer=peer, message=SettingsPositionQuery(), timeout_s=CALL_TIMEOUT_S
            )
            match answer:
                case Success(SettingsPosition(is_ready=True) as position):
                    found.append((position.next_offset, peer))

        found: list[tuple[Offset, HostId]] = []
        async with trio.open_nursery() as nursery:
            for peer in ids:
                nursery.start_soon(ask, peer)
        for next_offset, peer in sorted(found, reverse=True):
            if self._is_caught_up or await self._fetch(peer, next_offset):
                return

    async def _on_position(self, sender: HostId, position: Any) -> None:
        own = self._fold.next_offset
        if position.next_offset == own and position.digest and self._fold.digest:
            self._note_digest_report(sender, position.digest)
        if position.is_ready and position.next_offset > own:
            if self._best_position is None or position.next_offset > self._best_position[0]:
                self._best_position = (position.next_offset, sender)
            self._fetch_needed.set()

    def _note_digest_report(self, sender: HostId, digest: str) -> None:
        agrees = digest == self._fold.digest
        self._digest_reports_by_id[sender] = (self._clock.now(), agrees)
        if agrees:
            return
        self.digest_mismatches += 1
        self._events.record(
            "settings.digest_mismatch",
            peer=sender,
            cause=f"own {self._fold.digest}, peer's {digest}",
            fields={"offset": str(self._fold.next_offset)},
        )

    def _is_outvoted(self) -> bool:
        now = self._clock.now()
        fresh = [
            agrees
            for at, agrees in self._digest_reports_by_id.values()
            if now - at < DIGEST_REPORT_MAX_AGE_S
        ]
        return fresh.count(False) > fresh.count(True)

    async def _fetch_when_behind(self) -> None:
        while True:
            await self._fetch_needed.wait()
            self._fetch_needed = trio.Event()
            if self._is_log_up():
                await trio.sleep(LOG_GRACE_S)
            best, self._best_position = self._best_position, None
            if best is not None and best[0] > self._fold.next_offset:
                await self._fetch(best[1], best[0])

    async def _fetch(self, peer: HostId, target: Offset) -> bool:
        have = self._fold.next_offset
        answer = await self._peers.call(
            peer=peer, message=SettingsFetch(have=have), timeout_s=CALL_TIMEOUT_S
        )
        match answer:
            case Success(SettingsFetched() as fetched):
                self._apply_fetched(fetched)
        is_there = self._fold.next_offset >= target
        if is_there and not self._is_caught_up:
            self._is_caught_up = True
            self._events.record("settings.started_from_peer", peer=peer)
        if self._fold.next_offset > have:
            self._events.record(
                "settings.fetched", peer=peer, fields={"offset": str(self._fold.next_offset)}
            )
        return is_there

    def _apply_fetched(self, fetched: SettingsFetched) -> None:
        if fetched.snapshot is not None:
            if self._fold.adopt(fetched.snapshot):
                self._recent.restart(self._fold.next_offset)
                self._on_adopted()
            return
        have = self._fold.next_offset
        if fetched.next_offset - have > MAX_FILLED_OFFSETS:
            return
        changes_by_offset = {found.offset: found.change for found in fetched.changes}
        for offset in range(have, fetched.next_offset):
            change = changes_by_offset.get(Offset(offset))
            record = UnknownRecord(name="settings.passed_over") if change is None else change
            self._apply_record(
                LoggedRecord(
                    stream=SETTINGS_STREAM,
                    offset=Offset(offset),
                    record_id=RecordId(""),
                    record=record,
                )
            )

    async def _on_position_request(self, sender: HostId, ask: Any) -> SettingsPosition:
        return self.position()

    async def _on_fetch(self, sender: HostId, fetch: Any) -> SettingsFetched:
        next_offset = self._fold.next_offset
        changes = self._recent.since(fetch.have)
        if changes is not None and next_offset - fetch.have <= MAX_FILLED_OFFSETS:
            folded = tuple(found for found in changes if found.offset < next_offset)
            return SettingsFetched(next_offset=next_offset, changes=folded)
        if not self._fold.digest:
            return SettingsFetched(next_offset=fetch.have)
        snapshot = self._fold.snapshot(written_at=self._clock.wall())
        return SettingsFetched(next_offset=next_offset, snapshot=snapshot)

    def _note_log(self) -> None:
        """Set the caught-up flag once all records up to a read of the log's end are folded."""
        if self._follower.log_end_read_at is None or self._is_caught_up:
            return
        self._is_caught_up = self._fold.next_offset >= self._follower.next_offset
