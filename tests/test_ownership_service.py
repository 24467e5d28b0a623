import random
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from typing import Any

import pytest
import trio
from returns.result import Failure, Result, Success
from trio.testing import MockClock

from galenastall.coordination.ownership.ownership_timings import OwnershipTimings
from galenastall.node.host_list_service import (
    ENTRY_HOSTS_POLL_S,
    HostListPoller,
    peer_addresses,
)
from galenastall.node.log.log_service import LogClient
from galenastall.node.ownership.ownables import ShardCounts
from galenastall.node.ownership.ownership_service import OwnershipService
from galenastall.protocol.codec import decode_message, encode_message
from galenastall.protocol.peers import PeerHandler
from galenastall.standin.cuts import Cut, Service
from galenastall.standin.faults import HostListFaults, LogFaults
from galenastall.standin.memory_platform import MemoryPlatform
from galenastall.state.errors import Reason, StepError
from galenastall.state.hosts import HostKind, HostState, ListedHost
from galenastall.state.ids import (
    DataCentre,
    Epoch,
    HostId,
    Incarnation,
    OwnableId,
    data_centre_stream,
)
from galenastall.state.resources import Resources
from galenastall.transport.clock import TrioClock

DC = DataCentre("plateau")
TIMINGS = OwnershipTimings(list_lag_s=10.0)


@dataclass
class Bus:
    links: dict[HostId, "BusLink"] = field(default_factory=dict)
    cut: set[HostId] = field(default_factory=set)

    def is_cut(self, one: HostId, other: HostId) -> bool:
        return one in self.cut or other in self.cut


class BusLink:
    """A PeerLink that passes messages through the codec, within one process."""

    def __init__(self, *, bus: Bus, host_id: HostId, nursery: trio.Nursery) -> None:
        self.host_id = host_id
        self._bus = bus
        self._nursery = nursery
        self.handlers: dict[type[Any], PeerHandler] = {}
        bus.links[host_id] = self

    def set_peers(self, addresses_by_id: dict[HostId, str]) -> None:
        raise AssertionError("not used here")

    def handle(self, message_type: type[Any], handler: PeerHandler) -> None:
        self.handlers[message_type] = handler

    async def call(
        self, *, peer: HostId, message: object, timeout_s: float
    ) -> Result[Any, StepError]:
        if peer not in self._bus.links or self._bus.is_cut(self.host_id, peer):
            return Failure(StepError(step="peer.call", peer=peer, reason=Reason.UNREACHABLE))
        answer = await self._bus.links[peer].take(self.host_id, *encode_message(message))
        return Failure(answer) if isinstance(answer, StepError) else Success(answer)

    def send(self, *, peer: HostId, message: object) -> None:
        if peer in self._bus.links and not self._bus.is_cut(self.host_id, peer):
            link = self._bus.links[peer]
            link._nursery.start_soon(link.take, self.host_id, *encode_message(message))

    async def take(self, sender: HostId, name: str, body: bytes) -> Any:
        await trio.sleep(0.001)
        message = decode_message(name, body, peer=sender).unwrap()
        return await self.handlers[type(message)](sender, message)


@dataclass
class Node:
    service: OwnershipService
    host_list: HostListPoller
    scope: trio.CancelScope
    activated: list[tuple[OwnableId, Epoch]] = field(default_factory=list)
    lost: list[OwnableId] = field(default_factory=list)


def entry_host(name: str) -> ListedHost:
    return ListedHost(
        host_id=HostId(name), kind=HostKind.ENTRY, data_centre=DC, peer_address=f"{name}:1"
    )


def worker(name: str) -> ListedHost:
    return ListedHost(
        host_id=HostId(name),
        kind=HostKind.WORKER,
        data_centre=DC,
        address=f"{name}:1",
        capacity=Resources(cores_milli=1000, memory_mb=1000),
    )


