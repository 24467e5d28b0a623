"""Emulates what a leader talks to: the store, the executor list, the executors and the advisor."""

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
from galenastall.protocol.cell.ports import StatePage, StoreView
from galenastall.protocol.peers import PeerHandler
from galenastall.standin.cell.executors import Executor, ExecutorSimulation, Run
from galenastall.state.cell.executor_ids import executor_name, make_executor_id
from galenastall.state.cell.hosts import MaintenanceWave, PoolHost
from galenastall.state.cell.jobs import Step, StepKey, TaskKey
from galenastall.state.errors import Reason, StepError
from galenastall.state.ids import HostId
from galenastall.state.resources import Resources

ORDER_S: Final = 0.003
"""Round-trip time of a call to an executor."""
APPEND_S: Final = 0.007
"""Latency of an append to the emulated platform store, in seconds."""
APPEND_BYTES: Final = 1_500_000
"""Size limit of an append, as on the platform."""
RECORD_BYTES: Final = 262_000
"""Size limit of one key and its value, as on the platform."""
READ_S: Final = 0.005
POLL_S: Final = 0.05
"""Interval at which a long poll checks for ended runs."""
SWEEP_INTERVAL_S: Final = 0.005
HOST_RESTART_S: Final = 1.3
"""Time until an executor crashed by a task starts again on its host."""
RESTART_POLL_S: Final = 0.05
SPEEDS: Final = (0.8, 1.0, 1.25)
"""Speed factors of executors."""


