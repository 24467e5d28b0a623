"""Compare ways to share executors' slots between entry hosts, by a loop over the pure core.

Run as `python -m galenastall.bench.request_policies`; prints one JSON line for each way and load.
Three entry hosts of one data centre, unevenly loaded; eight executors of eight slots. `permits` is
what the product does; `shares` splits each executor's slots between the entry hosts for good;
`forward` sends at once to the less loaded of two executors by figures that are half a second old,
and lets executors queue.
"""

import argparse
import heapq
import itertools
import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any, Final

import msgspec

from galenastall.coordination.requests.admission import Admission, AdmissionLimits, WaitingRequest
from galenastall.coordination.requests.permit_types import OwnedUpstream, Permit, PermitLimits
from galenastall.coordination.requests.permits import PermitHolder
from galenastall.coordination.requests.slots import OwnedSlots, all_slots
from galenastall.state.ids import Epoch, HostId, RequestId, TeamPath
from galenastall.state.registry import Registry
from galenastall.state.work import Urgency

HOSTS: Final = tuple(HostId(f"e{number}") for number in range(3))
ARRIVAL_WEIGHTS: Final = (0.6, 0.25, 0.15)
"""Shares of the arrivals, since a balancer is rarely even over a minute."""
EXECUTORS: Final = tuple(HostId(f"x{number}") for number in range(8))
SLOTS: Final = 8
MEAN_SERVICE_S: Final = 0.05
DEADLINE_S: Final = 1.0
MESSAGE_S: Final = 0.0004
"""One-way time of a message between entry hosts, work on both sides included."""
GOSSIP_S: Final = 0.5
TICK_S: Final = 0.025
LIMITS: Final = PermitLimits()
EPOCH: Final = Epoch(1)


@dataclass(slots=True)
class Executor:
    """Slots and a queue of (service time, ended)."""

    busy: int = 0
    queue: list[tuple[float, Callable[[], None]]] = field(default_factory=list)
    peak: int = 0
    """Largest number in progress or queued at once."""


@dataclass(slots=True)
class Tally:
    """What the callers and the executors saw."""

    offered: int = 0
    in_time: int = 0
    refused: int = 0
    ran_late: int = 0
    """Ran though its caller had given up: counted as unknown."""
    latencies_s: list[float] = field(default_factory=list)


