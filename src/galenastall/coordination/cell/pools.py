"""Moves standby hosts into services that lack capacity, and back when they are not needed."""

from collections.abc import Collection, Iterable
from typing import Final

from galenastall.coordination.cell.cell_state import CellState
from galenastall.coordination.cell.executors import Cordon
from galenastall.coordination.cell.host_orders import HostOrder, HostOutcome, WriteAhead
from galenastall.state.cell.hosts import HostState, MoveRow, PoolHost
from galenastall.state.cell.jobs import Step, StepKey

GROW_AFTER_S: Final = 2.0
"""A service gets a host once tasks have waited for capacity this long; a move takes about 1.5 s."""
MOVE_EVERY_S: Final = 1.0
"""Minimum time between moves into one service, so that each takes effect before the next."""
SHRINK_AFTER_S: Final = 15.0
"""A service returns a host once its load has been low for this long."""
LOW_LOAD: Final = 0.4
"""Share of a service's cores in use below which its load is low."""


class Pools:
    """Decides moves of hosts between pools; each order is written ahead."""

    def __init__(self, *, state: CellState) -> None:
        """Operate on the given state."""
        self._state = state
        self._hosts_by_id: dict[str, PoolHost] = {}
        self._standby: frozenset[str] = frozenset()
        self._moves_by_host: dict[str, MoveRow] = {}
        self._waits_since: dict[StepKey, float] = {}
        self._low_load_since: dict[str, float] = {}
        """Time since which the load of a service has been low."""
        self._moved_at: dict[str, float] = {}
        """Time at which a service last got a host."""
        self.ahead: WriteAhead[str] = WriteAhead()
        """Hosts with rows to write, and the orders that wait for them."""

    @property
    def is_active(self) -> bool:
        """Whether there are standby pools, so that the list of hosts is needed."""
        return bool(self._standby)

    def restore(self, rows: Iterable[MoveRow]) -> None:
        """Restore the rows that earlier leaders stored."""
        self._moves_by_host = {row.host: row for row in rows}

    def set_standby(self, services: frozenset[str]) -> None:
        """Set the names of the pools whose hosts are switched off."""
        self._standby = services

    def set_hosts(self, hosts: Iterable[PoolHost]) -> None:
        """Update the hosts from the platform's list."""
        self._hosts_by_id = {host.host: host for host in hosts}

    def decide(self, *, now: float) -> None:
        """Order the moves that are due."""
        if not self._standby or not self._hosts_by_id:
            return
        self._track_waits(now)
        short = self._short_services(now)
        for service, step in short.items():
            self._grow(service, step, now)
        self._shrink(now, short)

    def _track_waits(self, now: float) -> None:
        for key in self._waits_since.keys() - self._state.waiting_steps:
            del self._waits_since[key]
        for key in self._state.waiting_steps:
            self._waits_since.setdefault(key, now)

    def _short_services(self, now: float) -> dict[str, Step]:
        """Return the services that lack capacity, each with a step that waits for it."""
        short: dict[str, Step] = {}
        for key, since in sorted(self._waits_since.items()):
            job = self._state.jobs_by_id.get(key.job)
            step = job.find_step(key) if job is not None else None
            if job is not None and step is not None and now - since >= GROW_AFTER_S:
                short.setdefault(self._state.queue_of(job).service, step.step)
        return short

    def _grow(self, service: str, step: Step, now: float) -> None:
        if now - self._moved_at.get(service, float("-inf")) < MOVE_EVERY_S:
            return
        for host in sorted(self._hosts_by_id.values(), key=lambda each: each.host):
            if host.pool not in self._standby or host.state is not HostState.UP:
                continue
            if host.host in self._moves_by_host or not step.need.fits_in(host.capacity):
                continue
            if step.label and step.label not in host.labels:
                continue
            self._moved_at[service] = now
            self._move(
                MoveRow(host=host.host, home=host.pool, pool=service), "tasks wait for capacity"
            )
            return

    def _shrink(self, now: float, short: Collection[str]) -> None:
        """Return at most one host, unless tasks of its service wait and might need it."""
        for host, row in list(self._moves_by_host.items()):
            if not row.is_settled or row.pool == row.home:
                continue
            if not self._is_load_low(row.pool, now, is_short=row.pool in short):
                continue
            executor = self._state.executor_on(host)
            if executor is None:
                continue
            executor.cordons.add(Cordon.POOL)
            if not executor.runs_by_task:
                self._low_load_since.pop(row.pool, None)
                back = MoveRow(host=host, home=row.home, pool=row.home)
                self._move(back, "its service has capacity without it")
            return

    def _is_load_low(self, service: str, now: float, *, is_short: bool) -> bool:
        executors = [e for e in self._state.executors_by_id.values() if e.info.service == service]
        total = sum(e.info.capacity.cores_milli for e in executors)
        free = sum(e.free.cores_milli for e in executors)
        if is_short or not total or 1.0 - free / total >= LOW_LOAD:
            self._low_load_since.pop(service, None)
            for executor in executors:
                executor.cordons.discard(Cordon.POOL)
            return False
        return now - self._low_load_since.setdefault(service, now) >= SHRINK_AFTER_S

    def _move(self, row: MoveRow, cause: str) -> None:
        self._moves_by_host[row.host] = row
        self.ahead.mark(row.host, HostOrder(host=row.host, pool=row.pool))
        self._state.note("host.moved", row.host, cause=cause, fields={"pool": row.pool})

    def on_order(self, order: HostOrder, outcome: HostOutcome) -> bool:
        """Apply the outcome of an order; return whether it should be sent again."""
        row = self._moves_by_host.get(order.host)
        if row is None or row.pool != order.pool or row.is_settled:
            return False
        if outcome in {HostOutcome.UNKNOWN, HostOutcome.BUSY} and order.host in self._hosts_by_id:
            return True
        self.ahead.mark(order.host)
        if outcome is HostOutcome.DONE and row.pool != row.home:
            self._moves_by_host[order.host] = MoveRow(
                host=row.host, home=row.home, pool=row.pool, is_settled=True
            )
        else:
            del self._moves_by_host[order.host]
        return False

    def unresolved_orders(self) -> list[HostOrder]:
        """Return the orders of earlier leaders whose outcome is unknown."""
        return [
            HostOrder(host=row.host, pool=row.pool)
            for row in self._moves_by_host.values()
            if not row.is_settled
        ]

    def take_rows(self) -> dict[str, MoveRow | None]:
        """Return the rows to store by host; None for hosts that are back in their home pool."""
        return {host: self._moves_by_host.get(host) for host in self.ahead.take_keys()}
