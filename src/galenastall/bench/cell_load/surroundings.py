"""What a leader speaks to in the lab: store, list of executors, executors and advisor."""

import hashlib
from collections.abc import Iterable, Mapping
from typing import Any, Final

import trio
from returns.result import Failure, Result, Success

from galenastall.bench.cell_load.arrivals import SERVICE, Arrival
from galenastall.bench.cell_load.workload import Workload
from galenastall.coordination.cell.advice import Approval
from galenastall.coordination.cell.commands import StartOrder, StopOrder, ThrottleOrder
from galenastall.coordination.cell.executors import ExecutorInfo
from galenastall.node.cell.advice_proxy import AdviceProxy
from galenastall.protocol.cell.executor_port import ListingAnswer, OrderAnswer, StartVerdict
from galenastall.protocol.cell.messages import AdviceAnswer
from galenastall.protocol.cell.ports import StoreView
from galenastall.protocol.peers import PeerHandler
from galenastall.standin.cell.executors import Executor, ExecutorSimulation, Run
from galenastall.state.cell.executor_ids import executor_name, make_executor_id
from galenastall.state.cell.hosts import MaintenanceWave, PoolHost
from galenastall.state.cell.jobs import Step, StepKey, TaskKey
from galenastall.state.errors import Reason, StepError
from galenastall.state.ids import HostId
from galenastall.state.resources import Resources

ORDER_S: Final = 0.003
"""Time of a call to an executor and back."""
APPEND_S: Final = 0.007
"""Time of an append, as measured on the platform."""
APPEND_BYTES: Final = 1_500_000
"""Most that an append may write, as on the platform."""
READ_S: Final = 0.005
POLL_S: Final = 0.05
"""Between two looks of a long poll at what has ended."""
SWEEP_EVERY_S: Final = 0.005
AWAY_S: Final = 1.3
"""How long a host is away that a task has crashed."""
BACK_EVERY_S: Final = 0.05
SPEEDS: Final = (0.8, 1.0, 1.25)
"""Executors differ by these factors."""


