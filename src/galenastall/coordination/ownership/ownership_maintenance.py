"""Records that a member writes: claims, transfers, rosters, snapshots, departures."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING, Any

from galenastall.coordination.ownership.ownership_candidates import rank, spread
from galenastall.coordination.ownership.ownership_spread import plan_transfers
from galenastall.state.ids import OwnableId
from galenastall.state.ownership_records import (
    HandOver,
    Join,
    Leave,
    OwnershipSnapshot,
    OwnershipTransfer,
    UpdateRoster,
)

if TYPE_CHECKING:
    from galenastall.coordination.ownership.ownership import OwnershipCore


class OwnershipMaintenance:
    """Plans this member's records, one step per tick."""

    def __init__(self, *, core: OwnershipCore) -> None:
        """Plan on behalf of `core`."""
        self._core = core
        self.must_confirm = False
        """Whether it is unknown if a record with a generation is in the log."""
        self._generation = 0
        self._transfers: tuple[OwnershipTransfer, ...] = ()
        self._transfers_ready_at = inf
        self._last_transfers_at = -inf
        self._roster_changed_at = -inf
        self._snapshot_seen_at: float | None = None
        self._snapshot_due_since: float | None = None

    def on_record(self, record: Any, now: float) -> None:
        """Note what affects later plans."""
        self._roster_changed_at = now if _changes_roster(record) else self._roster_changed_at
        if isinstance(record, OwnershipSnapshot):
            self._snapshot_seen_at = now
            self._snapshot_due_since = None
        elif isinstance(record, HandOver | UpdateRoster) and record.by == self._core.me:
            self.must_confirm = self.must_confirm and record.generation < self._generation

    def run(self, now: float) -> None:
        """Perform the steps that are due; only while the log confirmation holds."""
        core = self._core
        if core.is_leaving:
            self._leave(now)
            return
        self._claim(now)
        self._send_transfers(now)
        self._plan_transfers(now)
        self._reroster(now)
        self._remove_dead(now)
        self._snapshot(now)

    def _is_settled(self, now: float) -> bool:
        return now - self._core.live_since >= self._core.timings.settle_s

    def _claim(self, now: float) -> None:
        core = self._core
        if core.ownables is None:
            return
        claim = core.claims.plan(
            ownables=core.ownables,
            live=core.live,
            eligible=core.eligible,
            now=now,
            is_settled=self._is_settled(now),
        )
        if claim is not None:
            core.append(claim, now)

    def _plan_transfers(self, now: float) -> None:
        core = self._core
        if core.ownables is None or self._transfers or core.holdings.suspended:
            return
        if not self._is_settled(now) or now - self._last_transfers_at < core.timings.settle_s:
            return
        transfers = plan_transfers(
            owned=core.holdings.holding_by_ownable,
            wanted=core.claims.wanted(core.ownables, core.eligible),
            live=core.eligible,
            me=core.me,
            limit=core.timings.handover_batch,
        )
        if transfers:
            self._stop_acting(transfers, now)

    def _stop_acting(self, transfers: tuple[OwnershipTransfer, ...], now: float) -> None:
        core = self._core
        self._transfers = transfers
        self._transfers_ready_at = now + core.timings.flight_s * core.timings.rate_factor
        core.suspend([ownable for transfer in transfers for ownable in transfer.ownables])

    def _send_transfers(self, now: float) -> None:
        core = self._core
        if not self._transfers or now < self._transfers_ready_at:
            return
        generation = self._next_generation()
        members = core.wanted_members()
        handover = HandOver(
            by=core.me, generation=generation, gifts=self._transfers, members=members
        )
        if not core.append(handover, now):
            return
        self._generation = generation
        ownables = [ownable for transfer in self._transfers for ownable in transfer.ownables]
        core.holdings.bind_suspension(ownables, generation)
        self._transfers = ()
        self._last_transfers_at = now

    def _reroster(self, now: float) -> None:
        core = self._core
        members = core.wanted_members()
        roster = frozenset(member.incarnation for member in members)
        holdings = core.holdings.holding_by_ownable.values()
        is_current = all(holding.roster == roster for holding in holdings)
        is_stable = now - self._roster_changed_at >= core.timings.settle_s
        if not self.must_confirm and (is_current or not is_stable):
            return
        generation = self._next_generation()
        if core.append(UpdateRoster(by=core.me, generation=generation, members=members), now):
            self._generation = generation
            core.confirmations.expect_roster(generation, roster)

    def _remove_dead(self, now: float) -> None:
        core = self._core
        for member in core.fold.members():
            if member == core.me or not core.membership.is_gone(member.host):
                continue
            is_mine = rank([m.host for m in core.live], member.incarnation)[:1] == [core.me.host]
            if is_mine and core.membership.is_unresponsive(member.incarnation, now):
                core.append(Leave(member=member), now)
                return

    def _snapshot(self, now: float) -> None:
        core = self._core
        if self._snapshot_seen_at is None:
            self._snapshot_seen_at = now
        timings = core.timings
        records = core.fold.next_offset - core.fold.last_snapshot_covers
        is_old = now - self._snapshot_seen_at > timings.snapshot_every_s
        if not is_old and records <= timings.snapshot_every_records:
            return
        if self._snapshot_due_since is None:
            self._snapshot_due_since = now
        key = f"snapshot/{core.fold.last_snapshot_covers}"
        turn = rank([m.host for m in core.live], key).index(core.me.host)
        if now - self._snapshot_due_since >= turn * timings.stagger_s:
            core.append(core.fold.make_snapshot(), now)

    def _leave(self, now: float) -> None:
        core = self._core
        mine = self._mine()
        if not mine:
            core.append(Leave(member=core.me), now)
            return
        if self._transfers_ready_at == inf or core.holdings.holding_by_ownable:
            self._stop_acting(self._transfers, now)
            core.suspend(mine)
        self._transfers = self._leave_transfers(mine)
        self._send_transfers(now)

    def _mine(self) -> list[OwnableId]:
        core = self._core
        return [
            ownable
            for ownable, state in core.fold.state_by_ownable.items()
            if state.is_settled and state.claim.by == core.me
        ]

    def _leave_transfers(self, mine: list[OwnableId]) -> tuple[OwnershipTransfer, ...]:
        core = self._core
        wanted = spread(mine, sorted(member.host for member in core.eligible))
        return plan_transfers(
            owned=mine, wanted=wanted, live=core.eligible, me=core.me, limit=len(mine)
        )

    def _next_generation(self) -> int:
        return self._generation + 1


def _changes_roster(record: Any) -> bool:
    return isinstance(record, Join | Leave | OwnershipSnapshot)
