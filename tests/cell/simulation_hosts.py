"""The hosts of the simulated platform: maintenance, pools, and reports of waves."""

from collections import defaultdict
from typing import TYPE_CHECKING

import trio

from galenastall.coordination.cell.host_orders import HostOrder, HostOutcome
from galenastall.state.cell.hosts import HostState, MaintenanceWave, PoolHost
from galenastall.state.resources import Resources

if TYPE_CHECKING:
    from cell.simulation import Simulation

MAINTENANCE_S = 2.0
CAPACITY = Resources(cores_milli=8000, memory_mb=32000)


class Hosts:
    """The platform's hosts: which are down for maintenance, and the reports received of waves."""

    def __init__(self, *, simulation: "Simulation") -> None:
        self.simulation = simulation
        self.waves: list[MaintenanceWave] = []
        self.begun: defaultdict[int, set[str]] = defaultdict(set)
        self.down: dict[str, int] = {}
        """Hosts that are down, with the maintenance wave that took them down."""
        self.moving: set[str] = set()
        self.pools: dict[str, str] = {}
        """Pools of hosts that are, or initially were, outside the service's pool."""
        self.fences: defaultdict[str, int] = defaultdict(int)
        self.reported: dict[int, bool] = {}
        self.report_epoch = 0
        self.report_sequence = -1

    def list_all(self) -> tuple[PoolHost, ...]:
        up_by_host = {e.info.host: e for e in self.simulation.executors.values() if e.is_up}
        all_hosts = {e.info.host for e in self.simulation.executors.values()} | self.pools.keys()
        return tuple(
            PoolHost(
                host=host,
                pool=self.pools.get(host, "service"),
                state=self._state_of(host, is_alive=host in up_by_host),
                capacity=CAPACITY,
                labels=("a",),
                executor_id=up_by_host[host].info.executor_id if host in up_by_host else "",
            )
            for host in sorted(all_hosts)
        )

    def _state_of(self, host: str, *, is_alive: bool) -> HostState:
        if host in self.down:
            return HostState.MAINTENANCE
        if host in self.moving:
            return HostState.MOVING
        is_off = self.pools.get(host, "service") != "service"
        return HostState.UP if is_alive or is_off else HostState.DOWN

    def _is_up(self, host: str) -> bool:
        is_alive = any(e.info.host == host and e.is_up for e in self.simulation.executors.values())
        return self._state_of(host, is_alive=is_alive) is HostState.UP

    def order(self, order: HostOrder, token: int) -> HostOutcome | None:
        """Carry out an order; None if it is fenced."""
        if token < self.fences[order.host]:
            return None
        self.fences[order.host] = token
        if order.pool:
            return self._move(order.host, order.pool)
        wave = next(wave for wave in self.waves if wave.number == order.wave)
        if order.host in self.begun[order.wave]:
            return HostOutcome.DONE
        if order.host not in wave.hosts:
            return HostOutcome.NOT_POSSIBLE
        if not self._is_up(order.host):
            return HostOutcome.BUSY
        down = sum(1 for number in self.down.values() if number == order.wave)
        if down >= wave.most_down:
            at = f"{trio.current_time():.2f}"
            self.simulation.violations.append(
                f"{order.host} goes down at {at} while {down} others are down"
            )
        self.begun[order.wave].add(order.host)
        self.down[order.host] = order.wave
        self._end(order.host)
        self.simulation.nursery.start_soon(self._come_back, order.host)
        return HostOutcome.DONE

    def _move(self, host: str, pool: str) -> HostOutcome:
        if self.pools.get(host, "service") == pool:
            return HostOutcome.DONE
        if not self._is_up(host):
            return HostOutcome.BUSY
        self._end(host)
        self.pools[host] = pool
        self.moving.add(host)
        self.simulation.nursery.start_soon(self._finish_move, host)
        return HostOutcome.DONE

    async def _finish_move(self, host: str) -> None:
        await trio.sleep(1.5)
        self.moving.discard(host)
        if self.pools[host] == "service":
            self.simulation.start_executor(host)

    def _end(self, host: str) -> None:
        for executor in self.simulation.executors.values():
            if executor.info.host == host and executor.is_up:
                self.simulation.crash(executor)
                self.simulation.delist(executor)

    async def _come_back(self, host: str) -> None:
        await trio.sleep(MAINTENANCE_S)
        del self.down[host]
        self.simulation.start_executor(host)

    def report_wave(self, number: int, is_completed: bool, token: int, sequence: int) -> bool:
        if token < self.report_epoch:
            return False
        if token > self.report_epoch:
            self.report_epoch, self.report_sequence = token, -1
        if sequence > self.report_sequence:
            self.report_sequence = sequence
            self.reported[number] = is_completed
            wave = next(wave for wave in self.waves if wave.number == number)
            if is_completed and not set(wave.hosts) <= self.begun[number]:
                self.simulation.violations.append(
                    f"wave {number} is reported as completed but is not"
                )
        return True
