"""Makes it durable which executors do not answer, so that the next leader knows their leases.

Guards against this failure: executors were lost for good, and then the leader. The next leader
reached none of them, counted all leases from its own fence, and kept their tasks waiting for
10.5 s, although the last lease had been granted before; each further leader began the wait anew.

A row names the executors that do not answer, with the end of their leases. While an executor is in
the stored row, no leader extends its lease: one that answers again is first taken out, durably. So
whoever reads the row may rely on it, also for an executor that was only cut off.
"""

from collections.abc import Iterable
from typing import Final

from galenastall.coordination.cell.cell_clock import CLOCK_INTERVAL_S
from galenastall.coordination.cell.cell_state import CellState
from galenastall.coordination.cell.executors import Executor
from galenastall.state.cell.executor_ids import started_at_ms_of
from galenastall.state.cell.leases import (
    CLOCK_KEY,
    MAX_UNRESPONSIVE,
    UNRESPONSIVE_KEY,
    UnresponsiveRow,
    encode_clock,
    encode_unresponsive,
)

FIRST_ANSWER_S: Final = 0.6
"""Time after the fence within which an executor that is well has answered a new leader."""


class UnresponsiveExecutors:
    """Holds the leases of executors that do not answer, and writes the row that names them."""

    def __init__(self, *, state: CellState) -> None:
        """Watch the executors of these tables."""
        self._state = state
        self._held_by_id: dict[str, Executor] = {}
        """Executors whose leases are not extended: the stored row may name them."""
        self._silent_ids: set[str] = set()
        """Those of them that have not answered since."""
        self._inherited_by_id: dict[str, UnresponsiveRow] = {}
        self._is_inherited = False
        """Whether an earlier leader stored which executors do not answer."""
        self._written: tuple[UnresponsiveRow, ...] = ()
        """The rows in the last batch taken."""
        self._written_at = float("-inf")
        self._is_restored = False

    def restore(self, clock_ms: int | None, rows: Iterable[UnresponsiveRow]) -> None:
        """Continue from what earlier leaders stored; `clock_ms` is None if there were none.

        Nothing is written before this, which would replace the stored reading of the clock.
        """
        self._is_restored = True
        if clock_ms is None:
            return
        self._is_inherited = True
        self._state.clock.restore(clock_ms)
        self._written = tuple(rows)
        self._inherited_by_id = {row.executor_id: row for row in self._written}

    def adopt(self, executor: Executor) -> None:
        """Apply the stored lease to an executor that has runs of earlier leaders."""
        if not self._is_inherited:
            return
        row = self._inherited_by_id.get(executor.executor_id)
        if row is None:
            if started_at_ms_of(executor.executor_id) is None:
                executor.earlier_answered_at = self._state.fenced_at - self._state.timings.reach_s
            return
        executor.earlier_answered_at = self._state.clock.time_at(row.answered_ms)
        lease_ends_at = self._state.clock.time_at(row.lease_ends_ms)
        executor.clock.limit_earlier_leases(lease_ends_at)
        self._hold(executor)
        fields = {"lease_ends_in_s": f"{lease_ends_at - self._state.fenced_at:.2f}"}
        self._state.note("executor.known_silent", executor.executor_id, fields=fields)

    def on_answer(self, executor: Executor) -> None:
        """Note that an executor answers; its lease is extended once the row no longer names it."""
        self._silent_ids.discard(executor.executor_id)

    @property
    def has_changes(self) -> bool:
        """Whether the stored row still names an executor that answers."""
        return len(self._silent_ids) < len(self._held_by_id)

    def take_values(self) -> dict[str, bytes]:
        """Return the rows to write with the next batch."""
        if not self._is_restored:
            return {}
        values: dict[str, bytes] = {}
        now = self._state.now
        is_clock_due = now - self._written_at >= CLOCK_INTERVAL_S
        if is_clock_due:
            self._written_at = now
            values[CLOCK_KEY] = encode_clock(self._state.clock.ms_at(now))
            self._hold_silent()
        self._drop_ineligible()
        rows = tuple(self._row(executor_id) for executor_id in sorted(self._silent_ids))
        if rows != self._written:
            self._written = rows
            values[UNRESPONSIVE_KEY] = encode_unresponsive(rows)
        return values

    def take_answering(self) -> tuple[str, ...]:
        """Return the executors that the rows just taken no longer name."""
        return tuple(sorted(self._held_by_id.keys() - self._silent_ids))

    def release(self, executor_ids: Iterable[str]) -> None:
        """Extend leases again, as the row without these executors is durable."""
        for executor_id in executor_ids:
            if executor_id not in self._silent_ids:
                executor = self._held_by_id.pop(executor_id, None)
                if executor is not None:
                    executor.clock.release()

    def _hold(self, executor: Executor) -> None:
        executor.clock.hold()
        self._held_by_id[executor.executor_id] = executor
        self._silent_ids.add(executor.executor_id)

    def _hold_silent(self) -> None:
        for executor in self._state.executors_by_id.values():
            is_held = executor.executor_id in self._silent_ids
            if not is_held and self._is_silent(executor):
                if len(self._silent_ids) >= MAX_UNRESPONSIVE:
                    return
                self._hold(executor)

    def _is_silent(self, executor: Executor) -> bool:
        if not self._is_eligible(executor):
            return False
        if executor.lost_at is not None:
            return True
        if executor.answered_at is None:
            return self._state.now - self._state.fenced_at > FIRST_ANSWER_S
        return not executor.has_answered(now=self._state.now, reach_s=self._state.timings.reach_s)

    def _is_eligible(self, executor: Executor) -> bool:
        """Whether it has runs, and no lease of a later incarnation can matter."""
        if not executor.runs_by_task or executor.has_restarted:
            return False
        # A later incarnation that carries out such a start holds a lease by its own clock.
        return not self._state.late_orders.may_come_to(executor.name, now=self._state.now)

    def _last_answered_at(self, executor: Executor) -> float:
        """Return the time until which the executor certainly answered some leader."""
        if executor.answered_at is not None:
            return executor.answered_at
        if executor.earlier_answered_at is not None:
            return executor.earlier_answered_at
        return self._state.fenced_at

    def _drop_ineligible(self) -> None:
        """Take out executors that are gone, or to which the row no longer applies."""
        for executor_id in list(self._silent_ids):
            executor = self._state.executors_by_id.get(executor_id)
            is_current = executor is not None and executor is self._held_by_id[executor_id]
            if executor is None or not is_current or not self._is_eligible(executor):
                self._silent_ids.discard(executor_id)

    def _row(self, executor_id: str) -> UnresponsiveRow:
        executor = self._held_by_id[executor_id]
        return UnresponsiveRow(
            executor_id=executor_id,
            lease_ends_ms=1 + self._state.clock.ms_at(executor.clock.lapses_at),
            answered_ms=self._state.clock.ms_at(self._last_answered_at(executor)),
        )
