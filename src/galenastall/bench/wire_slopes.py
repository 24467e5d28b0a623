"""Slopes of what goes over wires: sizes and processor time of calls and of their bodies."""

import random
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import replace
from pathlib import Path
from typing import Final

import msgspec
import trio

from galenastall.bench.core_slopes import CAPACITY, DATA_CENTRE, STREAM, WALL, make_core, make_task
from galenastall.bench.processes import reserve_ports, running_driver
from galenastall.bench.relay import Relay
from galenastall.bench.slopes import REPEATS, least_cpu_us, slope
from galenastall.protocol.codec import decode_record, encode_record
from galenastall.protocol.listing_changes import apply_changes, changes_since
from galenastall.protocol.platform import StartBatch, StartRequest, WorkerListing
from galenastall.state.hosts import HostKind, HostListing, ListedHost
from galenastall.state.ids import Epoch, HostId, JobId, Offset, RecordId
from galenastall.state.job_fold import JobFold
from galenastall.state.job_records import EndedRanges, IndexRange, TasksEnded
from galenastall.state.resources import Resources
from galenastall.state.work import RunningTask, TaskPhase
from galenastall.transport.clock import TrioClock
from galenastall.transport.http_client import HttpClient

CALL_BODY: Final = b"x" * 200
CURSOR: Final = "1764700000.123456-86400"
WORKER: Final = HostId("worker-00000")

Calls = Callable[[HttpClient, str], Awaitable[None]]


def make_batch(tasks: int) -> StartBatch:
    """Return a start call's body."""
    rng = random.Random(0)
    starts = tuple(
        StartRequest(task=task, reserved=task.resources, lease_until=WALL + 30)
        for task in (make_task(index, rng) for index in range(tasks))
    )
    return StartBatch(
        owner=HostId("entry-north-1-a"), epoch=Epoch(12345), not_after=WALL, starts=starts
    )


def make_listing(tasks: int) -> WorkerListing:
    """Return a worker's listing."""
    rng = random.Random(0)
    return WorkerListing(
        running=tuple(
            RunningTask(
                task=task,
                reserved=task.resources,
                epoch=12345,
                lease_until=WALL + 30,
                used=Resources(cores_milli=700, memory_mb=900),
            )
            for task in (make_task(index, rng) for index in range(tasks))
        ),
        finished=(),
        cursor=CURSOR,
    )


def make_changes(base: WorkerListing) -> WorkerListing:
    """Return the answer that says that the usage of all tasks of a listing is another."""
    used = Resources(cores_milli=650, memory_mb=910)
    running = tuple(replace(row, used=used) for row in base.running)
    return changes_since(base, replace(base, running=running, cursor=f"{CURSOR}1"))


def make_host_list(hosts: int) -> HostListing:
    """Return the platform's list."""
    return HostListing(
        as_of=WALL,
        by_id={
            HostId(f"worker-{index:05d}"): ListedHost(
                host_id=HostId(f"worker-{index:05d}"),
                kind=HostKind.WORKER,
                data_centre=DATA_CENTRE,
                address=f"10.0.{index // 250}.{index % 250}:8080",
                rack=f"rack-{index // 8}",
                capacity=CAPACITY,
            )
            for index in range(hosts)
        },
    )


def make_ends(groups: int) -> str:
    """Return the text of one record with the ends of so many jobs' tasks."""
    ends = tuple(
        EndedRanges(
            job_id=JobId(f"job-{index:08d}"),
            phase=TaskPhase.DONE,
            ranges=(IndexRange(start=index % 4, stop=index % 4 + 4),),
        )
        for index in range(groups)
    )
    return encode_record(TasksEnded(shard=3, ends=ends), record_id=RecordId("entry-1-123456"))


@slope(
    "start-body-bytes",
    what="body of a start call",
    x_name="tasks",
    y_unit="bytes",
    sizes=(1, 8, 64),
)
def start_body_bytes(tasks: int) -> float:
    """Measure the JSON of a batch."""
    return float(len(msgspec.json.encode(make_batch(tasks))))


@slope(
    "listing-body-bytes",
    what="body of a worker's listing",
    x_name="tasks",
    y_unit="bytes",
    sizes=(1, 8, 64),
)
def listing_body_bytes(tasks: int) -> float:
    """Measure the JSON of a listing."""
    return float(len(msgspec.json.encode(make_listing(tasks))))


@slope(
    "listing-changes-bytes",
    what="body of a worker's listing since the last one, when every task's usage is another",
    x_name="tasks",
    y_unit="bytes",
    sizes=(1, 8, 64),
)
def listing_changes_bytes(tasks: int) -> float:
    """Measure the JSON of an answer by changes."""
    return float(len(msgspec.json.encode(make_changes(make_listing(tasks)))))


