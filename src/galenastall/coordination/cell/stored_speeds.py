"""Keeps the learned speeds of hosts up to date, and hands them on to the next leader."""

from galenastall.coordination.cell.batches import Batches
from galenastall.coordination.cell.cell_state import CellState
from galenastall.state.cell.speeds import SPEEDS_KEY, SpeedsRow


class StoredSpeeds:
    """Refreshes speeds, logs their changes, and stores them."""

    def __init__(self, *, state: CellState, batches: Batches) -> None:
        """Work on the speeds of these tables; rows are written with the next batch."""
        self._state = state
        self._batches = batches

    def restore(self, row: SpeedsRow | None, *, wall: float) -> None:
        """Load the speeds that an earlier leader stored."""
        if row is None:
            return
        cause = self._state.speeds.restore(row, now=self._state.now, wall=wall)
        if cause:
            self._state.note("rows.unreadable", cause=cause, fields={"key": SPEEDS_KEY})

    def refresh(self, *, now: float, wall: float) -> None:
        """Take what was learned into use, and store it where it is due."""
        speeds, was_in_use = self._state.speeds, self._state.speeds.is_in_use
        infos = (executor.info for executor in self._state.executors_by_id.values())
        changes = speeds.refresh(infos, now=now)
        if speeds.is_in_use != was_in_use:
            counts = {each.value: str(n) for each, n in speeds.count_by_class().items()}
            cause = "they differ clearly" if speeds.is_in_use else "they are alike"
            fields = {"spread": f"{speeds.spread:.2f}", **counts}
            self._state.note("speeds.changed", cause=cause, fields=fields)
        for change in changes:
            fields = {
                "speed": f"{change.speed:.2f}",
                "before": change.before,
                "after": change.after,
                "precision": f"{change.precision:.0f}",
            }
            self._state.note("executor.speed", change.host, fields=fields)
        row = speeds.take_row(now=now, wall=wall)
        if row is not None:
            self._batches.store_speeds(row)
