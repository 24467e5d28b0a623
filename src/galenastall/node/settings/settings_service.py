"""The shared settings in force on this entry host, and the changes that operators request.

Changes are read from the log. Peers announce their positions to each other, so an entry host that
can't read the log, or finds it trimmed, fetches what it lacks from a peer. The settings in force
never revert to an older state. See docs/design/settings.md.
"""

import random
from collections.abc import Callable, Collection
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

import msgspec
import trio
from returns.result import Failure, Result, Success

from galenastall.node.settings.settings_catch_up import RecentChanges, SettingsCatchUp
from galenastall.protocol.clock import Clock
from galenastall.protocol.event_sink import EventSink, NullEventSink
from galenastall.protocol.log_access import LogAppender, StreamFollower
from galenastall.protocol.peers import PeerLink
from galenastall.state.errors import Reason, StepError
from galenastall.state.ids import SETTINGS_STREAM, ChangeId, HostId, Offset, RecordId
from galenastall.state.key_home_history import find_early_homes, find_moved_keys
from galenastall.state.records import LoggedRecord
from galenastall.state.settings_paths import split_path
from galenastall.state.settings_records import SettingsChange, SettingsSnapshot, Verdict
from galenastall.state.settings_tree import SettingsFold
from galenastall.state.shared_settings import SharedSettings

MAX_CHANGE_BYTES: Final = 256 * 1024
SNAPSHOT_CHECK_S: Final = 60.0
"""Mean time between an entry host's checks whether a snapshot is due, in a small fleet."""
SNAPSHOT_CHECK_PER_HOST_S: Final = 5.0
"""Added for each entry host, so that two rarely find the same snapshot due at once."""