class Harness:
    def __init__(self, nursery: trio.Nursery) -> None:
        self.clock = TrioClock(wall_at_start=1_000_000.0)
        hosts = [worker(f"w{i}") for i in range(6)]
        self.platform = MemoryPlatform(clock=self.clock, seed=1, hosts=hosts)
        self.platform.host_list.set_faults(HostListFaults(lag_s=1.0))
        self.bus = Bus()
        self.nodes: dict[str, Node] = {}
        self._nursery = nursery
        self._start_count = 0

    async def start(self, name: str) -> Node:
        await self._nursery.start(self._run, name)
        return self.nodes[name]

    async def _run(self, name: str, *, task_status: trio.TaskStatus[None]) -> None:
        self._start_count += 1
        services = self.platform.services(caller=HostId(name))
        self.platform.host_list.put(entry_host(name))
        incarnation = Incarnation(f"{name}.{self._start_count}")
        rng = random.Random(self._start_count)
        with trio.CancelScope() as scope:
            async with trio.open_nursery() as nursery:
                stream = data_centre_stream(DC)
                side = LogClient(
                    log=services.log,
                    clock=self.clock,
                    rng=rng,
                    writer=incarnation,
                    streams=[stream],
                    live_hosts=lambda: 3,
                )
                host_list = HostListPoller(service=services.host_list, clock=self.clock, rng=rng)
                service = OwnershipService(
                    host_id=HostId(name),
                    incarnation=incarnation,
                    data_centre=DC,
                    timings=TIMINGS,
                    shards=ShardCounts(keys=3, jobs=3),
                    clock=self.clock,
                    appender=side.appender,
                    follower=side.followers_by_stream[stream],
                    peers=BusLink(bus=self.bus, host_id=HostId(name), nursery=nursery),
                    host_list=host_list,
                )
                node = self.nodes[name] = Node(service=service, host_list=host_list, scope=scope)
                service.on_activated(lambda ownable, epoch: node.activated.append((ownable, epoch)))
                service.on_lost(node.lost.append)
                await nursery.start(side.run)
                await nursery.start(host_list.run)
                await nursery.start(service.run)
                task_status.started()

    def kill(self, name: str) -> None:
        self.nodes.pop(name).scope.cancel()
        del self.bus.links[HostId(name)]
        self.platform.host_list.remove(HostId(name))

    def actors(self, ownable: OwnableId) -> list[str]:
        return [n for n, node in self.nodes.items() if node.service.may_act(ownable)]

    def all_served(self) -> bool:
        ownables = [OwnableId(f"worker/w{i}") for i in range(6)]
        ownables += [OwnableId(f"{kind}/{i}") for kind in ("keys", "jobs") for i in range(3)]
        return all(len(self.actors(ownable)) == 1 for ownable in ownables)

    async def until(self, condition: Callable[[], bool], within: float = 40.0) -> None:
        for _ in range(int(within / 0.05)):
            if condition():
                return
            await trio.sleep(0.05)
        raise AssertionError(f"{condition} does not hold after {within} s")


@asynccontextmanager
async def open_harness(*names: str) -> AsyncIterator[Harness]:
    async with trio.open_nursery() as nursery:
        harness = Harness(nursery)
        for name in names:
            await harness.start(name)
        await harness.until(harness.all_served)
        yield harness
        nursery.cancel_scope.cancel()


class TestOwnershipService:
    async def test_first_start_gives_every_ownable_an_owner(
        self, autojump_clock: MockClock
    ) -> None:
        async with open_harness("a", "b", "c") as harness:
            await trio.sleep(5)
            for node in harness.nodes.values():
                kept = {o for o, _ in node.activated} - set(node.lost)
                assert kept == node.service.owned()
                assert len(node.service.owned()) == 4
                assert node.service.roster() == {"a", "b", "c"}
            owner = harness.nodes["a"].service.owner_of(OwnableId("worker/w0"))
            assert [owner] == harness.actors(OwnableId("worker/w0"))

    async def test_killed_owner_is_replaced(self, autojump_clock: MockClock) -> None:
        async with open_harness("a", "b", "c") as harness:
            harness.kill("a")
            await harness.until(harness.all_served, within=12)

    async def test_owner_killed_in_an_outage_is_replaced_after_it_and_the_rest_act_on(
        self, autojump_clock: MockClock
    ) -> None:
        async with open_harness("a", "b", "c") as harness:
            await trio.sleep(5)
            harness.platform.log.set_faults(LogFaults(outage=True))
            await trio.sleep(120)
            assert harness.all_served()
            harness.kill("a")
            survivors = {n: node.service.owned() for n, node in harness.nodes.items()}
            await trio.sleep(60)
            assert survivors == {n: node.service.owned() for n, node in harness.nodes.items()}
            for name, node in harness.nodes.items():
                assert all(harness.actors(ownable) == [name] for ownable in node.service.owned())
            harness.platform.log.set_faults(LogFaults())
            await harness.until(harness.all_served)

    async def test_all_replaced_at_once(self, autojump_clock: MockClock) -> None:
        async with open_harness("a", "b", "c") as harness:
            for name in ("a", "b", "c"):
                harness.kill(name)
            for name in ("d", "e", "f"):
                await harness.start(name)
            await harness.until(harness.all_served)

    async def test_drain_hands_over_and_leaves(self, autojump_clock: MockClock) -> None:
        async with open_harness("a", "b", "c") as harness:
            await trio.sleep(5)
            with trio.fail_after(10):
                await harness.nodes["b"].service.drain()
            assert harness.nodes["b"].service.owned() == frozenset()
            assert not harness.nodes["b"].service.is_member
            del harness.nodes["b"]
            await harness.until(harness.all_served, within=2)

    async def test_host_isolated_from_the_log_learns_from_peers(
        self, autojump_clock: MockClock
    ) -> None:
        async with open_harness("a", "b", "c") as harness:
            await trio.sleep(5)
            harness.platform.cuts.replace([Cut(caller="a", services=frozenset({Service.LOG}))])
            await trio.sleep(20)
            harness.platform.add_host(worker("w9"))
            await harness.until(lambda: len(harness.actors(OwnableId("worker/w9"))) == 1)
            await trio.sleep(5)
            owners = {n.service.owner_of(OwnableId("worker/w9")) for n in harness.nodes.values()}
            assert owners == set(harness.actors(OwnableId("worker/w9")))
            assert harness.all_served()

    async def test_expelled_process_joins_again(self, autojump_clock: MockClock) -> None:
        async with open_harness("a", "b", "c") as harness:
            harness.platform.host_list.remove(HostId("a"))
            harness.bus.cut.add(HostId("a"))
            await trio.sleep(30)
            assert not harness.nodes["b"].service.roster() - {"b", "c"}
            harness.platform.host_list.put(entry_host("a"))
            harness.bus.cut.clear()
            await harness.until(lambda: harness.nodes["b"].service.roster() == {"a", "b", "c"})
            await harness.until(harness.all_served)
            await harness.until(lambda: len(harness.nodes["a"].service.owned()) > 0)


