"""Harness: entry hosts of one data centre in one event loop, with the real request path.

Links, ownership and the log are fakes.
"""

import random
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

import trio
from returns.result import Failure, Result, Success

from fake_log import FakeLog
from galenastall.node.log.log_service import LogClient
from galenastall.node.requests.key_service import KeyService
from galenastall.node.requests.keyed_requests import KeyedRequests
from galenastall.node.requests.permit_service import PermitService
from galenastall.node.requests.permit_settings import RequestSettings
from galenastall.node.requests.request_service import RequestService
from galenastall.node.requests.request_types import RequestAnswer, RequestCall
from galenastall.protocol.codec import decode_message, encode_message
from galenastall.protocol.event_sink import NullEventSink
from galenastall.protocol.peers import M, PeerHandler
from galenastall.standin.faults import ExecutorFaults
from galenastall.standin.memory_platform import MemoryPlatform
from galenastall.state.errors import Reason, StepError
from galenastall.state.hosts import HostKind, HostListing, HostState, ListedHost
from galenastall.state.ids import (
    DataCentre,
    Epoch,
    HostId,
    Incarnation,
    OwnableId,
    OwnableKind,
    RequestId,
    TeamPath,
    data_centre_stream,
    make_ownable_id,
)
from galenastall.state.outcomes import Outcome
from galenastall.state.ownership_records import Activate, Claim, Member
from galenastall.state.timeline_ring import TimelineRing
from galenastall.state.upstream_tenures import TenureHistory
from galenastall.state.work import Urgency
from galenastall.transport.clock import TrioClock
from galenastall.transport.logs import Recorder

DATA_CENTRE = DataCentre("gangnam")
STREAM = data_centre_stream(DATA_CENTRE)
WALL = 1_700_000_000.0
DELAY_S = 0.0005


