"""Processor time of the request path alone: no sockets, an upstream that answers at once.

Run as `python -m galenastall.bench.request_cost`; prints one JSON line. What hypercorn, httpcore
and zmq cost comes on top and is measured with processes.
"""

import argparse
import sys
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from random import Random
from typing import Any, Final

import msgspec
import trio
from returns.result import Failure, Result, Success

from galenastall.node.requests.http_requests import respond
from galenastall.node.requests.permit_service import PermitService
from galenastall.node.requests.permit_settings import RequestSettings
from galenastall.node.requests.request_service import RequestService
from galenastall.node.requests.request_types import RequestCall
from galenastall.protocol.event_sink import NullEventSink
from galenastall.protocol.peers import M, PeerHandler
from galenastall.protocol.platform import UpstreamAnswer, UpstreamCall
from galenastall.state.errors import Reason, StepError
from galenastall.state.hosts import HostKind, HostListing, ListedHost
from galenastall.state.ids import (
    DataCentre,
    Epoch,
    HostId,
    Incarnation,
    OwnableId,
    OwnableKind,
    RequestId,
    TeamPath,
    make_ownable_id,
)
from galenastall.state.outcomes import Outcome
from galenastall.state.upstream_tenures import TenureHistory
from galenastall.transport.clock import TrioClock

ME: Final = HostId("entry-1")
DATA_CENTRE: Final = DataCentre("bench")
EPOCH: Final = Epoch(1)
ANSWER: Final = b"x" * 256


class NoPeers:
    """PeerLink of a data centre with one entry host."""

    host_id = ME

    def set_peers(self, addresses_by_id: dict[HostId, str]) -> None:
        """Know nobody."""

    def handle(self, message_type: type[M], handler: PeerHandler) -> None:
        """Take the handler; no message comes."""

    async def call(
        self, *, peer: HostId, message: object, timeout_s: float
    ) -> Result[Any, StepError]:
        """Reach nobody."""
        return Failure(StepError(step="peer.call", peer=peer, reason=Reason.UNREACHABLE))

    def send(self, *, peer: HostId, message: object) -> None:
        """Reach nobody."""


class SoleOwner:
    """OwnershipView of an entry host that owns everything."""

    def __init__(self) -> None:
        """Own what `activate` names."""
        self.callbacks: list[Callable[[OwnableId, Epoch], None]] = []
        self._owned: set[OwnableId] = set()

    def activate(self, ownable: OwnableId) -> None:
        """Become the owner."""
        self._owned.add(ownable)
        for callback in self.callbacks:
            callback(ownable, EPOCH)

    def may_act(self, ownable: OwnableId) -> Epoch | None:
        """Return the epoch."""
        return EPOCH

    def owner_of(self, ownable: OwnableId) -> HostId | None:
        """Return this entry host."""
        return ME

    def owned(self) -> frozenset[OwnableId]:
        """Return what was activated."""
        return frozenset(self._owned)

    def roster(self) -> frozenset[HostId]:
        """Return this entry host."""
        return frozenset({ME})

    def on_activated(self, callback: Callable[[OwnableId, Epoch], None]) -> None:
        """Keep the callback."""
        self.callbacks.append(callback)

    def on_lost(self, callback: Callable[[OwnableId], None]) -> None:
        """Lose nothing."""


class InstantUpstreams:
    """UpstreamService that answers after `service_s` without any I/O."""

    def __init__(self, *, service_s: float) -> None:
        """0 answers within one turn of the loop."""
        self._service_s = service_s

    @asynccontextmanager
    async def call(
        self, *, address: str, call: UpstreamCall, body: AsyncIterator[bytes]
    ) -> AsyncIterator[Result[UpstreamAnswer, StepError]]:
        """Answer."""
        async for _ in body:
            pass
        await trio.sleep(self._service_s)
        yield Success(
            UpstreamAnswer(
                outcome=Outcome.DONE,
                attempt_id=call.attempt_id,
                status=200,
                content_type="text/plain",
                body=_one_chunk(),
            )
        )


