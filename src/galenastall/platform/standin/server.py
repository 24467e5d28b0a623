"""The complete stand-in: a store, executors that register themselves, and the advisor."""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Any, Final

import trio

from galenastall.coordination.cell.executors import ExecutorInfo
from galenastall.platform.standin.executor_routes import AdvisorRoutes, ExecutorRoutes
from galenastall.platform.standin.log_store import StandinStore
from galenastall.protocol.clock import Clock
from galenastall.standin.cell.executors import Executor
from galenastall.standin.cell.live_simulation import LiveSimulation
from galenastall.state.cell.executor_ids import (
    executor_name,
    make_executor_id,
    started_at_ms_of,
)
from galenastall.state.cell.workspaces import Workspace
from galenastall.state.resources import Resources
from galenastall.transport.http_server import HttpServer

HEARTBEAT_S: Final = 1.5
"""Interval between writes of an executor's entry."""
LOOPBACK: Final = "127.0.0.1:0"


@dataclass(frozen=True, kw_only=True, slots=True)
class StandinPlan:
    """What the stand-in consists of."""

    executors_by_data_centre: dict[str, int]
    service: str = "service"
    capacity: Resources = Resources(cores_milli=32_000, memory_mb=65_536)
    advice_ms: float = 10.0
    """Configured duration of a call for advice."""


@dataclass(frozen=True, kw_only=True, slots=True)
class StandinTenant:
    """A tenant of the operator's configuration."""

    name: str
    keys: tuple[str, ...]
    weight: float = 1.0
    limit: Resources = Resources()

    def to_wire(self) -> dict[str, Any]:
        """Return it as the operator writes it."""
        limit = self.limit
        return {
            "name": self.name,
            "apiKeys": list(self.keys),
            "weight": self.weight,
            "upperLimit": {
                "cpu": limit.cores_milli,
                "memoryRequestMb": limit.memory_mb,
                "gpus": limit.accelerators,
            },
        }

    def to_workspace(self) -> Workspace:
        """Return the workspace whose limit the simulation checks starts against."""
        return Workspace(name=self.name, weight=self.weight, limit=self.limit)


class PlatformStandin:
    """Serves the store, the executors and the advisor on loopback until cancelled."""

    def __init__(self, *, plan: StandinPlan, clock: Clock) -> None:
        """Build the parts; `run` starts the executors of `plan` and serves everything."""
        self.store = StandinStore()
        self.simulation = LiveSimulation()
        self.advisor = AdvisorRoutes()
        self.store_address = ""
        self.advisor_address = ""
        self._plan = plan
        self._clock = clock
        self._executors_added = 0

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve; reports started once all executors are listed."""
        async with trio.open_nursery() as nursery:
            self.store_address = await self._serve(nursery, self.store)
            self.advisor_address = await self._serve(nursery, self.advisor)
            for data_centre, count in self._plan.executors_by_data_centre.items():
                for _ in range(count):
                    await self._add_executor(nursery, data_centre)
            task_status.started()

    async def _serve(self, nursery: trio.Nursery, routes: object) -> str:
        server = HttpServer(handlers=[routes], clock=self._clock, bind=LOOPBACK)
        await nursery.start(server.run)
        return server.address

    async def _add_executor(self, nursery: trio.Nursery, data_centre: str) -> None:
        self._executors_added += 1
        name = f"executor-{self._executors_added}"
        routes = ExecutorRoutes(simulation=self.simulation, executor_id=name)
        info = ExecutorInfo(
            executor_id=self._new_id(name),
            host=f"host-{self._executors_added}",
            address=await self._serve(nursery, routes),
            data_centre=data_centre,
            service=self._plan.service,
            capacity=self._plan.capacity,
            labels=("a", f"{data_centre}-rack"),
        )
        self._start_executor(name, info)
        nursery.start_soon(self._run_heartbeats, name)

    def restart(self, name: str) -> None:
        """Restart an executor under its name; it loses its state."""
        earlier = self.simulation.executors[name]
        self.simulation.crash(earlier)
        self.simulation.earlier_incarnations.append(earlier)
        self._start_executor(name, replace(earlier.info, executor_id=self._new_id(name)))

    def _new_id(self, name: str) -> str:
        return make_executor_id(name, int(self._clock.wall() * 1000))

    def _start_executor(self, name: str, info: ExecutorInfo) -> None:
        executor = Executor(simulation=self.simulation, info=info)
        self.simulation.executors[name] = executor
        self._register(executor, 0)

    async def _run_heartbeats(self, name: str) -> None:
        sequence = 0
        while True:
            await trio.sleep(HEARTBEAT_S)
            sequence += 1
            self._register(self.simulation.executors[name], sequence)

    def _register(self, executor: Executor, sequence: int) -> None:
        info = executor.info
        entry = {
            "service": info.service,
            "address": info.address,
            "zone": info.data_centre,
            "machine": info.host,
            "state": "ready",
            "capacity": {
                "cpu": info.capacity.cores_milli,
                "memoryRequestMb": info.capacity.memory_mb,
                "gpus": info.capacity.accelerators,
            },
            "labels": list(info.labels),
            "sequence": sequence,
            "born": started_at_ms_of(info.executor_id),
        }
        self.store.put("keyed.servers", executor_name(info.executor_id), entry)

    def configure(
        self,
        *routes: dict[str, Any],
        version: int = 1,
        tenants: Iterable[StandinTenant] | None = None,
    ) -> None:
        """Write a configuration as the operator does; `tenants` is None if it has none."""
        services = [{"name": self._plan.service}]
        value = {"version": version, "routes": list(routes), "services": services}
        if tenants is not None:
            listed = list(tenants)
            value["tenants"] = [tenant.to_wire() for tenant in listed]
            self.simulation.quotas.set_workspaces(tenant.to_workspace() for tenant in listed)
        self.store.put("keyed.op", "config", value)

    def make_route(self, name: str, *, priority: int = 1, attempts: int = 2) -> dict[str, Any]:
        """Return the configuration of a queue, whose request paths begin with its name."""
        return {
            "name": name,
            "host": "standin.example",
            "pathPrefix": f"/{name}/",
            "service": self._plan.service,
            "priority": priority,
            "maxAttempts": attempts,
            "stretch": 3.0,
            "targetLatencyMs": 1000,
            "placementAdvisor": {
                "decisionMs": self._plan.advice_ms,
                "periodMs": 0.0,
                "validityMs": 1500,
            },
        }