class Network:
    """Delivers typed messages through the codec; hosts can be isolated."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self.nursery = nursery
        self.handlers: dict[HostId, dict[type[Any], PeerHandler]] = {}
        self.cut_off: set[HostId] = set()
        self.lose_answer: Callable[[Any], bool] = lambda _: False
        self.messages = 0

    def reaches(self, one: HostId, other: HostId) -> bool:
        return other in self.handlers and not {one, other} & self.cut_off

    async def deliver(self, sender: HostId, to: HostId, message: Any) -> Any:
        self.messages += 1
        name, body = encode_message(message)
        await trio.sleep(DELAY_S)
        if not self.reaches(sender, to):
            return None
        decoded = decode_message(name, body, peer=sender).unwrap()
        answer = await self.handlers[to][type(decoded)](sender, decoded)
        return None if self.lose_answer(answer) else answer


class Link:
    """PeerLink over a Network."""

    def __init__(self, network: Network, host_id: HostId) -> None:
        self._network = network
        self._host_id = host_id
        network.handlers[host_id] = {}

    @property
    def host_id(self) -> HostId:
        return self._host_id

    def set_peers(self, addresses_by_id: dict[HostId, str]) -> None:
        raise AssertionError("not used here")

    def handle(self, message_type: type[M], handler: PeerHandler) -> None:
        self._network.handlers[self._host_id][message_type] = handler

    async def call(
        self, *, peer: HostId, message: object, timeout_s: float
    ) -> Result[Any, StepError]:
        answer = None
        with trio.move_on_after(timeout_s):
            answer = await self._network.deliver(self._host_id, peer, message)
            if answer is not None:
                await trio.sleep(DELAY_S)
            if answer is None or not self._network.reaches(self._host_id, peer):
                answer = None
                await trio.sleep_forever()
        if answer is None:
            return Failure(StepError(step="peer.call", peer=peer, reason=Reason.TIMEOUT))
        if isinstance(answer, StepError):
            return Failure(answer)
        name, body = encode_message(answer)
        return Success(decode_message(name, body, peer=peer).unwrap())

    def send(self, *, peer: HostId, message: object) -> None:
        self._network.nursery.start_soon(self._network.deliver, self._host_id, peer, message)


class Ownership:
    """OwnershipView whose owners are set by the test."""

    def __init__(self, harness: "Harness", me: HostId) -> None:
        self._harness = harness
        self._me = me
        self.callbacks: list[Callable[[OwnableId, Epoch], None]] = []
        self.lost_callbacks: list[Callable[[OwnableId], None]] = []
        self.may_not_act: set[OwnableId] = set()

    def may_act(self, ownable: OwnableId) -> Epoch | None:
        owner, epoch = self._harness.owners.get(ownable, (None, Epoch(0)))
        return epoch if owner == self._me and ownable not in self.may_not_act else None

    def owner_of(self, ownable: OwnableId) -> HostId | None:
        return self._harness.owners.get(ownable, (None, Epoch(0)))[0]

    def owned(self) -> frozenset[OwnableId]:
        return frozenset(o for o, (owner, _) in self._harness.owners.items() if owner == self._me)

    def roster(self) -> frozenset[HostId]:
        return frozenset(self._harness.hosts)

    def on_activated(self, callback: Callable[[OwnableId, Epoch], None]) -> None:
        self.callbacks.append(callback)

    def on_lost(self, callback: Callable[[OwnableId], None]) -> None:
        self.lost_callbacks.append(callback)


@dataclass
class EntryHost:
    """The request path of one entry host."""

    ownership: Ownership
    permits: PermitService
    requests: RequestService
    keys: KeyService
    keyed: KeyedRequests
    log: LogClient
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)


class Harness:
    """Entry hosts, upstreams, network, log and ownership of one data centre."""

    def __init__(self, *, nursery: trio.Nursery, executors: int, slots: int) -> None:
        self.clock = TrioClock(wall_at_start=WALL)
        self.nursery = nursery
        self.network = Network(nursery)
        self.log = FakeLog()
        self.settings = RequestSettings()
        self.upstreams = tuple(HostId(f"x{number}") for number in range(executors))
        self.listed = {
            name: ListedHost(
                host_id=name,
                kind=HostKind.UPSTREAM,
                data_centre=DATA_CENTRE,
                address=name,
                slots=slots,
                connections=64,
            )
            for name in self.upstreams
        }
        self.platform = MemoryPlatform(clock=self.clock, seed=1, hosts=self.listed.values())
        self.owners: dict[OwnableId, tuple[HostId, Epoch]] = {}
        self.hosts: dict[HostId, EntryHost] = {}
        self.incarnations = 0
        self.ring = TimelineRing()
        """Timeline events of requests on all hosts."""

    def set_faults(self, faults: ExecutorFaults, *names: HostId) -> None:
        for name in names or self.upstreams:
            self.platform.executors.set_faults(name, faults)

    def list_state(self, upstream: HostId, state: HostState) -> None:
        old = self.listed[upstream]
        self.listed[upstream] = ListedHost(
            host_id=upstream,
            kind=old.kind,
            data_centre=old.data_centre,
            address=old.address,
            slots=old.slots,
            connections=old.connections,
            state=state,
        )
        self.publish_listing()

    def publish_listing(self) -> None:
        listing = HostListing(as_of=self.clock.wall(), by_id=dict(self.listed))
        for host in self.hosts.values():
            host.permits.set_hosts(listing)

    async def add_host(self, name: str) -> EntryHost:
        host_id = HostId(name)
        link = Link(self.network, host_id)
        ownership = Ownership(self, host_id)
        self.incarnations += 1
        incarnation = Incarnation(str(self.incarnations))
        rng = random.Random(self.incarnations)
        log = LogClient(
            log=self.log,
            clock=self.clock,
            rng=rng,
            writer=incarnation,
            streams=(STREAM,),
            live_hosts=lambda: 1,
        )
        follower = log.followers_by_stream[STREAM]
        tenures = TenureHistory()
        follower.subscribe(tenures)
        permits = PermitService(
            data_centre=DATA_CENTRE,
            clock=self.clock,
            peers=link,
            ownership=ownership,
            tenures=tenures,
            settings=lambda: self.settings,
            random=rng,
            events=NullEventSink(),
        )
        keys = KeyService(
            data_centre=DATA_CENTRE,
            clock=self.clock,
            peers=link,
            ownership=ownership,
            appender=log.appender,
            follower=follower,
            settings=lambda: self.settings,
            events=NullEventSink(),
        )
        requests = RequestService(
            incarnation=incarnation,
            clock=self.clock,
            upstreams=self.platform.services(caller=host_id).upstreams,
            permits=permits,
            settings=lambda: self.settings,
            events=Recorder(process=name, clock=self.clock, ring=self.ring),
        )
        keyed = KeyedRequests(
            data_centre=DATA_CENTRE, clock=self.clock, keys=keys, requests=requests
        )
        host = EntryHost(ownership, permits, requests, keys, keyed, log)
        self.hosts[host_id] = host
        await self.nursery.start(self._run_host, host)
        self.publish_listing()
        return host

    async def _run_host(self, host: EntryHost, *, task_status: trio.TaskStatus[None]) -> None:
        with host.scope:
            async with trio.open_nursery() as nursery:
                for service in (host.log, host.permits, host.requests, host.keys):
                    await nursery.start(service.run)
                task_status.started()

    def kill(self, name: str) -> None:
        """Kill a host's process; it stays the owner of its ownables until they are reassigned."""
        self.hosts.pop(HostId(name)).scope.cancel()
        del self.network.handlers[HostId(name)]

    async def assign(self, ownable: OwnableId, name: str, *, notify: bool = True) -> None:
        """Make a host the owner through log records, as the ownership service does."""
        host_id = HostId(name)
        host = self.hosts[host_id]
        member = Member(host=host_id, incarnation=Incarnation(name))
        claim = Claim(
            by=member, ownables=(ownable,), seen=host.log.followers_by_stream[STREAM].next_offset
        )
        offset = (await host.log.appender.append(stream=STREAM, record=claim)).unwrap()
        epoch = Epoch(offset)
        activate = Activate(by=member, epoch=epoch, members=(member,))
        activated = (await host.log.appender.append(stream=STREAM, record=activate)).unwrap()
        for other in self.hosts.values():
            await other.log.followers_by_stream[STREAM].wait_for(activated)
        last = self.owners.get(ownable)
        self.owners[ownable] = (host_id, epoch)
        if last is not None and last[0] in self.hosts and notify:
            for lost in self.hosts[last[0]].ownership.lost_callbacks:
                lost(ownable)
        for activated_callback in host.ownership.callbacks:
            activated_callback(ownable, epoch)

    async def assign_all(self) -> None:
        """Assign the upstreams to the hosts round robin."""
        names = sorted(self.hosts)
        for number, upstream in enumerate(self.upstreams):
            ownable = make_ownable_id(OwnableKind.UPSTREAM, upstream)
            await self.assign(ownable, names[number % len(names)])

    def call(
        self,
        name: str = "r",
        *,
        timeout_s: float = 5.0,
        idempotent: bool = False,
        key: str = "",
        body: Any = b"in",
        urgency: Urgency = Urgency.NORMAL,
        team: str = "a",
    ) -> RequestCall:
        return RequestCall(
            request_id=RequestId(name),
            team=TeamPath(team),
            urgency=urgency,
            operation="format",
            deadline=self.clock.now() + timeout_s,
            idempotent=idempotent,
            key=key,
            body=body,
        )

    async def submit(self, name: str, call: RequestCall) -> RequestAnswer:
        return await self.hosts[HostId(name)].keyed.submit(call)

    @property
    def runs(self) -> int:
        return len(self.platform.executors.log.records)


@asynccontextmanager
async def open_harness(
    *, hosts: int = 2, executors: int = 2, slots: int = 2
) -> AsyncIterator[Harness]:
    async with trio.open_nursery() as nursery:
        harness = Harness(nursery=nursery, executors=executors, slots=slots)
        for number in range(hosts):
            await harness.add_host(f"e{number + 1}")
        await harness.assign_all()
        yield harness
        nursery.cancel_scope.cancel()


async def gather(*works: Callable[[], Any]) -> list[Any]:
    """Run all concurrently; return the results in order."""
    results: list[Any] = [None] * len(works)

    async def run(index: int) -> None:
        results[index] = await works[index]()

    async with trio.open_nursery() as nursery:
        for index in range(len(works)):
            nursery.start_soon(run, index)
    return results


def outcomes(answers: list[RequestAnswer]) -> list[Outcome]:
    return [answer.outcome for answer in answers]
