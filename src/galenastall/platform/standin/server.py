"""The stand-in as a whole: a store, executors that register themselves, and the advisor."""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Any, Final

import trio

from galenastall.coordination.cell.executors import ExecutorInfo
from galenastall.platform.standin.executor_face import AdvisorFace, ExecutorFace
from galenastall.platform.standin.log_face import StoreFace
from galenastall.protocol.clock import Clock
from galenastall.standin.cell.executors import Executor
from galenastall.standin.cell.live_simulation import LiveSimulation
from galenastall.state.cell.executor_ids import (
    born_ms_of,
    executor_name,
    make_executor_id,
)
from galenastall.state.cell.workspaces import Workspace
from galenastall.state.resources import Resources
from galenastall.transport.http_server import HttpServer

HEARTBEAT_S: Final = 1.5
"""Between two writes of an executor's entry."""
LOOPBACK: Final = "127.0.0.1:0"


@dataclass(frozen=True, kw_only=True, slots=True)
class StandinPlan:
    """What the stand-in has."""

    executors_by_data_centre: dict[str, int]
    service: str = "service"
    capacity: Resources = Resources(cores_milli=32_000, memory_mb=65_536)
    advice_ms: float = 10.0
    """What a call for advice takes."""


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
        """Return what the watch over the executors judges by."""
        return Workspace(name=self.name, weight=self.weight, limit=self.limit)


class PlatformStandin:
    """Serves all of it on loopback until cancelled."""

    def __init__(self, *, plan: StandinPlan, clock: Clock) -> None:
        """Build the faces of `plan`; `run` serves them."""
        self.store = StoreFace()
        self.world = LiveSimulation()
        self.advisor = AdvisorFace()
        self.store_address = ""
        self.advisor_address = ""
        self._plan = plan
        self._clock = clock
        self._started = 0

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve; reports started once all executors are listed."""
        async with trio.open_nursery() as nursery:
            self.store_address = await self._serve(nursery, self.store)
            self.advisor_address = await self._serve(nursery, self.advisor)
            for data_centre, count in self._plan.executors_by_data_centre.items():
                for _ in range(count):
                    await self._add_executor(nursery, data_centre)
            task_status.started()

    async def _serve(self, nursery: trio.Nursery, face: object) -> str:
        server = HttpServer(handlers=[face], clock=self._clock, bind=LOOPBACK)
        await nursery.start(server.run)
        return server.address

    async def _add_executor(self, nursery: trio.Nursery, data_centre: str) -> None:
        self._started += 1
        name = f"executor-{self._started}"
        face = ExecutorFace(world=self.world, executor_id=name)
        info = ExecutorInfo(
            executor_id=self._new_id(name),
            host=f"host-{self._started}",
            address=await self._serve(nursery, face),
            data_centre=data_centre,
            service=self._plan.service,
            capacity=self._plan.capacity,
            labels=("a", f"{data_centre}-rack"),
        )
        self._begin(name, info)
        nursery.start_soon(self._beat, name)

    def restart(self, name: str) -> None:
        """Have an executor start again under its name; it knows nothing of before."""
        earlier = self.world.executors[name]
        self.world.crash(earlier)
        self.world.earlier_incarnations.append(earlier)
        self._begin(name, replace(earlier.info, executor_id=self._new_id(name)))

    def _new_id(self, name: str) -> str:
        return make_executor_id(name, int(self._clock.wall() * 1000))

    def _begin(self, name: str, info: ExecutorInfo) -> None:
        executor = Executor(simulation=self.world, info=info)
        self.world.executors[name] = executor
        self._register(executor, 0)

    async def _beat(self, name: str) -> None:
        sequence = 0
        while True:
            await trio.sleep(HEARTBEAT_S)
            sequence += 1
            self._register(self.world.executors[name], sequence)

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
            "born": born_ms_of(info.executor_id),
        }
        self.store.put("keyed.servers", executor_name(info.executor_id), entry)

    def configure(
        self,
        *routes: dict[str, Any],
        version: int = 1,
        tenants: Iterable[StandinTenant] | None = None,
    ) -> None:
        """Write a configuration as the operator does; None for one without tenants."""
        services = [{"name": self._plan.service}]
        value = {"version": version, "routes": list(routes), "services": services}
        if tenants is not None:
            listed = list(tenants)
            value["tenants"] = [tenant.to_wire() for tenant in listed]
            self.world.quotas.set_workspaces(tenant.to_workspace() for tenant in listed)
        self.store.put("keyed.op", "config", value)

    def make_route(self, name: str, *, priority: int = 1, attempts: int = 2) -> dict[str, Any]:
        """Return a queue whose requests begin with its name."""
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
