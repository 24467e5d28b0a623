"""An in-memory platform for cell hosts: store, executors, links and faults, all on trio's clock.

It guarantees only what the platform guarantees: calls may be refused, lost, carried out without an
answer, or carried out seconds later. It checks invariants while it runs.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any

import trio
from returns.result import Failure, Result, Success

from cell.simulation_hosts import CAPACITY, Hosts
from cell.simulation_store import Store
from galenastall.coordination.cell.commands import StartOrder, StopOrder, ThrottleOrder
from galenastall.coordination.cell.executors import ExecutorInfo
from galenastall.coordination.cell.host_orders import HostOrder, HostOutcome
from galenastall.protocol.cell.config import CellConfig, QueueRoute
from galenastall.protocol.cell.executor_port import ListingAnswer, OrderAnswer, StartVerdict
from galenastall.protocol.cell.messages import GetConfig, GetConfigPart, SubmitJob
from galenastall.protocol.cell.ports import LeaderRecord, StatePage, StoreView
from galenastall.standin.cell.executors import Executor, ExecutorSimulation, Run
from galenastall.state.cell.executor_ids import executor_name, make_executor_id
from galenastall.state.cell.hosts import MaintenanceWave, PoolHost
from galenastall.state.cell.jobs import CellJob, Queue, Step, TaskKey
from galenastall.state.cell.workspaces import Workspace
from galenastall.state.errors import Reason, StepError
from galenastall.state.ids import HostId
from galenastall.state.resources import Resources


@dataclass(kw_only=True)
class Faults:
    """The faults in effect; tests change them while hosts run."""

    cut: set[tuple[str, str]] = field(default_factory=set)
    """Pairs of caller and callee between which calls are lost."""
    answers_cut: set[tuple[str, str]] = field(default_factory=set)
    """Pairs of caller and callee between which calls arrive but answers are lost."""
    store_refuses: set[str] = field(default_factory=set)
    """Hosts whose calls the store refuses."""
    deaf: set[str] = field(default_factory=set)
    """Hosts that read nothing that other hosts send, until their sockets are rebuilt."""
    failed_rebuilds: int = 0
    """How many of the next rebuilds of sockets can't bind the address."""
    lost: float = 0.0
    """Share of calls that are carried out but not answered."""
    late: float = 0.0
    """Share of calls that are not answered and are carried out late."""
    late_s: tuple[float, float] = (2.0, 6.0)
    """Minimum and maximum delay of late calls."""
    late_starts_s: list[float] = field(default_factory=list)
    """Delays of the next starts, which are carried out that much later and not answered."""
    late_acks_s: list[float] = field(default_factory=list)
    """The same for the next polls that acknowledge ends."""
    lost_calls: dict[tuple[str, str], int] = field(default_factory=dict)
    """How many of the next calls from one host to another are lost on the way."""
    lost_answers: dict[tuple[str, str], int] = field(default_factory=dict)
    """How many of the next calls from one host to another are carried out but not answered."""
    slow_s: float = 0.0
    """Delay added to each answer of the store."""
    config_undelivered: set[str] = field(default_factory=set)
    """Hosts that receive no configuration, neither from the store nor from other hosts."""
    load_bytes_per_s: dict[str, float] = field(default_factory=dict)
    """Rate at which a host loads the state; hosts without an entry load at once."""

    def clear(self) -> None:
        """End all faults."""
        self.cut.clear()
        self.deaf.clear()
        self.answers_cut.clear()
        self.store_refuses.clear()
        self.config_undelivered.clear()
        self.load_bytes_per_s.clear()
        self.lost_calls.clear()
        self.lost_answers.clear()
        self.lost = self.late = self.slow_s = 0.0


def _takes_one(left_by_pair: dict[tuple[str, str], int], pair: tuple[str, str]) -> bool:
    """Count down a pair's messages that are still to be lost; whether this one is."""
    left = left_by_pair.get(pair, 0)
    left_by_pair[pair] = max(left - 1, 0)
    return left > 0


