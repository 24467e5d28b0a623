"""Ownership mechanism of one entry host as a state machine: events and time in, commands out.

One mechanism for workers, upstreams, key shards and job shards. See docs/design/ownership.md for
why no two members may act on one ownable at a time.
"""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import replace
from enum import StrEnum
from math import inf
from typing import Any, Final

from galenastall.coordination.ownership.membership import Membership
from galenastall.coordination.ownership.ownership_claims import ClaimPlanner
from galenastall.coordination.ownership.ownership_confirmations import Confirmations
from galenastall.coordination.ownership.ownership_heartbeats import HeartbeatWriter
from galenastall.coordination.ownership.ownership_holdings import Holdings
from galenastall.coordination.ownership.ownership_maintenance import OwnershipMaintenance
from galenastall.coordination.ownership.ownership_messages import (
    AppendRecord,
    Expelled,
    Fence,
    FenceAck,
    FetchTail,
    Heartbeat,
    OwnershipCommand,
    SendMessage,
)
from galenastall.coordination.ownership.ownership_takeover import Takeover
from galenastall.coordination.ownership.ownership_timings import OwnershipTimings
from galenastall.state.ids import Epoch, HostId, Offset, OwnableId, RecordId
from galenastall.state.ownership_fold import OWNERSHIP_RECORDS, OwnershipFold
from galenastall.state.ownership_records import (
    Activate,
    Claim,
    HandOver,
    Join,
    Member,
    Members,
    OwnershipSnapshot,
    UpdateRoster,
)
from galenastall.state.records import LoggedRecord

SERIAL_RECORDS: Final = (HandOver, UpdateRoster)
"""Records with a generation: written one at a time, so that the log has them in order."""


class AppendOutcome(StrEnum):
    """Outcome of an append."""

    APPENDED = "appended"
    NOT_APPENDED = "not_appended"
    UNKNOWN = "unknown"