class ChangePhase(StrEnum):
    """What is known of a change."""

    DECIDED = "decided"
    OPEN = "open"
    """It was sent to the log, and whether it was appended is not known yet."""
    NEEDS_NEWER_VERSION = "needs_newer_version"
    """It is in the log, but this version can't evaluate it."""
    NOT_SEEN = "not_seen"
    """Not in the log as far as it was read, or decided so long ago that its verdict was dropped."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ChangeStatus:
    """Status of a change."""

    change_id: ChangeId
    phase: ChangePhase
    read_up_to: Offset
    """Offset up to which this entry host has folded the log."""
    verdict: Verdict | None = None


class SettingsService:
    """Holds the settings in force, submits changes, writes snapshots; see the module docstring."""

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        appender: LogAppender,
        follower: StreamFollower,
        peers: PeerLink,
        peer_ids: Callable[[], Collection[HostId]],
        find_problem: Callable[[SharedSettings], str | None] = lambda _: None,
        events: EventSink | None = None,
    ) -> None:
        """`find_problem` may reject settings that the schema allows, before they are logged."""
        self._clock = clock
        self._rng = rng
        self._appender = appender
        self._follower = follower
        self._peer_ids = peer_ids
        self._find_problem = find_problem
        self._events = events or NullEventSink()
        self._callbacks: list[Callable[[SharedSettings], None]] = []
        self._recent = RecentChanges()
        self._open: set[ChangeId] = set()
        self._snapshot_at: float | None = None
        self._snapshot_offset = Offset(-1)
        self.fold = SettingsFold()
        self._in_force = self.fold.settings
        self.catch_up = SettingsCatchUp(
            fold=self.fold,
            recent=self._recent,
            clock=clock,
            rng=rng,
            follower=follower,
            is_log_up=lambda: appender.is_log_up,
            peers=peers,
            peer_ids=peer_ids,
            apply_record=self._apply_record,
            on_adopted=self._publish,
            events=self._events,
        )
        follower.subscribe(self)

    @property
    def current(self) -> SharedSettings:
        """The settings in force here."""
        return self.fold.settings

    @property
    def next_offset(self) -> Offset:
        """All records before this offset are in force or rejected; never decreases."""
        return self.fold.next_offset

    def on_change(self, callback: Callable[[SharedSettings], None]) -> None:
        """Call `callback` on the event loop with the settings whenever they have changed."""
        self._callbacks.append(callback)

    def not_ready_reasons(self) -> tuple[str, ...]:
        """Return why this entry host must not serve with its settings; empty if it may."""
        return self.catch_up.not_ready_reasons()

    def apply(self, logged: LoggedRecord) -> None:
        """Fold a record that the follower read."""
        self._apply_record(logged)

    async def change(self, change: SettingsChange) -> Result[Verdict, StepError]:
        """Append a change and return the verdict once it was read back at its offset.

        A Failure says whether it may still take effect; query `status`, or repeat the same change.
        """
        known = self.fold.verdict(change.change_id)
        if known is not None:
            return self._resubmission_result(change, known)
        refusal = self._refusal(change)
        if refusal is not None:
            self._events.record(
                "settings.not_submitted", subjects=(change.change_id,), cause=refusal.detail
            )
            return Failure(refusal)
        self._events.record(
            "settings.submitted",
            subjects=(change.change_id,),
            fields={"path": change.path, "author": change.author},
        )
        self._open.add(change.change_id)
        appended = await self._appender.append(
            stream=SETTINGS_STREAM,
            record=change,
            record_id=RecordId(f"settings/{change.change_id}/{change.content()}"),
        )
        if isinstance(appended, Failure) and not appended.failure().may_have_taken_effect:
            self._open.discard(change.change_id)
        known = self.fold.verdict(change.change_id)
        if known is not None:
            return self._resubmission_result(change, known)
        if isinstance(appended, Failure):
            return Failure(appended.failure())
        detail = f"logged at {appended.unwrap()}, not decided on this entry host yet"
        if self.fold.is_blocked(change.change_id):
            detail = f"logged at {appended.unwrap()}, to be evaluated by a newer version"
        return Failure(self._error(Reason.TIMEOUT, detail))

    def status(self, change_id: ChangeId) -> ChangeStatus:
        """Return the status of a change."""
        verdict = self.fold.verdict(change_id)
        phase = ChangePhase.NOT_SEEN
        if verdict is not None:
            phase = ChangePhase.DECIDED
        elif self.fold.is_blocked(change_id):
            phase = ChangePhase.NEEDS_NEWER_VERSION
        elif change_id in self._open:
            phase = ChangePhase.OPEN
        return ChangeStatus(
            change_id=change_id,
            phase=phase,
            read_up_to=self.fold.next_offset,
            verdict=verdict,
        )

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Catch up with peers and write snapshots until cancelled; reports started at once."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self.catch_up.run)
            nursery.start_soon(self._write_snapshots)
            task_status.started()

    def _apply_record(self, logged: LoggedRecord) -> None:
        before = self.fold.next_offset
        self.fold.apply(logged)
        if isinstance(logged.record, SettingsSnapshot):
            self._snapshot_at = logged.record.written_at
            self._snapshot_offset = logged.offset
        if isinstance(logged.record, SettingsChange):
            self._recent.note(logged.offset, logged.record)
        if self.fold.next_offset > before:
            self._report(logged)
            self._publish()

    def _report(self, logged: LoggedRecord) -> None:
        if not isinstance(logged.record, SettingsChange):
            return
        change = logged.record
        self._open.discard(change.change_id)
        verdict = self.fold.verdict(change.change_id)
        step = "settings.blocked" if verdict is None else f"settings.{verdict.kind.value}"
        self._events.record(
            step,
            subjects=(change.change_id,),
            cause="" if verdict is None else verdict.detail,
            fields={"path": change.path, "author": change.author, "offset": str(logged.offset)},
        )

    def _publish(self) -> None:
        if self.fold.settings is self._in_force:
            return
        self._in_force = self.fold.settings
        for callback in self._callbacks:
            callback(self._in_force)

    def _resubmission_result(
        self, change: SettingsChange, known: Verdict
    ) -> Result[Verdict, StepError]:
        if known.content == change.content():
            return Success(known)
        detail = f"change id {change.change_id!r} was used for another change at {known.offset}"
        return Failure(self._error(Reason.CONFLICT, detail))

    def _refusal(self, change: SettingsChange) -> StepError | None:
        reasons = self.not_ready_reasons()
        if reasons:
            return self._error(Reason.UNAVAILABLE, f"not submitted: {'; '.join(reasons)}")
        try:
            split_path(change.path)
        except ValueError as error:
            return self._error(Reason.INVALID, f"not submitted: {error}")
        size = len(msgspec.json.encode(change))
        if size > MAX_CHANGE_BYTES:
            detail = f"not submitted: {size} bytes, at most {MAX_CHANGE_BYTES} are allowed"
            return self._error(Reason.INVALID, detail)
        built = self.fold.preview(change.path, change.subtree)
        problem = (
            self._find_new_problem(built.unwrap())
            if isinstance(built, Success)
            else built.failure()
        )
        if problem is not None:
            return self._error(Reason.INVALID, f"not submitted: {problem}")
        return None

    def _find_new_problem(self, after: SharedSettings) -> str | None:
        before = self.fold.settings
        return (
            find_moved_keys(before=before, after=after)
            or find_early_homes(before=before, after=after, now=self._clock.wall())
            or self._find_problem(after)
        )

    async def _write_snapshots(self) -> None:
        while True:
            hosts = 1 + len(self._peer_ids())
            mean_s = SNAPSHOT_CHECK_S + SNAPSHOT_CHECK_PER_HOST_S * hosts
            await trio.sleep(mean_s * self._rng.uniform(0.5, 1.5))
            if self._is_snapshot_due():
                await self._write_snapshot()

    def _is_snapshot_due(self) -> bool:
        can_write = self._appender.is_log_up and not self.not_ready_reasons()
        if not can_write or not self.fold.digest or self.fold.next_offset == 0:
            return False
        limits = self.current.log
        records = self.fold.next_offset - 1 - self._snapshot_offset
        if self._snapshot_at is None or records >= limits.snapshot_every_records:
            return True
        return self._clock.wall() - self._snapshot_at >= limits.snapshot_every_s

    async def _write_snapshot(self) -> None:
        snapshot = self.fold.snapshot(written_at=self._clock.wall())
        appended = await self._appender.append(stream=SETTINGS_STREAM, record=snapshot)
        cause = str(appended.failure()) if isinstance(appended, Failure) else ""
        self._events.record("settings.snapshot", cause=cause)

    def _error(self, reason: Reason, detail: str) -> StepError:
        return StepError(step="settings.change", peer="", reason=reason, detail=detail)