class Simulation(ExecutorSimulation):
    """Everything outside the hosts, with the checks of the invariants."""

    def __init__(
        self, *, rng: Random, nursery: trio.Nursery, executors: int = 4, keeps_ids: bool = False
    ) -> None:
        super().__init__()
        self.rng = rng
        self.nursery = nursery
        self.keeps_ids = keeps_ids
        """Whether an executor that restarts on a host keeps its id."""
        self.faults = Faults()
        self.store = Store()
        self.hosts = Hosts(simulation=self)
        self.links: dict[str, MemoryLink] = {}
        self.probed: list[str] = []
        """Hosts that have probed their inboxes, in this order."""
        self.rebuilt: list[str] = []
        """Hosts that have rebuilt their sockets, in this order."""
        self.listed: dict[str, ExecutorInfo] = {}
        self.jobs: dict[str, CellJob] = {}
        self.queue = Queue(name="queue", service="service", max_attempts=3, stretch=4.0)
        self.config = CellConfig(
            version=1, routes=(QueueRoute(host="q", path_prefix="/q/", queue=self.queue),)
        )
        self.urgent_queue = replace(self.queue, name="urgent", priority=0)
        self.fail_share = 0.05
        self.run_lasts_s = (0.2, 2.5)
        self.speeds_by_host: dict[str, float] = {}
        """Speeds of hosts, 1.0 where there is no entry; a run takes its time divided by the speed.
        """
        self.crash_downtime_s = (1.0, 3.0)
        """Minimum and maximum downtime of a host that a task has crashed."""
        self._started = 0
        self.renewals = 0
        """Number of polls for a listing so far."""
        for number in range(executors):
            self.start_executor(f"host-{number}")

    def start_executor(self, host: str) -> Executor:
        """Start an executor on a host, or return the one that is up there."""
        living = (e for e in self.executors.values() if e.is_up and e.info.host == host)
        if (executor := next(living, None)) is not None:
            return executor
        self._started += 1
        name = self._name_on(host)
        born_ms = int(trio.current_time() * 1000) if self.keeps_ids else None
        info = ExecutorInfo(
            executor_id=make_executor_id(name, born_ms),
            host=host,
            address=name,
            data_centre="dc",
            service="service",
            capacity=CAPACITY,
            labels=("a",),
        )
        executor = Executor(simulation=self, info=info, rate=self.rng.choice([1.0, 0.98, 0.99]))
        if name in self.executors:
            self.earlier_incarnations.append(self.executors[name])
        self.executors[name] = executor
        self.listed[name] = executor.info
        return executor

    def _name_on(self, host: str) -> str:
        """Return the id for an executor that starts on a host now."""
        names = (name for name, executor in self.executors.items() if executor.info.host == host)
        known = next(names, None) if self.keeps_ids else None
        return known or f"executor-{self._started}"

    def delist(self, executor: Executor) -> None:
        """Remove an executor's entry, unless a later incarnation has replaced it."""
        name = executor_name(executor.info.executor_id)
        if self.executors.get(name) is executor:
            self.listed.pop(name, None)

    def on_crashed_by_task(self, executor: Executor) -> None:
        self.nursery.start_soon(self._come_back, executor)

    async def _come_back(self, executor: Executor) -> None:
        self.nursery.start_soon(self._delist, executor)
        await trio.sleep(self.rng.uniform(*self.crash_downtime_s))
        self.start_executor(executor.info.host)

    async def _delist(self, executor: Executor) -> None:
        """Remove an entry after three missed heartbeats."""
        await trio.sleep(self.rng.uniform(3.0, 4.5))
        self.delist(executor)

    def resize(self, executor: Executor, capacity: Resources) -> None:
        """Change an executor's capacity; the list shows it at once."""
        executor.resize(capacity)
        name = executor_name(executor.info.executor_id)
        if name in self.listed:
            self.listed[name] = executor.info

    def workspace_of(self, task: TaskKey) -> str:
        return self.jobs[task.job].workspace

    def set_workspaces(self, *workspaces: Workspace) -> None:
        """Write a new configuration version with these workspaces, as the operator would."""
        version = self.config.version + 1
        self.config = replace(self.config, version=version, workspaces=workspaces)
        self.quotas.set_workspaces(workspaces)

    def add_urgent_queue(self) -> None:
        """Write a new configuration version with the urgent queue, as the operator would."""
        route = QueueRoute(host="q", path_prefix="/urgent/", queue=self.urgent_queue)
        routes = (*self.config.routes, route)
        self.config = replace(self.config, version=self.config.version + 1, routes=routes)

    def step_of(self, task: TaskKey) -> Step:
        return self.jobs[task.job].steps[task.step]

    def attempts_of(self, task: TaskKey) -> int:
        return self.queue.max_attempts

    def draw_run(self, order: StartOrder) -> tuple[float, bool]:
        lasts_s = self.rng.uniform(*self.run_lasts_s)
        host = self.executors[executor_name(order.executor_id)].info.host
        speed = self.speeds_by_host.get(host, 1.0)
        return lasts_s / speed, self.rng.random() < self.fail_share

    def draw_gang_s(self, members: Iterable[Run]) -> float:
        return self.rng.uniform(0.2, 2.0)