def chance(*parts: object) -> float:
    """Return a number from 0 to 1 that is the same for the same parts, whatever the policy."""
    digest = hashlib.blake2b(repr(parts).encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") / 2.0**64


class LabWorld(ExecutorSimulation):
    """Executors that run what arrives for as long as was drawn."""

    def __init__(self, *, workload: Workload, arrivals: Iterable[Arrival], seed: int) -> None:
        """Start the fleet of a workload."""
        super().__init__()
        self.shows_progress = True
        self.workload = workload
        self.seed = seed
        self.arrivals_by_id: Mapping[str, Arrival] = {a.job.job_id: a for a in arrivals}
        self.infos_by_id: dict[str, ExecutorInfo] = {}
        self.newest_by_name: dict[str, Executor] = {}
        """The last incarnation of each executor: calls name no other."""
        self.crashing_tasks = {
            TaskKey(job_id, 0, 0, 0) for job_id, a in self.arrivals_by_id.items() if a.crashes
        }
        self.crashed_by_tasks = 0
        """Executors that tasks have crashed."""
        self._back_at_by_number: dict[int, float] = {}
        self._factors_by_number: dict[int, float] = {}
        self._started = 0
        self._swept_at = float("-inf")
        self.quotas.set_workspaces(workload.list_workspaces())
        for number in range(workload.executors):
            self.start_executor(number)

    def sweep(self) -> None:
        """Bring all runs up to now; with 176 executors not more often than ends can matter.

        The leader learns of an end from its executor's own listing, which is brought up to date.
        """
        now = trio.current_time()
        if now >= self._swept_at + SWEEP_EVERY_S:
            self._swept_at = now
            super().sweep()

    def start_executor(self, number: int) -> None:
        """Start an executor on a host, again if there was one."""
        self._back_at_by_number.pop(number, None)
        info = ExecutorInfo(
            executor_id=self._next_id(number),
            host=f"host-{number}",
            address=f"10.0.0.1:{1000 + number}",
            data_centre=f"dc-{number % 3}",
            service=SERVICE,
            capacity=self._capacity_of(number),
            rack=f"rack-{number // self.workload.rack_size}",
        )
        executor = Executor(simulation=self, info=info)
        self.infos_by_id[info.executor_id] = info
        self.executors[info.executor_id] = executor
        self.newest_by_name[executor_name(info.executor_id)] = executor

    def _next_id(self, number: int) -> str:
        """Return the id of an executor that starts on a host now."""
        if self.workload.restarts_keep_names:
            return make_executor_id(f"executor-{number}", int(trio.current_time() * 1000))
        self._started += 1
        return f"executor-{self._started}"

    def _capacity_of(self, number: int) -> Resources:
        factor = self._factors_by_number.get(number, 1.0)
        return Resources(
            cores_milli=int(self.workload.executor_cores_milli * factor),
            memory_mb=int(self.workload.executor_memory_mb * factor),
        )

    def resize(self, numbers: Iterable[int], factor: float) -> None:
        """Give some hosts a share of their usual capacity."""
        numbers_by_host = {f"host-{number}": number for number in numbers}
        self._factors_by_number |= dict.fromkeys(numbers_by_host.values(), factor)
        for executor_id, executor in self.executors.items():
            number = numbers_by_host.get(executor.info.host)
            if executor.is_up and number is not None:
                executor.resize(self._capacity_of(number))
                self.infos_by_id[executor_id] = executor.info

    def on_crashed_by_task(self, executor: Executor) -> None:
        """Have the executor's host come back after a while."""
        self.crashed_by_tasks += 1
        number = int(executor.info.host.removeprefix("host-"))
        self._back_at_by_number[number] = trio.current_time() + AWAY_S

    async def bring_back(self) -> None:
        """Start executors again that tasks have crashed, until cancelled."""
        while True:
            await trio.sleep(BACK_EVERY_S)
            now = trio.current_time()
            for number, back_at in list(self._back_at_by_number.items()):
                if back_at <= now:
                    self.start_executor(number)

    def speed_of(self, executor: ExecutorInfo) -> float:
        """Return how fast a host is."""
        return SPEEDS[int(chance(self.seed, "speed", executor.host) * len(SPEEDS))]

    def workspace_of(self, task: TaskKey) -> str:
        """Return the workspace that owns a task."""
        return self.arrivals_by_id[task.job].job.workspace

    def step_of(self, task: TaskKey) -> Step:
        """Return the step that a task belongs to."""
        return self.arrivals_by_id[task.job].job.steps[task.step]

    def attempts_of(self, task: TaskKey) -> int:
        """Return after how many failed runs a task must not start again."""
        return self.arrivals_by_id[task.job].job.queue.max_attempts

    def _run_s(self, task: TaskKey) -> float:
        return self.arrivals_by_id[task.job].run_s_by_step[task.step][task.number]

    def draw_run(self, order: StartOrder) -> tuple[float, bool]:
        """Return how long a run lasts, and whether it fails."""
        speed = self.speed_of(self.infos_by_id[order.executor_id])
        load = self.workload.queues[self.arrivals_by_id[order.task.job].job.queue.name]
        fails = chance(self.seed, "fails", order.task, order.run) < load.fail_share
        return self._run_s(order.task) / speed, fails

    def draw_gang_s(self, members: Iterable[Run]) -> float:
        """Return how long a gang's run lasts: as its slowest member."""
        return max(self._run_s(member.task) for member in members) / min(SPEEDS)

    def is_approved(self, step: StepKey, executor_id: str) -> bool:
        """Whether the advisor lets a host run a step."""
        advice = self.workload.queues[self.arrivals_by_id[step.job].job.queue.name].advice
        if advice is None:
            return True
        host = self.infos_by_id[executor_id].host
        return chance(self.seed, "advice", step, host) < advice.approved_share


class LabPorts:
    """The ports of a leader onto a lab's world."""

    def __init__(self, *, world: LabWorld) -> None:
        """Serve from `world`."""
        self._world = world
        self._values: dict[str, bytes] = {}
        self._epoch = 0
        self._sequence = -1
        self.is_store_away = False
        self.advice_calls = 0

    @property
    def append_bytes(self) -> int:
        """Return the limit of one append."""
        return APPEND_BYTES

    async def claim(self, *, host_id: str, address: str, log_end: int) -> Result[int, StepError]:
        """Not used: the lab names the leader."""
        raise NotImplementedError

    async def poll(self) -> Result[StoreView, StepError]:
        """Not used: the lab names the leader."""
        raise NotImplementedError

    async def fence(self, *, token: int) -> Result[None, StepError]:
        """Refuse older tokens from now on."""
        await trio.sleep(APPEND_S)
        self._epoch, self._sequence = max(self._epoch, token), -1
        return Success(None)

    async def append(
        self, *, token: int, sequence: int, values_by_key: dict[str, bytes], timeout_s: float
    ) -> Result[None, StepError]:
        """Write once for each sequence number."""
        await trio.sleep(APPEND_S)
        if self.is_store_away:
            return Failure(StepError(step="lab.append", peer="store", reason=Reason.UNAVAILABLE))
        if token < self._epoch:
            return Failure(StepError(step="lab.append", peer="store", reason=Reason.CONFLICT))
        if sequence > self._sequence:
            self._sequence = sequence
            self._values.update(values_by_key)
            for key in [key for key, value in values_by_key.items() if not value]:
                self._values.pop(key, None)
        return Success(None)

    async def load(self) -> Result[dict[str, bytes], StepError]:
        """Return all rows."""
        await trio.sleep(READ_S)
        return Success(dict(self._values))

    async def read(self) -> Result[tuple[ExecutorInfo, ...], StepError]:
        """Return the executors that are up."""
        await trio.sleep(READ_S)
        executors = self._world.executors
        infos = self._world.infos_by_id.values()
        return Success(tuple(i for i in infos if executors[i.executor_id].is_up))

    def waves(self) -> tuple[MaintenanceWave, ...]:
        """Return no waves."""
        return ()

    async def list_hosts(self) -> Result[tuple[PoolHost, ...], StepError]:
        """Return no hosts: no wave or pool asks for them."""
        return Success(())

    async def order(self, *_: Any, **__: Any) -> Any:
        """Not used: no wave or pool asks for it."""
        raise NotImplementedError

    async def report_wave(self, *_: Any, **__: Any) -> Any:
        """Not used: there are no waves."""
        raise NotImplementedError

    async def start(
        self, *, address: str, order: StartOrder, deadline_ms: int, token: int, timeout_s: float
    ) -> Result[OrderAnswer, StepError]:
        """Start a run."""
        executor = await self._reach(order.executor_id, timeout_s)
        if executor is None:
            return _silent(order.executor_id)
        verdict = executor.start(order, deadline_ms, token)
        return Success(OrderAnswer(verdict=verdict, clock_ms=int(executor.clock_ms())))

    async def stop(
        self, *, address: str, order: StopOrder, token: int, timeout_s: float
    ) -> Result[OrderAnswer, StepError]:
        """Stop a run."""
        executor = await self._reach(order.executor_id, timeout_s)
        if executor is None:
            return _silent(order.executor_id)
        verdict = executor.stop(order, token)
        return Success(OrderAnswer(verdict=verdict, clock_ms=int(executor.clock_ms())))

    async def throttle(
        self, *, address: str, order: ThrottleOrder, token: int, timeout_s: float
    ) -> Result[OrderAnswer, StepError]:
        """Confirm a pace; the lab's workloads have no fillers."""
        await trio.sleep(ORDER_S)
        return Success(OrderAnswer(verdict=StartVerdict.STARTED, clock_ms=None))

    async def renew(
        self,
        *,
        address: str,
        executor_id: str,
        deadline_ms: int | None,
        noted: int,
        wait_s: float,
        token: int,
        timeout_s: float,
    ) -> Result[ListingAnswer, StepError]:
        """Renew, and list once a run has ended or the wait is over."""
        executor = await self._reach(executor_id, timeout_s)
        if executor is None:
            return _silent(executor_id)
        executor.sweep()
        verdict = executor.hold(deadline_ms, noted, token)
        if verdict is not StartVerdict.STARTED:
            return Success(ListingAnswer(verdict=verdict, executor_id=executor_id, listing=None))
        until = trio.current_time() + wait_s
        while trio.current_time() < until and executor.is_up and not executor.ended:
            with trio.move_on_after(min(POLL_S, until - trio.current_time())):
                await executor.changed.wait()
            executor.sweep()
        if not executor.is_up:
            return _silent(executor_id)
        there_id, listing = executor.info.executor_id, executor.listing()
        return Success(ListingAnswer(verdict=verdict, executor_id=there_id, listing=listing))

    async def _reach(self, executor_id: str, timeout_s: float) -> Executor | None:
        await trio.sleep(ORDER_S)
        executor = self._world.newest_by_name[executor_name(executor_id)]
        executor.sweep()
        if executor.is_up:
            return executor
        await trio.sleep(timeout_s)
        return None

    async def advise(
        self, *, step: StepKey, executor_ids: tuple[str, ...], timeout_s: float
    ) -> Result[AdviceAnswer, StepError]:
        """Answer a call for advice after the time that it takes."""
        arrival = self._world.arrivals_by_id[step.job]
        timing = arrival.job.queue.advisor
        assert timing is not None, "only steps of advised queues are asked about"
        self.advice_calls += 1
        await trio.sleep(timing.base_s + timing.per_executor_s * len(executor_ids))
        approved = tuple(
            Approval(executor_id=executor_id, ticket="ticket")
            for executor_id in executor_ids
            if self._world.is_approved(step, executor_id)
        )
        return Success(AdviceAnswer(approved=approved, validity_s=timing.validity_s))


class _HostLink:
    """The side of a host that is asked: its handlers by the type of message."""

    def __init__(self, *, host_id: HostId) -> None:
        self.host_id = host_id
        self._handlers_by_type: dict[type[Any], PeerHandler] = {}

    def set_peers(self, addresses_by_id: dict[HostId, str]) -> None:
        """Take no addresses: a host that is asked calls nobody."""

    def handle(self, message_type: type[Any], handler: PeerHandler) -> None:
        self._handlers_by_type[message_type] = handler

    async def call(self, *, peer: HostId, message: object, timeout_s: float) -> Result[Any, Any]:
        return Success(await self._handlers_by_type[type(message)](peer, message))

    def send(self, *, peer: HostId, message: object) -> None:
        """Send nothing: a host that is asked only answers."""


class AdvisorLink:
    """A peer link on which each host only asks the advisor, and keeps what it says."""

    def __init__(self, *, ports: LabPorts, nursery: trio.Nursery) -> None:
        """Ask through `ports`; calls go on in `nursery` when the leader that asked is lost."""
        self._ports = ports
        self._nursery = nursery
        self._links_by_host: dict[HostId, _HostLink] = {}

    @property
    def host_id(self) -> HostId:
        """The leader."""
        return HostId("entry-0")

    def set_peers(self, addresses_by_id: dict[HostId, str]) -> None:
        """All hosts are known."""

    def handle(self, message_type: type[Any], handler: Any) -> None:
        """Nobody calls the leader over this link."""

    def send(self, *, peer: HostId, message: object) -> None:
        """Nothing is sent one way."""

    async def call(
        self, *, peer: HostId, message: object, timeout_s: float
    ) -> Result[Any, StepError]:
        """Ask the advisor through a host, or the host for what the advisor told it."""
        answers: list[Any] = []
        answered = trio.Event()
        self._nursery.start_soon(self._ask, peer, message, answers, answered)
        await answered.wait()
        return Failure(answers[0]) if isinstance(answers[0], StepError) else Success(answers[0])

    async def _ask(
        self, peer: HostId, message: object, answers: list[Any], answered: trio.Event
    ) -> None:
        link = self._links_by_host.get(peer)
        if link is None:
            link = self._links_by_host[peer] = _HostLink(host_id=peer)
            AdviceProxy(link=link, advisor=self._ports)
        answer = await link.call(peer=peer, message=message, timeout_s=0.0)
        answers.append(answer.unwrap())
        answered.set()


def _silent(peer: str) -> Failure[StepError]:
    return Failure(StepError(step="lab.call", peer=peer, reason=Reason.TIMEOUT))