class World:
    """Events in time order."""

    def __init__(self, seed: int) -> None:
        """Start at 0."""
        self.now = 0.0
        self.random = Random(seed)
        self.tally = Tally()
        self.executors_by_id = {name: Executor() for name in EXECUTORS}
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._order = itertools.count()

    def at(self, time: float, work: Callable[..., None], *args: Any) -> None:
        """Do something at a time."""
        heapq.heappush(self._events, (time, next(self._order), work, args))

    def run(self, until: float) -> None:
        """Run all events up to a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, work, args = heapq.heappop(self._events)
            work(*args)

    def execute(self, name: HostId, request: WaitingRequest, ended: Callable[[], None]) -> None:
        """Run a request, or queue it at the executor if its slots are taken."""
        executor = self.executors_by_id[name]
        service_s = self.random.expovariate(1 / MEAN_SERVICE_S)

        def over() -> None:
            executor.busy -= 1
            if executor.queue:
                self._start(executor, *executor.queue.pop(0))
            self._judge(request)
            ended()

        if executor.busy < SLOTS:
            self._start(executor, service_s, over)
        else:
            executor.queue.append((service_s, over))
        executor.peak = max(executor.peak, executor.busy + len(executor.queue))

    def _start(self, executor: Executor, service_s: float, over: Callable[[], None]) -> None:
        executor.busy += 1
        self.at(self.now + service_s, over)

    def _judge(self, request: WaitingRequest) -> None:
        if self.now > request.deadline:
            self.tally.ran_late += 1
            return
        self.tally.in_time += 1
        self.tally.latencies_s.append(self.now - (request.deadline - DEADLINE_S))


Scheme = Callable[[World], Callable[[int, WaitingRequest], None]]
SCHEMES: Final[Registry[Scheme]] = Registry(kind="way to share slots")
"""Each takes the world and returns what takes an arrival at an entry host."""


@SCHEMES.register("forward")
def forward(world: World) -> Callable[[int, WaitingRequest], None]:
    """Send at once to the less loaded of two, by stale figures."""
    gossiped: dict[HostId, int] = {}
    sent: list[dict[HostId, int]] = [{}, {}, {}]

    def gossip() -> None:
        for name, executor in world.executors_by_id.items():
            gossiped[name] = executor.busy + len(executor.queue)
        for since in sent:
            since.clear()
        world.at(world.now + GOSSIP_S, gossip)

    def arrive(host: int, request: WaitingRequest) -> None:
        since = sent[host]
        pair = world.random.sample(EXECUTORS, 2)
        name = min(pair, key=lambda one: gossiped[one] + since.get(one, 0))
        since[name] = since.get(name, 0) + 1
        world.execute(name, request, lambda: None)

    gossip()
    return arrive


@SCHEMES.register("shares")
def shares(world: World) -> Callable[[int, WaitingRequest], None]:
    """Each entry host uses its own part of each executor and queues what does not fit."""
    queues = [Admission(limits=AdmissionLimits()) for _ in HOSTS]
    free = [
        {name: SLOTS // len(HOSTS) + (host < SLOTS % len(HOSTS)) for name in EXECUTORS}
        for host in range(len(HOSTS))
    ]

    def dispatch(host: int) -> None:
        while True:
            _drop_late(world, queues[host])
            name = max(EXECUTORS, key=lambda one: free[host][one])
            request = queues[host].take(now=world.now) if free[host][name] else None
            if request is None:
                return
            free[host][name] -= 1

            def ended(name: HostId = name) -> None:
                free[host][name] += 1
                dispatch(host)

            world.execute(name, request, ended)

    def arrive(host: int, request: WaitingRequest) -> None:
        if _admit(world, queues[host], request):
            dispatch(host)

    return arrive


@SCHEMES.register("permits")
def permits(world: World) -> Callable[[int, WaitingRequest], None]:
    """Ask the owner for a permit; the owner counts exactly."""
    return _Permits(world).arrive


class _Permits:
    """Owners, holders and queues of the three entry hosts."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._queues = [Admission(limits=AdmissionLimits()) for _ in HOSTS]
        self._holders = [PermitHolder(limits=LIMITS) for _ in HOSTS]
        self._owners = [OwnedSlots(limits=LIMITS, clients=len(HOSTS)) for _ in HOSTS]
        for number, name in enumerate(EXECUTORS):
            upstream = OwnedUpstream(host_id=name, address=name, slots=SLOTS, connections=64)
            owner = self._owners[number % len(HOSTS)]
            owner.open(upstream=upstream, epoch=EPOCH, unreported=(), now=0.0)
        self._tick()

    def arrive(self, host: int, request: WaitingRequest) -> None:
        """Queue a request and ask for a permit."""
        if _admit(self._world, self._queues[host], request):
            self._pump(host)

    def _tick(self) -> None:
        for host in range(len(HOSTS)):
            _drop_late(self._world, self._queues[host])
            self._holders[host].expire_asks(now=self._world.now)
            self._pump(host)
        self._world.at(self._world.now + TICK_S, self._tick)

    def _pump(self, host: int) -> None:
        world, holder = self._world, self._holders[host]
        while holder.outstanding < min(len(self._queues[host]), 64):
            owner = self._choose(host)
            ask_id = holder.ask(owner=HOSTS[owner], now=world.now)
            delay_s = 0.0 if owner == host else MESSAGE_S
            world.at(world.now + delay_s, self._asked, owner, host, ask_id)

    def _choose(self, host: int) -> int:
        slots, in_use = self._owners[host].totals()
        if in_use + self._owners[host].waiting < slots:
            return host
        pair = self._world.random.sample(range(len(HOSTS)), 2)
        return min(pair, key=self._pressure)

    def _pressure(self, owner: int) -> float:
        slots, in_use = self._owners[owner].totals()
        return (in_use + self._owners[owner].waiting) / slots

    def _asked(self, owner: int, host: int, ask_id: int) -> None:
        now = self._world.now
        self._owners[owner].ask(client=HOSTS[host], urgency=Urgency.NORMAL, ask_id=ask_id, now=now)
        self._grant(owner)

    def _grant(self, owner: int) -> None:
        now = self._world.now
        granted = self._owners[owner].grant(now=now, may_act=lambda _: EPOCH, allowed=all_slots)
        for client, permit in granted:
            host = HOSTS.index(client)
            delay_s = 0.0 if host == owner else MESSAGE_S
            self._world.at(now + delay_s, self._granted, owner, host, permit)

    def _granted(self, owner: int, host: int, permit: Permit) -> None:
        world, holder = self._world, self._holders[host]
        _drop_late(world, self._queues[host])
        request = None
        if holder.accept(permit=permit, owner=HOSTS[owner], now=world.now):
            request = self._queues[host].take(now=world.now)
        delay_s = 0.0 if host == owner else MESSAGE_S

        def ended() -> None:
            holder.drop(permit_id=permit.permit_id, busy_for_s=0.0, now=world.now)
            world.at(world.now + delay_s, self._returned, owner, permit.permit_id)

        if request is None:
            ended()
            return
        world.execute(permit.upstream, request, ended)

    def _returned(self, owner: int, permit_id: str) -> None:
        self._owners[owner].release(permit_id=permit_id, busy_for_s=0.0, now=self._world.now)
        self._grant(owner)