class HostView:
    """The platform's ports as seen from one host."""

    def __init__(self, *, simulation: Simulation, host_id: str) -> None:
        self.simulation = simulation
        self.host_id = host_id

    async def _call(
        self, callee: str, timeout_s: float, act: Any, *, late_s: float | None = None
    ) -> Result[Any, StepError]:
        """Carry out a call, subject to the current faults; with `late_s` that much later."""
        simulation, faults = self.simulation, self.simulation.faults
        await trio.sleep(simulation.rng.uniform(0.001, 0.004))
        if callee == "store" and self.host_id in faults.store_refuses:
            return self._failure(callee, Reason.UNAVAILABLE)
        if (self.host_id, callee) in faults.cut:
            await trio.sleep(timeout_s)
            return self._failure(callee, Reason.TIMEOUT)
        is_late = simulation.rng.random() < faults.late
        if late_s is None and is_late:
            late_s = simulation.rng.uniform(*faults.late_s)
        if late_s is not None:
            simulation.nursery.start_soon(self._act_late, act, late_s)
            await trio.sleep(timeout_s)
            return self._failure(callee, Reason.TIMEOUT)
        found = act()
        if (self.host_id, callee) in faults.answers_cut:
            await trio.sleep(timeout_s)
            return self._failure(callee, Reason.TIMEOUT)
        if simulation.rng.random() < faults.lost:
            await trio.sleep(timeout_s)
            return self._failure(callee, Reason.TIMEOUT)
        slow_s = faults.slow_s if callee == "store" else 0.0
        await trio.sleep(simulation.rng.uniform(0.001, 0.004) + slow_s)
        return Success(found)

    async def _act_late(self, act: Any, after_s: float) -> None:
        await trio.sleep(after_s)
        act()

    def _failure(self, callee: str, reason: Reason) -> Failure[StepError]:
        return Failure(StepError(step="world.call", peer=callee, reason=reason))

    @property
    def append_bytes(self) -> int:
        return self.simulation.store.append_bytes

    @property
    def record_bytes(self) -> int:
        store = self.simulation.store
        return min(store.record_bytes, store.append_bytes)

    async def claim(
        self, *, host_id: str, address: str, weight: float, log_end: int
    ) -> Result[int, StepError]:
        store = self.simulation.store
        answer = await self._call(
            "store", 1.0, lambda: store.claim(host_id, address, weight, log_end)
        )
        if isinstance(answer, Success) and answer.unwrap() is None:
            return self._failure("store", Reason.CONFLICT)
        return answer

    async def fence(self, *, token: int) -> Result[None, StepError]:
        answer = await self._call("store", 1.0, lambda: self.simulation.store.fence(token))
        return self._checked(answer)

    async def append(
        self, *, token: int, sequence: int, values_by_key: dict[str, bytes], timeout_s: float
    ) -> Result[None, StepError]:
        store = self.simulation.store
        size = sum(len(key) + len(value) for key, value in values_by_key.items())
        store.largest_append = max(store.largest_append, size)
        if size > store.append_bytes:
            await self._call("store", timeout_s, lambda: None)
            return self._failure("store", Reason.INVALID)
        if not all(store.takes_record(key, value) for key, value in values_by_key.items()):
            store.refused_records += 1
            await self._call("store", timeout_s, lambda: None)
            return self._failure("store", Reason.INVALID)
        answer = await self._call(
            "store", timeout_s, lambda: store.append(token, sequence, values_by_key)
        )
        return self._checked(answer)

    def _checked(self, answer: Result[bool, StepError]) -> Result[None, StepError]:
        if isinstance(answer, Failure):
            return answer
        if not answer.unwrap():
            return self._failure("store", Reason.CONFLICT)
        return Success(None)

    async def load_page(self, *, after: str) -> Result[StatePage, StepError]:
        answer = await self._call("store", 1.0, lambda: self.simulation.store.page(after))
        rate = self.simulation.faults.load_bytes_per_s.get(self.host_id)
        if rate is not None and isinstance(answer, Success):
            page: StatePage = answer.unwrap()
            await trio.sleep(sum(map(len, page.values_by_key.values())) / rate)
        return answer

    async def poll(self) -> Result[StoreView, StepError]:
        return await self._call("store", 1.0, self._view)

    def _view(self) -> StoreView:
        store = self.simulation.store
        leader = None
        if store.claims:
            host_id, address = store.claims[-1]
            leader = LeaderRecord(
                token=store.newest_token,
                host_id=host_id,
                address=address,
                weight=store.claimed_weight,
            )
        return StoreView(leader=leader, log_end=store.log_end)

    async def read(self) -> Result[tuple[ExecutorInfo, ...], StepError]:
        return await self._call("store", 1.0, lambda: tuple(self.simulation.listed.values()))

    @property
    def is_receiving(self) -> bool:
        return False

    async def wait(self) -> Result[CellConfig | None, StepError]:
        await trio.sleep(0.5)
        return await self.newest()

    async def newest(self) -> Result[CellConfig | None, StepError]:
        if self.host_id in self.simulation.faults.config_undelivered:
            await trio.sleep(1.0)
            return self._failure("store", Reason.TIMEOUT)
        return await self._call("store", 1.0, lambda: self.simulation.config)

    def waves(self) -> tuple[MaintenanceWave, ...]:
        return tuple(self.simulation.hosts.waves)

    async def list_hosts(self) -> Result[tuple[PoolHost, ...], StepError]:
        return await self._call("hosts", 1.0, self.simulation.hosts.list_all)

    async def order(
        self, order: HostOrder, *, holder: str, token: int
    ) -> Result[HostOutcome, StepError]:
        answer = await self._call("hosts", 1.0, lambda: self.simulation.hosts.order(order, token))
        if isinstance(answer, Success) and answer.unwrap() is None:
            return self._failure("hosts", Reason.CONFLICT)
        return answer

    async def report_wave(
        self, number: int, *, is_completed: bool, token: int, sequence: int
    ) -> Result[None, StepError]:
        hosts = self.simulation.hosts
        answer = await self._call(
            "store", 1.0, lambda: hosts.report_wave(number, is_completed, token, sequence)
        )
        return self._checked(answer)

    def _executor(self, executor_id: str) -> Executor | None:
        """Return the incarnation of an executor that is up, if any: calls reach no other."""
        executor = self.simulation.executors.get(executor_name(executor_id))
        return executor if executor is not None and executor.is_up else None

    async def start(
        self, *, address: str, order: StartOrder, deadline_ms: int, token: int, timeout_s: float
    ) -> Result[OrderAnswer, StepError]:
        return await self._order(
            order.executor_id,
            timeout_s,
            lambda e: e.start(order, deadline_ms, token),
            delays_s=self.simulation.faults.late_starts_s,
        )

    async def stop(
        self, *, address: str, order: StopOrder, token: int, timeout_s: float
    ) -> Result[OrderAnswer, StepError]:
        return await self._order(order.executor_id, timeout_s, lambda e: e.stop(order, token))

    async def throttle(
        self, *, address: str, order: ThrottleOrder, token: int, timeout_s: float
    ) -> Result[OrderAnswer, StepError]:
        return await self._order(order.executor_id, timeout_s, lambda e: StartVerdict.STARTED)

    async def _order(
        self, executor_id: str, timeout_s: float, act: Any, *, delays_s: list[float] | None = None
    ) -> Result[OrderAnswer, StepError]:
        if self._executor(executor_id) is None:
            await trio.sleep(timeout_s)
            return self._failure(executor_id, Reason.TIMEOUT)

        def carry_out() -> OrderAnswer | None:
            self.simulation.sweep()
            executor = self._executor(executor_id)
            if executor is None:
                return None
            return OrderAnswer(verdict=act(executor), clock_ms=int(executor.clock_ms()))

        late_s = delays_s.pop(0) if delays_s else None
        answer = await self._call(executor_name(executor_id), timeout_s, carry_out, late_s=late_s)
        if isinstance(answer, Success) and answer.unwrap() is None:
            return self._failure(executor_id, Reason.CUT)
        return answer

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
        self.simulation.renewals += 1
        answer = await self._order(
            executor_id,
            timeout_s,
            lambda e: e.hold(deadline_ms, noted, token),
            delays_s=self.simulation.faults.late_acks_s if noted > 0 else None,
        )
        if isinstance(answer, Failure):
            return answer
        verdict = answer.unwrap().verdict
        executor = self._executor(executor_id)
        if verdict is not StartVerdict.STARTED or executor is None:
            return Success(ListingAnswer(verdict=verdict, executor_id=executor_id, listing=None))
        until = trio.current_time() + wait_s
        while trio.current_time() < until:
            executor.sweep()
            if executor.ended or not executor.is_up:
                break
            with trio.move_on_after(min(0.05, until - trio.current_time())):
                await executor.changed.wait()
        callee = executor_name(executor_id)
        listing = executor.listing()
        # Listing brings the runs up to date, and one of them may crash the executor.
        if not executor.is_up or (self.host_id, callee) in self.simulation.faults.cut:
            await trio.sleep(0.5)
            return self._failure(executor_id, Reason.TIMEOUT)
        await trio.sleep(self.simulation.rng.uniform(0.001, 0.003))
        return Success(
            ListingAnswer(verdict=verdict, executor_id=executor.info.executor_id, listing=listing)
        )