class OwnershipCore:
    """Decides what this member owns; call `may_act` right before any command is sent."""

    def __init__(
        self, *, me: Member, timings: OwnershipTimings, fold: OwnershipFold | None = None
    ) -> None:
        """Own nothing; start from the log state in `fold`, if given."""
        self.me = me
        self.timings = timings
        self.fold = fold or OwnershipFold()
        self.confirmations = Confirmations(me=me.incarnation, timings=timings)
        self.membership = Membership(me=me, timings=timings)
        self.holdings = Holdings(me=me, fold=self.fold)
        self.claims = ClaimPlanner(
            me=me, timings=timings, fold=self.fold, membership=self.membership
        )
        self._heartbeats = HeartbeatWriter(
            me=me,
            timings=timings,
            fold=self.fold,
            confirmations=self.confirmations,
            membership=self.membership,
            holdings=self.holdings,
        )
        self._maintenance = OwnershipMaintenance(core=self)
        self.takeovers_by_epoch: dict[Epoch, Takeover] = {}
        self.ownables: frozenset[OwnableId] | None = None
        self.live: Members = ()
        """Members that are responsive and not leaving, this one included."""
        self.eligible: Members = ()
        """The live members that may be assigned more."""
        self.live_since = inf
        """Time since which `live` and `eligible` have been the same."""
        self.is_leaving = False
        self.has_joined = False
        self.is_removed = False
        self._last_tick = -inf
        self._commands: list[OwnershipCommand] = []
        self._in_flight: dict[RecordId, Any] = {}
        self._retry_at_by_type: dict[type[Any], float] = {}
        self._records_written = 0
        self._fetching_tail_until = -inf
        self._handlers: dict[type[Any], Callable[[HostId, Any, float], None]] = {
            Heartbeat: self._on_heartbeat,
            Fence: self._on_fence,
            FenceAck: self._on_fence_ack,
        }

    def may_act(self, ownable: OwnableId, now: float) -> Epoch | None:
        """Return the epoch under which this member may act on `ownable` at `now`, else None."""
        holding = self.holdings.holding_by_ownable.get(ownable)
        if holding is None:
            return None
        if self.confirmations.has_log_confirmation(now) or self.confirmations.has_peer_confirmation(
            holding.roster, now
        ):
            return holding.epoch
        return None

    def apply_timings(self, timings: OwnershipTimings) -> None:
        """Use other timings from now on.

        Takeovers keep waiting for the spans that this core was created with: no member acts
        on longer ones, so members may adopt a change one after the other.
        """
        self.confirmations.timings = timings
        self.membership.timings = timings
        caps = self.timings
        self.timings = replace(
            timings, vouch_s=caps.vouch_s, read_s=caps.read_s, flight_s=caps.flight_s
        )

    def drain_commands(self) -> list[OwnershipCommand]:
        """Return and clear the commands to carry out, in order."""
        commands, self._commands = self._commands, []
        return commands

    def on_record(self, logged: LoggedRecord, now: float) -> None:
        """Process the next record of the stream."""
        if logged.offset < self.fold.next_offset:
            return
        self.fold.apply(logged)
        if isinstance(logged.record, OWNERSHIP_RECORDS):
            self._after_record(logged, now)

    def on_log_end(self, *, read_at: float | None, next_offset: Offset, now: float) -> None:
        """Note that all records below `next_offset` were fed.

        A read sent at `read_at` showed that this was the log's end; None if the end was not
        reached yet.
        """
        if next_offset > self.fold.next_offset:
            self.fold.read_to(next_offset)
            self._refresh(self.fold.drain_touched())
        if read_at is not None and self.fold.is_complete:
            self.confirmations.on_own_log_end(read_at)

    def on_tail(
        self, *, start: Offset, end: Offset, records: Sequence[LoggedRecord], now: float
    ) -> None:
        """Process a peer's tail: all ownership records in [start, end)."""
        self._fetching_tail_until = -inf
        if start > self.fold.next_offset or not self.fold.is_complete:
            return
        for logged in records:
            if logged.offset >= self.fold.next_offset:
                self.fold.skip_to(logged.offset)
                self.on_record(logged, now)
        self.fold.skip_to(end)

    def on_message(self, sender: HostId, message: Heartbeat | Fence | FenceAck, now: float) -> None:
        """Process a message from another member."""
        self._handlers[type(message)](sender, message, now)

    def on_listing(self, listed: frozenset[HostId], now: float) -> None:
        """Process which hosts the platform's list shows as live or leaving, as fetched at `now`."""
        watched = {member.host for member in self.fold.members()}
        for state in self.fold.state_by_ownable.values():
            if state.tenure is not None:
                watched.update(member.host for member in state.tenure.members)
        self.membership.on_listing(listed, watched, now)

    def on_ownables(self, ownables: frozenset[OwnableId]) -> None:
        """Replace the set of ownables that should have an owner."""
        self.ownables = ownables

    def on_append_outcome(self, record_id: RecordId, outcome: AppendOutcome, now: float) -> None:
        """Process the outcome of an AppendRecord.

        A record that was appended stays in flight until it is read.
        """
        if outcome is AppendOutcome.APPENDED:
            return
        record = self._in_flight.pop(record_id, None)
        if record is None:
            return
        self._retry_at_by_type[type(record)] = now + self.timings.append_retry_s
        if not isinstance(record, SERIAL_RECORDS):
            return
        if outcome is AppendOutcome.UNKNOWN:
            self._maintenance.must_confirm = True
            return
        self.confirmations.drop_roster(record.generation)
        if not self.is_leaving:
            self._refresh(self.holdings.resume_undone(record.generation))

    def on_tick(self, now: float) -> None:
        """Perform the steps that are due; call several times per `heartbeat_s`."""
        if now - self._last_tick > self.timings.suspect_s / 2:
            self.membership.reset_timeouts(now)
        self._last_tick = now
        if self.is_leaving and not self.has_joined:
            self.is_removed = True
        if (
            self.is_removed
            or not self.fold.is_complete
            or self.confirmations.log_end_read_at == -inf
        ):
            return
        if not self.fold.has_member(self.me):
            self._join(now)
            return
        self._update_live(now)
        self._commands.extend(self._heartbeats.round(now, is_leaving=self.is_leaving))
        self._advance_takeovers(now)
        if self.confirmations.has_log_confirmation(now):
            self._maintenance.run(now)

    @property
    def is_idle(self) -> bool:
        """Whether nothing is in progress that a tick would continue."""
        under_way = self.takeovers_by_epoch or self._in_flight or self.is_leaving
        return not under_way and self.fold.has_member(self.me)

    def begin_leave(self) -> None:
        """Stop claiming, hand over everything, then leave the roster."""
        self.is_leaving = True
        self.takeovers_by_epoch.clear()

    def append(self, record: Any, now: float) -> bool:
        """Append unless a record of its kind is in flight or failed a moment ago."""
        kinds = SERIAL_RECORDS if isinstance(record, SERIAL_RECORDS) else (type(record),)
        if any(isinstance(other, kinds) for other in self._in_flight.values()):
            return False
        if any(now < self._retry_at_by_type.get(kind, -inf) for kind in kinds):
            return False
        self._records_written += 1
        record_id = RecordId(f"{self.me.incarnation}-{self._records_written}")
        self._in_flight[record_id] = record
        self._commands.append(AppendRecord(record_id=record_id, record=record))
        return True

    def suspend(self, ownables: Sequence[OwnableId]) -> None:
        """Stop acting on these ownables."""
        self.holdings.suspend(ownables)
        self._refresh(ownables)

    def wanted_members(self) -> Members:
        """Return the roster that new tenures should name: all members not known to be dead."""
        return tuple(
            member
            for member in self.fold.members()
            if member == self.me or not self.membership.is_gone(member.host)
        )

    def _join(self, now: float) -> None:
        if self.has_joined:
            self.is_removed = True
            if not self.is_leaving:
                self._commands.append(Expelled())
            return
        if self.confirmations.has_log_confirmation(now):
            self.append(Join(member=self.me, seen=self.fold.next_offset), now)

    def _after_record(self, logged: LoggedRecord, now: float) -> None:
        record = logged.record
        resumed: tuple[OwnableId, ...] = ()
        entry = self.fold.roster_by_incarnation.get(self.me.incarnation)
        self._in_flight.pop(logged.record_id, None)
        if isinstance(record, OwnershipSnapshot) and self._in_flight:
            self._drop_in_flight()
        if isinstance(record, (*SERIAL_RECORDS, OwnershipSnapshot)) and entry is not None:
            self.confirmations.confirm_generation(entry.generation)
            resumed = self.holdings.resume(entry.generation)
        self.holdings.forget_read()
        self._refresh(self.fold.drain_touched().union(resumed))
        if isinstance(record, Claim) and record.by == self.me and not self.is_leaving:
            self._start_takeover(Epoch(logged.offset), now)
        elif isinstance(record, Activate) and record.by == self.me:
            self.takeovers_by_epoch.pop(record.epoch, None)
        self._maintenance.on_record(record, now)
        members = self.fold.members()
        self.membership.track(members, now)
        self.has_joined = self.has_joined or entry is not None

    def _drop_in_flight(self) -> None:
        """Stop waiting for records that a snapshot may have replaced."""
        if any(isinstance(record, SERIAL_RECORDS) for record in self._in_flight.values()):
            self._maintenance.must_confirm = True
        self._in_flight.clear()

    def _refresh(self, ownables: Iterable[OwnableId]) -> None:
        self._commands.extend(self.holdings.refresh(sorted(ownables)))

    def _start_takeover(self, epoch: Epoch, now: float) -> None:
        takeover = Takeover(epoch=epoch, now=now, fold=self.fold, timings=self.timings)
        if takeover.ownables:
            self.takeovers_by_epoch[epoch] = takeover
            self._advance_takeovers(now)

    def _advance_takeovers(self, now: float) -> None:
        for takeover in list(self.takeovers_by_epoch.values()):
            if not self._still_claims(takeover):
                del self.takeovers_by_epoch[takeover.epoch]
                continue
            takeover.update(self.claims.is_dead, self.me, now)
            self._send_fences(takeover, now)
            if now >= takeover.ready_at():
                members = self.wanted_members()
                self.append(Activate(by=self.me, epoch=takeover.epoch, members=members), now)

    def _still_claims(self, takeover: Takeover) -> bool:
        states = self.fold.state_by_ownable
        return any(
            o in states and states[o].claim.epoch == takeover.epoch for o in takeover.ownables
        )

    def _send_fences(self, takeover: Takeover, now: float) -> None:
        if now - takeover.fence_sent_at < self.timings.heartbeat_s:
            return
        takeover.fence_sent_at = now
        for member in takeover.unacked(self.fold):
            if member != self.me:
                fence = self._heartbeats.fence(member, takeover)
                self._commands.append(SendMessage(to=member.host, message=fence))

    def _update_live(self, now: float) -> None:
        live = self.membership.live(self.fold.members(), now)
        if self.is_leaving:
            live = tuple(member for member in live if member != self.me)
        eligible = self.membership.eligible(live)
        if (live, eligible) != (self.live, self.eligible):
            self.live, self.eligible = live, eligible
            self.live_since = now

    def _on_heartbeat(self, sender: HostId, heartbeat: Heartbeat, now: float) -> None:
        if heartbeat.receiver != self.me.incarnation or self.is_removed:
            return
        for claim in heartbeat.claims:
            self.holdings.note_claim(claim)
            self._refresh(claim.ownables)
        if heartbeat.sender not in self.fold.roster_by_incarnation:
            return
        self.membership.on_heartbeat(heartbeat, now)
        sent_at = self.confirmations.sent_at(heartbeat.echo)
        if sent_at is None:
            return
        self.confirmations.on_echo(heartbeat.sender, sent_at)
        if heartbeat.tip_age_ms >= 0:
            self._on_peer_log_end(sender, heartbeat, sent_at, now)

    def _on_peer_log_end(
        self, sender: HostId, heartbeat: Heartbeat, sent_at: float, now: float
    ) -> None:
        read_at = sent_at - heartbeat.tip_age_ms / 1000 * self.timings.rate_factor
        if read_at <= self.confirmations.log_end_read_at or not self.fold.is_complete:
            return
        if heartbeat.next_offset <= self.fold.next_offset:
            self.confirmations.on_log_end(read_at)
        elif now - self.confirmations.log_end_read_at > self.timings.read_s / 2:
            self._fetch_tail(sender, now)

    def _fetch_tail(self, peer: HostId, now: float) -> None:
        if now < self._fetching_tail_until:
            return
        self._fetching_tail_until = now + self.timings.heartbeat_s
        self._commands.append(FetchTail(peer=peer, start=self.fold.next_offset))

    def _on_fence(self, sender: HostId, fence: Fence, now: float) -> None:
        if fence.receiver != self.me.incarnation or self.is_removed:
            return
        self.holdings.note_claim(fence.claim)
        self._refresh(fence.claim.ownables)
        ack = FenceAck(sender=self.me.incarnation, epoch=fence.claim.epoch)
        self._commands.append(SendMessage(to=sender, message=ack))

    def _on_fence_ack(self, sender: HostId, ack: FenceAck, now: float) -> None:
        takeover = self.takeovers_by_epoch.get(ack.epoch)
        if takeover is None:
            return
        takeover.on_ack(ack.sender)
        takeover.update(self.claims.is_dead, self.me, now)