def _admit(world: World, queue: Admission, request: WaitingRequest) -> bool:
    if queue.offer(request=request, now=world.now).refusal is None:
        return True
    world.tally.refused += 1
    return False


def _drop_late(world: World, queue: Admission) -> None:
    world.tally.refused += sum(1 for _ in queue.expire(now=world.now))


def simulate(*, scheme: str, load: float, seconds: float, seed: int) -> dict[str, float | str]:
    """Return the figures of one run; `load` is a multiple of the executors' capacity."""
    world = World(seed)
    arrive = SCHEMES.get(scheme)(world)
    capacity = len(EXECUTORS) * SLOTS / MEAN_SERVICE_S
    numbers = itertools.count()

    def arrival() -> None:
        world.tally.offered += 1
        request = WaitingRequest(
            request_id=RequestId(str(next(numbers))),
            team=TeamPath(f"t{world.random.randrange(5)}"),
            urgency=Urgency.NORMAL,
            deadline=world.now + DEADLINE_S,
            service_s=MEAN_SERVICE_S / 10,
        )
        arrive(world.random.choices(range(len(HOSTS)), ARRIVAL_WEIGHTS)[0], request)
        world.at(world.now + world.random.expovariate(load * capacity), arrival)

    arrival()
    world.run(seconds)
    tally = world.tally
    latencies = sorted(tally.latencies_s)
    return {
        "scheme": scheme,
        "load": load,
        "offered_per_s": tally.offered / seconds,
        "goodput_of_capacity": tally.in_time / seconds / capacity,
        "refused_share": tally.refused / tally.offered,
        "ran_late_share": tally.ran_late / tally.offered,
        "p50_ms": latencies[len(latencies) // 2] * 1000,
        "p99_ms": latencies[len(latencies) * 99 // 100] * 1000,
        "peak_at_one_executor": max(e.peak for e in world.executors_by_id.values()),
    }


def main() -> None:
    """Run every way at each load."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--loads", type=float, nargs="+", default=[0.5, 0.8, 0.95, 2.0])
    chosen = parser.parse_args()
    for load in chosen.loads:
        for scheme in SCHEMES.names():
            figures = simulate(scheme=scheme, load=load, seconds=chosen.seconds, seed=chosen.seed)
            sys.stdout.write(msgspec.json.encode(figures).decode() + "\n")


if __name__ == "__main__":
    main()
