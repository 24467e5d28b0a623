"""Maintenance waves: which host is drained and taken down next, within the limits of services.

An order kills the runs on the host, so the host is drained first. Orders are written ahead, like
starts: the next leader repeats orders of unknown outcome before it issues others of that wave.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from math import ceil
from typing import Final

from galenastall.coordination.cell.availability import Availability
from galenastall.coordination.cell.cell_state import CellState
from galenastall.coordination.cell.executors import Cordon, Executor
from galenastall.coordination.cell.host_orders import HostOrder, HostOutcome, WriteAhead
from galenastall.coordination.cell.run_ends import RunEnds
from galenastall.coordination.cell.stop_rules import StopRule
from galenastall.coordination.cell.task_runs import TaskRun
from galenastall.state.cell.hosts import HostState, MaintenanceWave, PoolHost, WaveRow

WAVE_START_SHARE: Final = 0.8
"""Share of a wave's duration within which maintenance of all its hosts should have begun; the rest
is a safety margin."""
STALE_LIST_MARGIN_S: Final = 1.0
"""How long a host counts as down beyond its maintenance: a list may predate the maintenance."""
GONE_AFTER_S: Final = 5.0
"""A host counts as gone once it is missing from lists for this long. One list is not enough: its
pages are not a consistent snapshot."""
MIN_PATIENCE_S: Final = 1.0
"""Minimum time that runs on a draining host get to end on their own before they are stopped."""


@dataclass(kw_only=True, slots=True)
class WaveProgress:
    """State of a wave."""

    wave: MaintenanceWave
    first_seen_at: float
    """Wall time."""
    ordered: set[str] = field(default_factory=set)
    begun: set[str] = field(default_factory=set)
    begun_at: dict[str, float] = field(default_factory=dict)
    """Wall time at which this leader learned that the maintenance of a host began."""
    draining_since: dict[str, float] = field(default_factory=dict)
    """Wall time since which a host accepts no new work."""
    is_completed: bool = False
    is_reported: bool = False
    """Whether the current state was reported to the operator."""

    def row(self) -> WaveRow:
        """Return the row to store."""
        return WaveRow(
            number=self.wave.number,
            first_seen_at=self.first_seen_at,
            ordered=tuple(sorted(self.ordered)),
            begun=tuple(sorted(self.begun)),
            is_completed=self.is_completed,
        )

    def patience_s(self, down_s: float) -> float:
        """Return the time that each host has to become empty on its own.

        `down_s` is the time that each host is down.
        """
        rounds = max(ceil(len(self.wave.hosts) / max(self.wave.most_down, 1)), 1)
        spare_s = self.wave.duration_s * WAVE_START_SHARE - rounds * down_s
        return max(spare_s / rounds, MIN_PATIENCE_S)


class Maintenance:
    """Carries out maintenance waves."""

    def __init__(self, *, state: CellState, ends: RunEnds) -> None:
        """Operate on the given state."""
        self._state = state
        self._ends = ends
        self._availability = Availability(state=state)
        self._rows_by_number: dict[int, WaveRow] = {}
        self._progress_by_number: dict[int, WaveProgress] = {}
        self._hosts_by_id: dict[str, PoolHost] = {}
        self._seen_at: dict[str, float] = {}
        """Wall time at which a host last appeared in a list."""
        self._listed_at = 0.0
        """Wall time of the last list."""
        self.ahead: WriteAhead[int] = WriteAhead()
        """Numbers of waves with rows to write, and the orders that wait for them."""

    @property
    def is_active(self) -> bool:
        """Whether a wave is in progress, so that the list of hosts is needed."""
        return any(not each.is_completed for each in self._progress_by_number.values())

    def restore(self, rows: Iterable[WaveRow]) -> None:
        """Restore the rows that earlier leaders stored."""
        self._rows_by_number = {row.number: row for row in rows}

    def set_waves(self, waves: Iterable[MaintenanceWave], *, wall: float) -> list[HostOrder]:
        """Set the operator's waves; return orders of earlier leaders whose outcome is unknown."""
        unresolved: list[HostOrder] = []
        for wave in waves:
            known = self._progress_by_number.get(wave.number)
            if known is not None:
                known.wave = wave
                continue
            progress = self._progress_by_number[wave.number] = self._begin(wave, wall)
            self.ahead.mark(wave.number)
            unresolved += [HostOrder(host=h, wave=wave.number) for h in sorted(progress.ordered)]
        return unresolved

    def _begin(self, wave: MaintenanceWave, wall: float) -> WaveProgress:
        row = self._rows_by_number.get(wave.number)
        if row is None:
            fields = {"hosts": str(len(wave.hosts)), "most_down": str(wave.most_down)}
            self._state.note("wave.begun", str(wave.number), fields=fields)
            return WaveProgress(wave=wave, first_seen_at=wall)
        return WaveProgress(
            wave=wave,
            first_seen_at=row.first_seen_at,
            ordered=set(row.ordered),
            begun=set(row.begun),
            is_completed=row.is_completed,
        )

    def set_hosts(self, hosts: Iterable[PoolHost], *, wall: float) -> None:
        """Update the hosts from the platform's list."""
        self._hosts_by_id = {host.host: host for host in hosts}
        self._listed_at = wall
        for host in self._hosts_by_id:
            self._seen_at[host] = wall
        for progress in self._progress_by_number.values():
            for host in progress.wave.hosts:
                self._seen_at.setdefault(host, wall)
            for gone in [host for host in progress.ordered if self._is_gone(host)]:
                progress.ordered.discard(gone)
                self.ahead.mark(progress.wave.number)

    def _is_gone(self, host: str) -> bool:
        return self._listed_at - self._seen_at.get(host, self._listed_at) >= GONE_AFTER_S

    def decide(self, *, wall: float) -> None:
        """Drain the next hosts, and order maintenance of those that are empty.

        Until the executors are listed, it is not known which hosts have runs.
        """
        if not self._hosts_by_id or not self._state.has_executor_list:
            return
        for progress in self._progress_by_number.values():
            if not progress.is_completed:
                self._advance(progress, wall)

    def _advance(self, progress: WaveProgress, wall: float) -> None:
        left = [host for host in progress.wave.hosts if self._is_remaining(progress, host)]
        if not left and not progress.ordered:
            progress.is_completed = True
            progress.is_reported = False
            self.ahead.mark(progress.wave.number)
            self._state.note("wave.completed", str(progress.wave.number))
            return
        down = self._count_down(progress, wall)
        free_slots = progress.wave.most_down - down - len(progress.draining_since)
        for host in self._next_hosts(progress, left)[: max(free_slots, 0)]:
            progress.draining_since[host] = wall
            self._state.note("host.emptied", host, cause=f"wave {progress.wave.number}")
        patience_s = progress.patience_s(self._down_s)
        for host, since in list(progress.draining_since.items()):
            if host not in self._hosts_by_id:
                del progress.draining_since[host]
            else:
                self._drain(progress, host, is_overdue=wall - since >= patience_s)

    @property
    def _down_s(self) -> float:
        return self._state.timings.maintenance_s + STALE_LIST_MARGIN_S

    def _is_remaining(self, progress: WaveProgress, host: str) -> bool:
        is_open = host not in progress.begun and host not in progress.ordered
        return is_open and not self._is_gone(host)

    def _count_down(self, progress: WaveProgress, wall: float) -> int:
        """Return how many hosts of the wave are, or may be, down for maintenance."""
        down = set(progress.ordered)
        for host in progress.begun:
            listed = self._hosts_by_id.get(host)
            is_listed_down = listed is not None and listed.state is not HostState.UP
            has_just_begun = wall - progress.begun_at.get(host, 0.0) < self._down_s
            if is_listed_down or has_just_begun:
                down.add(host)
        return len(down)

    def _next_hosts(self, progress: WaveProgress, left: list[str]) -> list[str]:
        """Return the remaining hosts that are up, those with the fewest runs first."""
        up = [host for host in left if host not in progress.draining_since and self._is_up(host)]
        return sorted(up, key=lambda host: (self._run_count(host), host))

    def _is_up(self, host: str) -> bool:
        listed = self._hosts_by_id.get(host)
        return listed is not None and listed.state is HostState.UP

    def _run_count(self, host: str) -> int:
        executor = self._executor_of(host)
        return len(executor.runs_by_task) if executor is not None else 0

    def _executor_of(self, host: str) -> Executor | None:
        """Return the executor on a host, by its own entry or else by the list of hosts."""
        executor = self._state.executor_on(host)
        listed = self._hosts_by_id.get(host)
        if executor is not None or listed is None:
            return executor
        named = self._state.executors.named(listed.executor_id)
        return max(named, key=lambda e: e.answered_seq, default=None)

    def _drain(self, progress: WaveProgress, host: str, *, is_overdue: bool) -> None:
        """Drain a host, and order its maintenance once it has no runs."""
        executor = self._executor_of(host)
        if executor is None:
            # Runs of an executor that the list lacks may be on any host, until their leases expire.
            if not self._state.has_unplaced_runs:
                self._order(progress, host)
            return
        executor.cordons.add(Cordon.WAVE)
        if not executor.runs_by_task:
            self._order(progress, host)
            return
        for key in executor.runs_by_task:
            found = self._state.find(key)
            if found is None or found[2].is_stopping:
                continue
            _, step, task = found
            if step.step.is_long_running:
                if self._availability.may_stop(step, task):
                    self._stop(task)
            elif is_overdue:
                self._stop(task)

    def _stop(self, task: TaskRun) -> None:
        cause = "its host is taken down for maintenance"
        self._ends.stop(task, rule=StopRule.MAINTENANCE, cause=cause)

    def _order(self, progress: WaveProgress, host: str) -> None:
        progress.draining_since.pop(host, None)
        progress.ordered.add(host)
        number = progress.wave.number
        self.ahead.mark(number, HostOrder(host=host, wave=number))

    def on_order(self, order: HostOrder, outcome: HostOutcome, *, wall: float) -> bool:
        """Apply the outcome of an order; return whether it should be sent again."""
        progress = self._progress_by_number.get(order.wave)
        if progress is None or order.host not in progress.ordered:
            return False
        if outcome in {HostOutcome.UNKNOWN, HostOutcome.BUSY}:
            return True
        progress.ordered.discard(order.host)
        progress.begun.add(order.host)
        executor = self._executor_of(order.host)
        if outcome is HostOutcome.DONE:
            progress.begun_at[order.host] = wall
        elif executor is not None:
            executor.cordons.discard(Cordon.WAVE)
        self.ahead.mark(order.wave)
        self._state.note("host.maintained", order.host, cause=f"wave {order.wave}: {outcome.value}")
        return False

    def take_rows(self) -> dict[int, WaveRow]:
        """Return the rows to store."""
        return {number: self._progress_by_number[number].row() for number in self.ahead.take_keys()}

    def unreported_waves(self) -> dict[int, bool]:
        """Return the waves whose state is not yet reported, and whether each is completed."""
        return {
            number: progress.is_completed
            for number, progress in self._progress_by_number.items()
            if not progress.is_reported
        }

    def on_wave_reported(self, number: int, *, is_completed: bool) -> None:
        """Record that the state of a wave was reported to the operator."""
        progress = self._progress_by_number.get(number)
        if progress is not None and progress.is_completed == is_completed:
            progress.is_reported = True