@slope(
    "listing-cpu",
    what="decode a worker's changed usage, put the listing together and reconcile the ledger",
    x_name="tasks",
    y_unit="us of processor time",
    sizes=(1, 8, 64),
)
def listing_cpu(tasks: int) -> float:
    """Measure an owner that takes in what it knows already."""
    core = make_core(1)
    known = make_listing(tasks)
    body = msgspec.json.encode(make_changes(known))
    core.on_listing(WORKER, known, WALL)
    rounds = 50

    def take_in() -> None:
        for _ in range(rounds):
            listing = apply_changes(known, msgspec.json.decode(body, type=WorkerListing))
            if listing is None:
                raise AssertionError("the changes do not build on the listing")
            core.on_listing(WORKER, listing, WALL)

    return least_cpu_us(take_in) / rounds


@slope(
    "host-list-bytes",
    what="body of the platform's list",
    x_name="hosts",
    y_unit="bytes",
    sizes=(50, 500, 3000),
)
def host_list_bytes(hosts: int) -> float:
    """Measure the JSON of the list."""
    return float(len(msgspec.json.encode(make_host_list(hosts))))


@slope(
    "host-list-cpu",
    what="decode the platform's list",
    x_name="hosts",
    y_unit="us of processor time",
    sizes=(50, 500, 3000),
)
def host_list_cpu(hosts: int) -> float:
    """Measure reading the list."""
    body = msgspec.json.encode(make_host_list(hosts))
    return least_cpu_us(lambda: msgspec.json.decode(body, type=HostListing))


@slope(
    "task-ends-bytes",
    what="log record with the ends of tasks of so many jobs",
    x_name="jobs with ends",
    y_unit="bytes",
    sizes=(1, 16, 128),
)
def task_ends_bytes(groups: int) -> float:
    """Measure what followers read of ended tasks."""
    return float(len(make_ends(groups)))


@slope(
    "task-ends-fold",
    what="decode and fold a record with the ends of tasks of so many jobs",
    x_name="jobs with ends",
    y_unit="us of processor time",
    sizes=(1, 16, 128),
)
def task_ends_fold(groups: int) -> float:
    """Measure following ended tasks."""
    text = make_ends(groups)
    rounds = 50

    def follow() -> None:
        fold = JobFold()
        for offset in range(rounds):
            fold.apply(decode_record(text, stream=STREAM, offset=Offset(offset)).unwrap())

    return least_cpu_us(follow) / rounds


@slope(
    "http-call-cpu",
    what="calls with a body of 200 bytes, at the caller",
    x_name="calls",
    y_unit="us of processor time",
    sizes=(100, 400, 1600),
)
def http_call_cpu(calls: int) -> float:
    """Measure the caller's side; the server is another process."""

    async def measure(address: str) -> float:
        client = HttpClient(clock=TrioClock())
        await call_times(client, address, 20)
        costs = []
        for _ in range(REPEATS):
            began = time.process_time()
            await call_times(client, address, calls)
            costs.append((time.process_time() - began) * 1e6)
        return min(costs)

    return trio.run(with_echo_server, measure)


@slope(
    "http-call-bytes",
    what="calls with a body of 200 bytes, both ways, over the wire without TCP and IP",
    x_name="calls",
    y_unit="bytes",
    sizes=(10, 40, 160),
)
def http_call_bytes(calls: int) -> float:
    """Count the bytes of calls and answers at a relay."""

    async def measure(address: str) -> float:
        relay = Relay(target=address)
        async with trio.open_nursery() as nursery:
            await nursery.start(relay.run)
            await call_times(HttpClient(clock=TrioClock()), relay.address, calls)
            nursery.cancel_scope.cancel()
        return float(relay.counts.to_server_bytes + relay.counts.to_client_bytes)

    return trio.run(with_echo_server, measure)


async def call_times(client: HttpClient, address: str, calls: int) -> None:
    """Make calls one after the other; raises if one fails."""
    for _ in range(calls):
        answered = await client.request(
            method="POST", address=address, path="/echo", timeout_s=10.0, body=CALL_BODY
        )
        answered.unwrap()


async def with_echo_server(measure: Callable[[str], Awaitable[float]]) -> float:
    """Run `measure` with the address of an echo server in a process of its own."""
    (port,) = reserve_ports(1)
    with tempfile.TemporaryDirectory() as directory:
        async with running_driver(Path(directory)) as driver:
            command = (sys.executable, "-m", "galenastall.bench.echo_server", str(port))
            await driver.start(name="echo", command=command)
            url = f"http://127.0.0.1:{port}/readyz"
            await driver.wait_ready(name="echo", url=url, timeout_s=20.0)
            return await measure(f"127.0.0.1:{port}")