class TestHostListPoller:
    async def test_failed_fetch_keeps_the_last_list(self, autojump_clock: MockClock) -> None:
        clock = TrioClock(wall_at_start=0.0)
        platform = MemoryPlatform(clock=clock, seed=1, hosts=[entry_host("a"), entry_host("b")])
        poller = HostListPoller(
            service=platform.services().host_list, clock=clock, rng=random.Random(1)
        )
        await poller.poll_once()
        first = poller.latest
        platform.host_list.set_faults(HostListFaults(outage=True))
        await trio.sleep(10)
        await poller.poll_once()
        assert poller.latest is first
        assert poller.age_s() == pytest.approx(10, abs=0.1)
        assert poller.last_error is not None
        assert first is not None
        assert peer_addresses(first, own=HostId("a")) == {HostId("b"): "b:1"}

    async def test_only_the_own_data_centre_and_entry_hosts_are_kept(
        self, autojump_clock: MockClock
    ) -> None:
        clock = TrioClock(wall_at_start=0.0)
        far = replace(entry_host("far"), data_centre=DataCentre("far"))
        hosts = [
            entry_host("a"),
            worker("w"),
            far,
            replace(worker("v"), data_centre=far.data_centre),
        ]
        platform = MemoryPlatform(clock=clock, seed=1, hosts=hosts)
        platform.host_list.set_faults(HostListFaults(lag_s=0.0))
        poller = HostListPoller(
            service=platform.services().host_list,
            clock=clock,
            rng=random.Random(1),
            data_centre=DC,
        )
        listings: list[tuple[set[str], float]] = []
        poller.subscribe(lambda listing, at: listings.append((set(listing.by_id), at)))
        await poller.poll_once()
        assert listings == [({"a", "w"}, 0.0), ({"a", "w", "far"}, 0.0)]
        await trio.sleep(2)
        await poller.poll_once()
        assert listings[2:] == [({"a", "w", "far"}, 2.0)], "an unchanged answer confirms the rows"
        assert poller.latest is not None
        assert poller.latest.as_of == 2.0
        platform.host_list.put(replace(far, host_id=HostId("new")))
        platform.host_list.remove(HostId("w"))
        await trio.sleep(ENTRY_HOSTS_POLL_S)
        await poller.poll_once()
        assert listings[-1][0] == {"a", "far", "new"}
        platform.host_list.set_faults(HostListFaults(outage=True))
        await trio.sleep(5)
        await poller.poll_once()
        assert poller.age_s() == pytest.approx(5, abs=0.1), "a failure confirms nothing"

    async def test_leaving_host_is_reported_within_a_poll(self, autojump_clock: MockClock) -> None:
        clock = TrioClock(wall_at_start=0.0)
        platform = MemoryPlatform(clock=clock, seed=1, hosts=[worker("w")])
        platform.host_list.set_faults(HostListFaults(lag_s=0.0))
        poller = HostListPoller(
            service=platform.services().host_list, clock=clock, rng=random.Random(1)
        )
        states: list[HostState] = []
        poller.subscribe(lambda listing, _: states.append(listing.by_id[HostId("w")].state))
        async with trio.open_nursery() as nursery:
            await nursery.start(poller.run)
            await trio.sleep(0.1)
            platform.host_list.set_state(HostId("w"), HostState.LEAVING)
            await trio.sleep(2.5)
            assert states[-1] is HostState.LEAVING
            nursery.cancel_scope.cancel()
