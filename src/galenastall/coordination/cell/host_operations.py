"""Combines maintenance and moves of hosts: one list of hosts, one stream of orders and rows."""

from collections.abc import Iterable

from galenastall.coordination.cell.cell_state import CellState
from galenastall.coordination.cell.host_orders import HostOrder, HostOutcome
from galenastall.coordination.cell.maintenance import Maintenance
from galenastall.coordination.cell.pools import Pools
from galenastall.coordination.cell.run_ends import RunEnds
from galenastall.state.cell.hosts import (
    MOVE_PREFIX,
    WAVE_PREFIX,
    MaintenanceWave,
    PoolHost,
    encode_move,
    encode_wave,
)
from galenastall.state.cell.rows import Rows


class HostOperations:
    """Host operations of the leader; all orders are written ahead."""

    def __init__(self, *, state: CellState, ends: RunEnds) -> None:
        """Operate on the given state."""
        self._maintenance = Maintenance(state=state, ends=ends)
        self._pools = Pools(state=state)
        self._ready: list[HostOrder] = []

    @property
    def needs_host_list(self) -> bool:
        """Whether the platform's list of hosts is needed."""
        return self._maintenance.is_active or self._pools.is_active

    @property
    def has_changes(self) -> bool:
        """Whether there is something to store."""
        return not (self._maintenance.ahead.is_empty and self._pools.ahead.is_empty)

    def restore(self, rows: Rows) -> None:
        """Restore stored rows; orders with unknown outcome are sent again first."""
        self._maintenance.restore(rows.waves)
        self._pools.restore(rows.moves)
        self._ready.extend(self._pools.unresolved_orders())

    def set_standby(self, services: frozenset[str]) -> None:
        """Set the names of the pools whose hosts are switched off."""
        self._pools.set_standby(services)

    def set_waves(self, waves: Iterable[MaintenanceWave], *, wall: float) -> None:
        """Set the operator's waves; orders of earlier leaders with unknown outcome are repeated."""
        self._ready.extend(self._maintenance.set_waves(waves, wall=wall))

    def set_hosts(self, hosts: tuple[PoolHost, ...], *, wall: float) -> None:
        """Update the hosts from the platform's list."""
        self._maintenance.set_hosts(hosts, wall=wall)
        self._pools.set_hosts(hosts)

    def decide(self, *, now: float, wall: float) -> None:
        """Drain hosts, and order the maintenance and moves that are due."""
        self._maintenance.decide(wall=wall)
        self._pools.decide(now=now)

    def on_order(self, order: HostOrder, outcome: HostOutcome, *, wall: float) -> bool:
        """Apply the outcome of an order; return whether it should be sent again."""
        if order.pool:
            return self._pools.on_order(order, outcome)
        return self._maintenance.on_order(order, outcome, wall=wall)

    def unreported_waves(self) -> dict[int, bool]:
        """Return the waves whose state is not yet reported, and whether each is completed."""
        return self._maintenance.unreported_waves()

    def on_wave_reported(self, number: int, *, is_completed: bool) -> None:
        """Record that the state of a wave was reported to the operator."""
        self._maintenance.on_wave_reported(number, is_completed=is_completed)

    def take_values(self) -> dict[str, bytes]:
        """Return the rows to write; an empty value deletes its key."""
        values: dict[str, bytes] = {}
        for number, wave in self._maintenance.take_rows().items():
            values[f"{WAVE_PREFIX}{number}"] = encode_wave(wave)
        for host, move in self._pools.take_rows().items():
            values[f"{MOVE_PREFIX}{host}"] = encode_move(move) if move is not None else b""
        return values

    def take_orders(self) -> tuple[HostOrder, ...]:
        """Return the orders that depend on the last rows taken."""
        return self._maintenance.ahead.take_orders() + self._pools.ahead.take_orders()

    def release(self, orders: tuple[HostOrder, ...]) -> None:
        """Queue orders for sending once their rows are durable."""
        self._ready.extend(orders)

    def take_ready(self) -> list[HostOrder]:
        """Return the orders to send now."""
        ready, self._ready = self._ready, []
        return ready
