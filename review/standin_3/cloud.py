"""The platform's list of machines, and its orders to them."""

import asyncio
import time

from standin_3.executors import Executors
from standin_3.http import Request, Response, Server


class Cloud:
    """Serves `/machines`, `/machine-upkeep` and `/machine-move`."""

    def __init__(self, *, executors: Executors, note: object) -> None:
        """Operate on the machines of `executors`."""
        self.executors = executors
        self.note = note
        self.server = Server(self._handle)
        self.waves: dict[int, dict] = {}
        self.maintained: set[tuple[int, str]] = set()
        self.down_for: dict[str, int] = {}
        """The wave of each machine's last upkeep."""
        self.fences: dict[str, int] = {}
        self.maintenance_s, self.migration_s = 2.0, 1.5
        self.is_down = False
        """Whether it answers 503 to all calls."""
        self.before_order = None
        """Called with the machine before an order that is carried out ends what runs there."""
        self._tasks: set[asyncio.Task] = set()

    def order_wave(self, number: int, machines: list[str], *, duration_s: float, most: int) -> None:
        """Write a wave as the operator does."""
        wave = {
            "wave": number,
            "machines": machines,
            "durationS": duration_s,
            "upperLimit": most,
        }
        self.waves[number] = wave
        self.executors.store.put("keyed.op", f"wave/{number}", wave)
        self.note("wave.sent", str(number), machines=",".join(machines), most=most)

    async def _handle(self, request: Request) -> Response | None:
        if self.is_down:
            return Response(503)
        if request.path == "/machines":
            return Response.of(200, {"machines": [self._row(m) for m in self._all()]})
        message = request.json()
        machine = self.executors.machines.get(message["machine"])
        if machine is None:
            return Response(400)
        token = int(request.headers.get("fencing-token", "0"))
        if token < self.fences.get(machine.name, 0):
            return Response.of(409, {"reason": "fence"})
        self.fences[machine.name] = token
        if request.path == "/machine-upkeep":
            return self._upkeep(machine, message["wave"])
        return self._move(machine, message["pool"])

    def _all(self) -> list:
        return [self.executors.machines[name] for name in sorted(self.executors.machines)]

    @staticmethod
    def _row(machine: object) -> dict:
        row = {
            "machine": machine.name,
            "pool": machine.pool,
            "state": machine.state,
            "zone": machine.zone,
            "labels": machine.labels,
            "capacity": machine.capacity,
        }
        is_up = machine.executor is not None and machine.executor.is_up
        return {**row, "id": machine.executor.name} if is_up else row

    def _upkeep(self, machine: object, wave: int) -> Response:
        if machine.name not in self.waves.get(wave, {}).get("machines", []):
            return Response.of(409, {"reason": "wave"})
        if (wave, machine.name) in self.maintained:
            return Response(200)
        if machine.state != "up":
            return Response.of(409, {"reason": "busy"})
        down = sum(
            1
            for name, number in self.down_for.items()
            if number == wave and self.executors.machines[name].state == "upkeep"
        )
        if down >= self.waves[wave]["upperLimit"]:
            self.executors.broken("LIMIT", f"upkeep of {machine.name} beside {down} others")
        self.maintained.add((wave, machine.name))
        self.down_for[machine.name] = wave
        self.note("machine.upkeep", machine.name, wave=wave)
        self._take_down(machine, "upkeep", self.maintenance_s)
        return Response(200)

    def _move(self, machine: object, pool: str) -> Response:
        if machine.pool == pool:
            return Response(200)
        if machine.state != "up":
            return Response.of(409, {"reason": "busy"})
        self.note("machine.move", machine.name, pool=pool)
        machine.pool = pool
        self._take_down(machine, "moving", self.migration_s)
        return Response(200)

    def _take_down(self, machine: object, state: str, down_s: float) -> None:
        if self.before_order is not None:
            self.before_order(machine)
        machine.state = state
        if machine.executor is not None:
            machine.executor.crash(state)
        task = asyncio.create_task(self._bring_up(machine, time.monotonic() + down_s))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _bring_up(self, machine: object, at: float) -> None:
        await asyncio.sleep(max(at - time.monotonic(), 0.0))
        if machine.pool == "standby":
            machine.state = "up"
            return
        await self.executors.add(machine)