class MemoryLink:
    """An in-memory peer link; messages pass unless the pair is cut."""

    def __init__(self, *, simulation: Simulation, host_id: str) -> None:
        self.simulation = simulation
        self._host_id = HostId(host_id)
        self._handlers: dict[type[Any], Any] = {}
        self._nursery: trio.Nursery | None = None
        self._peers: dict[HostId, str] = {}

    @property
    def host_id(self) -> HostId:
        return self._host_id

    def set_peers(self, addresses_by_id: dict[HostId, str]) -> None:
        self._peers = dict(addresses_by_id)

    def handle(self, message_type: type[Any], handler: Any) -> None:
        self._handlers[message_type] = handler

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            self.simulation.links[self._host_id] = self
            task_status.started()
            await trio.sleep_forever()

    def _reach(self, peer: str) -> "MemoryLink | None":
        is_cut = (self._host_id, peer) in self.simulation.faults.cut
        known = peer == self._host_id or peer in self._peers
        return self.simulation.links.get(peer) if known and not is_cut else None

    async def call(self, *, peer: HostId, message: object, timeout_s: float) -> Any:
        target = self._reach(peer)
        if target is None:
            await trio.sleep(0.01)
            reason = Reason.UNREACHABLE
            return Failure(StepError(step="world.peer", peer=peer, reason=reason))
        if (
            isinstance(message, GetConfig | GetConfigPart)
            and self._host_id in self.simulation.faults.config_undelivered
        ):
            await trio.sleep(timeout_s)
            return Failure(StepError(step="world.peer", peer=peer, reason=Reason.TIMEOUT))
        if isinstance(message, SubmitJob):
            self.simulation.jobs.setdefault(message.job.job_id, message.job)
        faults, pair = self.simulation.faults, (self._host_id, peer)
        with trio.move_on_after(timeout_s):
            if _takes_one(faults.lost_calls, pair) or peer in faults.deaf:
                await trio.sleep_forever()
            is_answer_lost = _takes_one(faults.lost_answers, pair)
            await trio.sleep(0.001)
            answer = await target._handlers[type(message)](self._host_id, message)
            is_answered = (peer, self._host_id) not in faults.cut and not is_answer_lost
            if is_answered and self.simulation.links.get(peer) is target:
                return Failure(answer) if isinstance(answer, StepError) else Success(answer)
            await trio.sleep_forever()
        return Failure(StepError(step="world.peer", peer=peer, reason=Reason.TIMEOUT))

    def send(self, *, peer: HostId, message: object) -> None:
        target = self._reach(peer)
        if peer in self.simulation.faults.deaf:
            return
        if target is not None and target._nursery is not None:
            handler = target._handlers[type(message)]
            target._nursery.start_soon(handler, self._host_id, message)

    async def probe_inbox(self, *, timeout_s: float) -> Result[None, StepError]:
        self.simulation.probed.append(self._host_id)
        if self._host_id not in self.simulation.faults.deaf:
            return Success(None)
        await trio.sleep(timeout_s)
        return Failure(StepError(step="world.probe", peer="", reason=Reason.TIMEOUT))

    async def rebuild(self) -> Result[None, StepError]:
        faults = self.simulation.faults
        if faults.failed_rebuilds > 0:
            faults.failed_rebuilds -= 1
            return Failure(StepError(step="world.rebuild", peer="", reason=Reason.UNAVAILABLE))
        faults.deaf.discard(self._host_id)
        self.simulation.rebuilt.append(self._host_id)
        return Success(None)