async def _one_chunk() -> AsyncIterator[bytes]:
    yield ANSWER


async def measure(*, requests: int, concurrency: int, service_s: float, direct: bool) -> float:
    """Return processor seconds for each request; `direct` calls the upstream without the path."""
    clock = TrioClock()
    upstreams = InstantUpstreams(service_s=service_s)
    ownership = SoleOwner()
    settings = RequestSettings()
    permits = PermitService(
        data_centre=DATA_CENTRE,
        clock=clock,
        peers=NoPeers(),
        ownership=ownership,
        tenures=TenureHistory(),
        settings=lambda: settings,
        random=Random(1),
        events=NullEventSink(),
    )
    service = RequestService(
        incarnation=Incarnation("bench"),
        clock=clock,
        upstreams=upstreams,
        permits=permits,
        settings=lambda: settings,
        events=NullEventSink(),
    )
    permits.set_hosts(HostListing(as_of=0.0, by_id=dict(_hosts())))
    for name, _ in _hosts():
        ownership.activate(make_ownable_id(OwnableKind.UPSTREAM, name))
    left = requests

    async def work() -> None:
        nonlocal left
        while left > 0:
            left -= 1
            call = RequestCall(
                request_id=RequestId(str(left)),
                team=TeamPath(f"team-{left % 10}"),
                operation="format",
                deadline=clock.now() + 10.0,
                idempotent=True,
                body=b"in",
            )
            if direct:
                await _call_directly(upstreams, call)
            else:
                respond(await service.submit(call))

    async with trio.open_nursery() as nursery:
        await nursery.start(permits.run)
        await nursery.start(service.run)
        started = time.process_time()
        async with trio.open_nursery() as workers:
            for _ in range(concurrency):
                workers.start_soon(work)
        spent = time.process_time() - started
        nursery.cancel_scope.cancel()
    return spent / requests


async def _call_directly(upstreams: InstantUpstreams, call: RequestCall) -> None:
    assert isinstance(call.body, bytes)
    upstream_call = UpstreamCall(
        request_id=call.request_id,
        attempt_id=call.request_id,  # type: ignore[arg-type]
        epoch=EPOCH,
        not_after=0.0,
    )
    async with upstreams.call(address="x", call=upstream_call, body=_one_chunk()) as sent:
        async for _ in sent.unwrap().body:
            pass


def _hosts() -> list[tuple[HostId, ListedHost]]:
    return [
        (
            HostId(f"x{number}"),
            ListedHost(
                host_id=HostId(f"x{number}"),
                kind=HostKind.UPSTREAM,
                data_centre=DATA_CENTRE,
                address=f"x{number}",
                slots=8,
                connections=64,
            ),
        )
        for number in range(8)
    ]


def main() -> None:
    """Measure in turns and print the medians as one JSON line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=5_000)
    parser.add_argument("--concurrency", type=int, default=32)
    parser.add_argument("--service-ms", type=float, default=0.0)
    parser.add_argument("--rounds", type=int, default=5)
    chosen = parser.parse_args()
    path: list[float] = []
    direct: list[float] = []
    for _ in range(chosen.rounds):
        for results, is_direct in ((path, False), (direct, True)):
            seconds = trio.run(_measure, chosen, is_direct)
            results.append(seconds)
    own = sorted(p - d for p, d in zip(path, direct, strict=True))
    figures = {
        "path_us": sorted(path)[len(path) // 2] * 1e6,
        "direct_us": sorted(direct)[len(direct) // 2] * 1e6,
        "own_us_median": own[len(own) // 2] * 1e6,
        "own_us_min": own[0] * 1e6,
        "own_us_max": own[-1] * 1e6,
        "concurrency": chosen.concurrency,
        "requests": chosen.requests,
    }
    sys.stdout.write(msgspec.json.encode(figures).decode() + "\n")


async def _measure(chosen: argparse.Namespace, direct: bool) -> float:
    return await measure(
        requests=chosen.requests,
        concurrency=chosen.concurrency,
        service_s=chosen.service_ms / 1000,
        direct=direct,
    )


if __name__ == "__main__":
    main()
