"""The platform's services as one entry host reaches them, subject to its network cuts."""

from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import asynccontextmanager
from typing import TypeVar

from returns.result import Failure, Result

from galenastall.protocol.platform import (
    HostListService,
    LogPage,
    LogService,
    Platform,
    StartBatch,
    TaskAnswer,
    UpstreamAnswer,
    UpstreamCall,
    UpstreamService,
    WorkerListing,
    WorkerService,
)
from galenastall.standin.cuts import Cuts, Service
from galenastall.state.errors import StepError
from galenastall.state.hosts import HostKind, HostListing
from galenastall.state.ids import DataCentre, Epoch, HostId, Offset, StreamName, TaskId

T = TypeVar("T")
Answers = Result[tuple[TaskAnswer, ...], StepError]


class _Gate:
    """Drops calls of a caller that is cut off, and responses that arrive during a cut."""

    def __init__(self, *, cuts: Cuts, caller: HostId, service: Service) -> None:
        self._cuts = cuts
        self._caller = caller
        self._service = service

    @property
    def is_cut(self) -> bool:
        return self._cuts.is_cut(self._caller, self._service)

    async def time_out(self, step: str, peer: str) -> Failure[StepError]:
        return Failure(await self._cuts.time_out(step=step, peer=peer))

    async def forward(
        self, step: str, peer: str, send: Callable[[], Awaitable[Result[T, StepError]]]
    ) -> Result[T, StepError]:
        if self.is_cut:
            return await self.time_out(step, peer)
        answer = await send()
        return await self.time_out(step, peer) if self.is_cut else answer


class _CallerLog:
    def __init__(self, *, log: LogService, gate: _Gate) -> None:
        self._log = log
        self._gate = gate

    async def append(
        self, *, stream: StreamName, texts: Sequence[str]
    ) -> Result[Offset, StepError]:
        return await self._gate.forward(
            "log.append", "log", lambda: self._log.append(stream=stream, texts=texts)
        )

    async def read(
        self, *, stream: StreamName, start: Offset, limit: int = 1000, wait_s: float = 0.0
    ) -> Result[LogPage, StepError]:
        return await self._gate.forward(
            "log.read",
            "log",
            lambda: self._log.read(stream=stream, start=start, limit=limit, wait_s=wait_s),
        )


class _CallerHostList:
    def __init__(self, *, host_list: HostListService, gate: _Gate) -> None:
        self._host_list = host_list
        self._gate = gate

    async def fetch(
        self,
        *,
        data_centre: DataCentre | None = None,
        kind: HostKind | None = None,
        known_version: str | None = None,
    ) -> Result[HostListing, StepError]:
        return await self._gate.forward(
            "host_list.fetch",
            "host-list",
            lambda: self._host_list.fetch(
                data_centre=data_centre, kind=kind, known_version=known_version
            ),
        )


class _CallerWorkers:
    def __init__(self, *, workers: WorkerService, gate: _Gate) -> None:
        self._workers = workers
        self._gate = gate

    async def start(self, *, address: str, batch: StartBatch) -> Answers:
        return await self._gate.forward(
            "worker.start", address, lambda: self._workers.start(address=address, batch=batch)
        )

    async def renew(self, *, address: str, tasks: Sequence[TaskId], lease_until: float) -> Answers:
        return await self._gate.forward(
            "worker.renew",
            address,
            lambda: self._workers.renew(address=address, tasks=tasks, lease_until=lease_until),
        )

    async def checkpoint(self, *, address: str, tasks: Sequence[TaskId], epoch: Epoch) -> Answers:
        return await self._gate.forward(
            "worker.checkpoint",
            address,
            lambda: self._workers.checkpoint(address=address, tasks=tasks, epoch=epoch),
        )

    async def throttle(
        self, *, address: str, tasks: Sequence[TaskId], epoch: Epoch, share: float
    ) -> Answers:
        return await self._gate.forward(
            "worker.throttle",
            address,
            lambda: self._workers.throttle(address=address, tasks=tasks, epoch=epoch, share=share),
        )

    async def stop(self, *, address: str, tasks: Sequence[TaskId], epoch: Epoch) -> Answers:
        return await self._gate.forward(
            "worker.stop",
            address,
            lambda: self._workers.stop(address=address, tasks=tasks, epoch=epoch),
        )

    async def acknowledge(
        self, *, address: str, tasks: Sequence[TaskId]
    ) -> Result[None, StepError]:
        return await self._gate.forward(
            "worker.acknowledge",
            address,
            lambda: self._workers.acknowledge(address=address, tasks=tasks),
        )

    async def listing(self, *, address: str, since: str = "") -> Result[WorkerListing, StepError]:
        return await self._gate.forward(
            "worker.listing", address, lambda: self._workers.listing(address=address, since=since)
        )


class _CallerUpstreams:
    def __init__(self, *, upstreams: UpstreamService, gate: _Gate) -> None:
        self._upstreams = upstreams
        self._gate = gate

    @asynccontextmanager
    async def call(
        self, *, address: str, call: UpstreamCall, body: AsyncIterator[bytes]
    ) -> AsyncIterator[Result[UpstreamAnswer, StepError]]:
        if self._gate.is_cut:
            yield await self._gate.time_out("upstream.call", address)
            return
        async with self._upstreams.call(address=address, call=call, body=body) as answer:
            yield (
                await self._gate.time_out("upstream.call", address) if self._gate.is_cut else answer
            )


def services_of_caller(*, platform: Platform, cuts: Cuts, caller: HostId) -> Platform:
    """Return the platform's services with the network cuts of `caller` applied."""

    def gate(service: Service) -> _Gate:
        return _Gate(cuts=cuts, caller=caller, service=service)

    return Platform(
        log=_CallerLog(log=platform.log, gate=gate(Service.LOG)),
        host_list=_CallerHostList(host_list=platform.host_list, gate=gate(Service.HOST_LIST)),
        workers=_CallerWorkers(workers=platform.workers, gate=gate(Service.WORKERS)),
        upstreams=_CallerUpstreams(upstreams=platform.upstreams, gate=gate(Service.UPSTREAMS)),
    )
