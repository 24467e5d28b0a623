"""Harness for the stand-in platform, in memory or over HTTP."""

from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from dataclasses import dataclass

import trio

from galenastall.protocol.platform import (
    Platform,
    StartBatch,
    StartRequest,
    UpstreamCall,
)
from galenastall.standin.fleet import FleetShape, make_hosts
from galenastall.standin.memory_platform import MemoryPlatform
from galenastall.standin.server import StandinServer
from galenastall.state.hosts import ListedHost
from galenastall.state.ids import (
    AttemptId,
    DataCentre,
    Epoch,
    HostId,
    JobId,
    RequestId,
    TeamPath,
    make_task_id,
)
from galenastall.state.resources import Resources
from galenastall.state.work import TaskSpec, Urgency, Workload
from galenastall.transport.clock import TrioClock
from galenastall.transport.http_client import HttpClient
from galenastall.transport.platform_http import build_http_platform

SHAPE = FleetShape(data_centres=(DataCentre("mapo"),), workers=2, executors=2)
SIZE = Resources(cores_milli=1000, memory_mb=1000)
FAR = 1e12
CLIENT_TIMEOUT_S = 5.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Harness:
    """The model, whose fault settings a test changes, and the services under test."""

    model: MemoryPlatform
    services: Platform
    hosts: tuple[ListedHost, ...]

    @property
    def worker(self) -> str:
        """Address of the first worker."""
        return self.hosts[0].address

    @property
    def executor(self) -> str:
        """Address of the first executor."""
        return self.hosts[SHAPE.workers].address

    def lease(self, seconds: float) -> float:
        """Return the wall time `seconds` from now."""
        return self.model.clock.wall() + seconds


OpenHarness = Callable[[], AbstractAsyncContextManager[Harness]]


@asynccontextmanager
async def open_memory_harness() -> AsyncIterator[Harness]:
    hosts = tuple(make_hosts(SHAPE))
    model = MemoryPlatform(clock=TrioClock(wall_at_start=1e9), seed=1, hosts=hosts)
    yield Harness(model=model, services=model.services(), hosts=hosts)


def make_task(index: int = 0, *, payload: str = "", run_s: float | None = None) -> TaskSpec:
    job = JobId("job")
    return TaskSpec(
        task_id=make_task_id(job, index),
        job_id=job,
        team=TeamPath("board/packs"),
        workload=Workload.BATCH,
        urgency=Urgency.NORMAL,
        resources=SIZE,
        run_s=run_s,
        checkpointable=True,
        payload=payload,
    )


def make_batch(
    *tasks: TaskSpec, lease_until: float, epoch: int = 1, not_after: float = FAR
) -> StartBatch:
    return StartBatch(
        owner=HostId("entry-1"),
        epoch=Epoch(epoch),
        not_after=not_after,
        starts=tuple(
            StartRequest(task=task, reserved=task.resources, lease_until=lease_until)
            for task in tasks
        ),
    )


def make_call(
    number: int = 1, *, not_after: float = FAR, length: int | None = None
) -> UpstreamCall:
    return UpstreamCall(
        request_id=RequestId(f"request-{number}"),
        attempt_id=AttemptId(f"request-{number}#1"),
        epoch=Epoch(7),
        not_after=not_after,
        operation="packs/preview",
        content_length=length,
    )


async def one_chunk(chunk: bytes) -> AsyncIterator[bytes]:
    yield chunk


@asynccontextmanager
async def open_http_harness() -> AsyncIterator[Harness]:
    clock = TrioClock(wall_at_start=1e9)
    model = MemoryPlatform(clock=clock, seed=1)
    server = StandinServer(model=model, clock=clock, shape=SHAPE)
    client = HttpClient(clock=clock)
    async with trio.open_nursery() as nursery:
        addresses = await nursery.start(server.run)
        services = build_http_platform(
            address=addresses.platform, client=client, clock=clock, timeout_s=CLIENT_TIMEOUT_S
        )
        yield Harness(model=model, services=services, hosts=addresses.hosts)
        await client.aclose()
        nursery.cancel_scope.cancel()