def hash_to_unit_interval(*parts: object) -> float:
    """Hash the parts to a number from 0 to 1, so that draws do not depend on the policy."""
    digest = hashlib.blake2b(repr(parts).encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") / 2.0**64


class EmulatedFleet(ExecutorSimulation):
    """Executors that run the arriving tasks for the drawn run times."""

    def __init__(self, *, workload: Workload, arrivals: Iterable[Arrival], seed: int) -> None:
        """Start the executors of a workload."""
        super().__init__()
        self.shows_progress = True
        self.workload = workload
        self.seed = seed
        self.arrivals_by_id: Mapping[str, Arrival] = {a.job.job_id: a for a in arrivals}
        self.infos_by_id: dict[str, ExecutorInfo] = {}
        self.newest_by_name: dict[str, Executor] = {}
        """Latest incarnation of each executor; calls reach only this one."""
        self.crashing_tasks = {
            TaskKey(job_id, 0, 0, 0) for job_id, a in self.arrivals_by_id.items() if a.crashes
        }
        self.task_crashes = 0
        """Number of executors crashed by tasks."""
        self._back_at_by_number: dict[int, float] = {}
        self._factors_by_number: dict[int, float] = {}
        self._started = 0
        self._swept_at = float("-inf")
        self.quotas.set_workspaces(workload.list_workspaces())
        for number in range(workload.executors):
            self.start_executor(number)

    def sweep(self) -> None:
        """Update all runs to the current time, at most once per SWEEP_INTERVAL_S.

        With 176 executors a more frequent sweep is of no use: the leader learns of an end from the
        listing of its executor, which is swept on its own before each answer.
        """
        now = trio.current_time()
        if now >= self._swept_at + SWEEP_INTERVAL_S:
            self._swept_at = now
            super().sweep()

    def start_executor(self, number: int) -> None:
        """Start an executor on a host, or restart it after a crash."""
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
        """Return the id for an executor that starts on a host now."""
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
        """Scale the capacity of some hosts by a factor of their usual capacity."""
        numbers_by_host = {f"host-{number}": number for number in numbers}
        self._factors_by_number |= dict.fromkeys(numbers_by_host.values(), factor)
        for executor_id, executor in self.executors.items():
            number = numbers_by_host.get(executor.info.host)
            if executor.is_up and number is not None:
                executor.resize(self._capacity_of(number))
                self.infos_by_id[executor_id] = executor.info

    def on_crashed_by_task(self, executor: Executor) -> None:
        """Schedule the restart of the executor on its host."""
        self.task_crashes += 1
        number = int(executor.info.host.removeprefix("host-"))
        self._back_at_by_number[number] = trio.current_time() + HOST_RESTART_S

    async def restart_crashed_executors(self) -> None:
        """Restart executors that tasks have crashed, until cancelled."""
        while True:
            await trio.sleep(RESTART_POLL_S)
            now = trio.current_time()
            for number, back_at in list(self._back_at_by_number.items()):
                if back_at <= now:
                    self.start_executor(number)

    def speed_of(self, executor: ExecutorInfo) -> float:
        """Return the speed factor of an executor's host."""
        speeds = self.workload.speeds or SPEEDS
        return speeds[int(hash_to_unit_interval(self.seed, "speed", executor.host) * len(speeds))]

    def workspace_of(self, task: TaskKey) -> str:
        """Return the workspace that owns a task."""
        return self.arrivals_by_id[task.job].job.workspace

    def step_of(self, task: TaskKey) -> Step:
        """Return the step that a task belongs to."""
        return self.arrivals_by_id[task.job].job.steps[task.step]

    def attempts_of(self, task: TaskKey) -> int:
        """Return the number of failed runs after which a task must not start again."""
        return self.arrivals_by_id[task.job].job.queue.max_attempts

    def _run_s(self, task: TaskKey) -> float:
        return self.arrivals_by_id[task.job].run_s_by_step[task.step][task.number]

    def draw_run(self, order: StartOrder) -> tuple[float, bool]:
        """Return the duration of a run and whether it fails."""
        speed = self.speed_of(self.infos_by_id[order.executor_id])
        load = self.workload.queues[self.arrivals_by_id[order.task.job].job.queue.name]
        fails = hash_to_unit_interval(self.seed, "fails", order.task, order.run) < load.fail_share
        return self._run_s(order.task) / speed, fails

    def draw_gang_s(self, members: Iterable[Run]) -> float:
        """Return the duration of a gang's run: that of its longest member at the lowest speed."""
        started = list(members)
        longest_s = max(self._run_s(member.task) for member in started)
        return longest_s / self._gang_speed(started)

    def _gang_speed(self, members: list[Run]) -> float:
        """Return the speed of a gang's slowest member, or the lowest of all if none is given."""
        if not self.workload.speeds:
            return min(SPEEDS)
        hosting = (
            executor.info
            for executor in self.executors.values()
            for member in members
            if executor.runs.get(member.task) is member
        )
        return min(map(self.speed_of, hosting), default=min(self.workload.speeds))

    def is_approved(self, step: StepKey, executor_id: str) -> bool:
        """Return whether the advisor approves the executor's host for a step."""
        advice = self.workload.queues[self.arrivals_by_id[step.job].job.queue.name].advice
        if advice is None:
            return True
        host = self.infos_by_id[executor_id].host
        return hash_to_unit_interval(self.seed, "advice", step, host) < advice.approved_share


class EmulatedPorts:
    """The leader's ports, served by an emulated store, advisor and fleet."""

    def __init__(self, *, fleet: EmulatedFleet) -> None:
        """Connect the ports to `fleet`."""
        self._fleet = fleet
        self._values: dict[str, bytes] = {}
        self._epoch = 0
        self._sequence = -1
        self.is_store_unavailable = False
        self.advice_calls = 0

    @property
    def append_bytes(self) -> int:
        """Return the size limit of one append in bytes."""
        return APPEND_BYTES

    @property
    def record_bytes(self) -> int:
        """Return the size limit of one key and its value in bytes."""
        return RECORD_BYTES

    async def claim(self, *, host_id: str, address: str, log_end: int) -> Result[int, StepError]:
        """Not used: the simulation appoints the leader."""
        raise NotImplementedError

    async def poll(self) -> Result[StoreView, StepError]:
        """Not used: the simulation appoints the leader."""
        raise NotImplementedError

    async def fence(self, *, token: int) -> Result[None, StepError]:
        """Reject older tokens from now on."""
        await trio.sleep(APPEND_S)
        self._epoch, self._sequence = max(self._epoch, token), -1
        return Success(None)

    async def append(
        self, *, token: int, sequence: int, values_by_key: dict[str, bytes], timeout_s: float
    ) -> Result[None, StepError]:
        """Write the values unless this sequence number was already written."""
        await trio.sleep(APPEND_S)
        if self.is_store_unavailable:
            return Failure(StepError(step="lab.append", peer="store", reason=Reason.UNAVAILABLE))
        if token < self._epoch:
            return Failure(StepError(step="lab.append", peer="store", reason=Reason.CONFLICT))
        if sequence > self._sequence:
            self._sequence = sequence
            self._values.update(values_by_key)
            for key in [key for key, value in values_by_key.items() if not value]:
                self._values.pop(key, None)
        return Success(None)

    async def load_page(self, *, after: str) -> Result[StatePage, StepError]:
        """Return all rows, in one page."""
        await trio.sleep(READ_S)
        return Success(StatePage(values_by_key=dict(self._values)))

    async def read(self) -> Result[tuple[ExecutorInfo, ...], StepError]:
        """Return the executors that are up."""
        await trio.sleep(READ_S)
        executors = self._fleet.executors
        infos = self._fleet.infos_by_id.values()
        return Success(tuple(i for i in infos if executors[i.executor_id].is_up))

    def waves(self) -> tuple[MaintenanceWave, ...]:
        """Return no maintenance waves."""
        return ()

    async def list_hosts(self) -> Result[tuple[PoolHost, ...], StepError]:
        """Return no hosts: there are no maintenance waves or pools that need them."""
        return Success(())

    async def order(self, *_: Any, **__: Any) -> Any:
        """Not used: there are no maintenance waves or pools that need it."""
        raise NotImplementedError

    async def report_wave(self, *_: Any, **__: Any) -> Any:
        """Not used: there are no maintenance waves."""
        raise NotImplementedError

    async def start(
        self, *, address: str, order: StartOrder, deadline_ms: int, token: int, timeout_s: float
    ) -> Result[OrderAnswer, StepError]:
        """Start a run."""
        executor = await self._reach(order.executor_id, timeout_s)
        if executor is None:
            return _timed_out(order.executor_id)
        verdict = executor.start(order, deadline_ms, token)
        return Success(OrderAnswer(verdict=verdict, clock_ms=int(executor.clock_ms())))

    async def stop(
        self, *, address: str, order: StopOrder, token: int, timeout_s: float
    ) -> Result[OrderAnswer, StepError]:
        """Stop a run."""
        executor = await self._reach(order.executor_id, timeout_s)
        if executor is None:
            return _timed_out(order.executor_id)
        verdict = executor.stop(order, token)
        return Success(OrderAnswer(verdict=verdict, clock_ms=int(executor.clock_ms())))

    async def throttle(
        self, *, address: str, order: ThrottleOrder, token: int, timeout_s: float
    ) -> Result[OrderAnswer, StepError]:
        """Confirm a throttling rate without effect: the workloads have no filler tasks."""
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
        """Renew the deadline, and return the listing once a run has ended or the wait is over."""
        executor = await self._reach(executor_id, timeout_s)
        if executor is None:
            return _timed_out(executor_id)
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
            return _timed_out(executor_id)
        answering_id, listing = executor.info.executor_id, executor.listing()
        return Success(ListingAnswer(verdict=verdict, executor_id=answering_id, listing=listing))

    async def _reach(self, executor_id: str, timeout_s: float) -> Executor | None:
        await trio.sleep(ORDER_S)
        executor = self._fleet.newest_by_name[executor_name(executor_id)]
        executor.sweep()
        if executor.is_up:
            return executor
        await trio.sleep(timeout_s)
        return None

    async def advise(
        self, *, step: StepKey, executor_ids: tuple[str, ...], timeout_s: float
    ) -> Result[AdviceAnswer, StepError]:
        """Answer an advice request after the latency that the queue defines."""
        arrival = self._fleet.arrivals_by_id[step.job]
        timing = arrival.job.queue.advisor
        assert timing is not None, "advice requested for a step of a queue without advisor"
        self.advice_calls += 1
        await trio.sleep(timing.base_s + timing.per_executor_s * len(executor_ids))
        approved = tuple(
            Approval(executor_id=executor_id, ticket="ticket")
            for executor_id in executor_ids
            if self._fleet.is_approved(step, executor_id)
        )
        return Success(AdviceAnswer(approved=approved, validity_s=timing.validity_s))


class _HostLink:
    """Receiving end of an entry host: dispatches each message to its handler by type."""

    def __init__(self, *, host_id: HostId) -> None:
        self.host_id = host_id
        self._handlers_by_type: dict[type[Any], PeerHandler] = {}

    def set_peers(self, addresses_by_id: dict[HostId, str]) -> None:
        """Do nothing: this end makes no calls, so it needs no addresses."""

    def handle(self, message_type: type[Any], handler: PeerHandler) -> None:
        self._handlers_by_type[message_type] = handler

    async def call(self, *, peer: HostId, message: object, timeout_s: float) -> Result[Any, Any]:
        return Success(await self._handlers_by_type[type(message)](peer, message))

    def send(self, *, peer: HostId, message: object) -> None:
        """Do nothing: this end only answers calls."""


class AdvisorLink:
    """A peer link to entry hosts that only proxy the advisor and cache its answers."""

    def __init__(self, *, ports: EmulatedPorts, nursery: trio.Nursery) -> None:
        """Call the advisor through `ports`; calls outlive a lost leader in `nursery`."""
        self._ports = ports
        self._nursery = nursery
        self._links_by_host: dict[HostId, _HostLink] = {}

    @property
    def host_id(self) -> HostId:
        """Return the id of the leader."""
        return HostId("entry-0")

    def set_peers(self, addresses_by_id: dict[HostId, str]) -> None:
        """Do nothing: entry hosts are reached without addresses."""

    def handle(self, message_type: type[Any], handler: Any) -> None:
        """Do nothing: nobody calls the leader over this link."""

    def send(self, *, peer: HostId, message: object) -> None:
        """Do nothing: no one-way messages are used."""

    async def call(
        self, *, peer: HostId, message: object, timeout_s: float
    ) -> Result[Any, StepError]:
        """Request advice through a host, or the advice that the host has cached."""
        answers: list[Any] = []
        answered = trio.Event()
        self._nursery.start_soon(self._call_host, peer, message, answers, answered)
        await answered.wait()
        return Failure(answers[0]) if isinstance(answers[0], StepError) else Success(answers[0])

    async def _call_host(
        self, peer: HostId, message: object, answers: list[Any], answered: trio.Event
    ) -> None:
        link = self._links_by_host.get(peer)
        if link is None:
            link = self._links_by_host[peer] = _HostLink(host_id=peer)
            AdviceProxy(link=link, advisor=self._ports)
        answer = await link.call(peer=peer, message=message, timeout_s=0.0)
        answers.append(answer.unwrap())
        answered.set()


def _timed_out(peer: str) -> Failure[StepError]:
    return Failure(StepError(step="lab.call", peer=peer, reason=Reason.TIMEOUT))
