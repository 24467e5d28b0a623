"""Measure the throughput of a stand-in process, to ensure that it is not a bench's bottleneck.

`python -m galenastall.standin.capacity [SECONDS]` starts one stand-in process and loads it from
this one in closed loops over raw sockets, with preformatted requests to keep the client cheap; it
prints one line of JSON for each case.
"""

import os
import subprocess
import sys
import tempfile
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Final

import msgspec
import trio

from galenastall.protocol.platform import StartBatch, StartRequest
from galenastall.protocol.upstream_headers import ATTEMPT_ID, EPOCH, NOT_AFTER, REQUEST_ID
from galenastall.standin.server import StandinAddresses
from galenastall.state.hosts import HostKind
from galenastall.state.ids import Epoch, HostId, JobId, TeamPath, make_task_id
from galenastall.state.resources import Resources
from galenastall.state.work import TaskSpec, Urgency, Workload
from galenastall.transport.platform_http_log import AppendMessage

DEFAULT_SECONDS: Final = 5.0
FAR_FUTURE: Final = 1e12
BATCH: Final = 20
READ_BYTES: Final = 65_536

SETTINGS: Final = """
data_centres: [gangnam, mapo, seongsu]
log: {{appends_per_second: 100000.0, keep_records: 100000}}
executors: {{service_time: {{mean_ms: {mean_ms}}}}}
"""

MakeRequest = Callable[[int], bytes]


@dataclass(frozen=True, kw_only=True, slots=True)
class Case:
    """One kind of load to measure."""

    name: str
    connections: int
    mean_ms: float
    """Service time of the executors."""
    plan: Callable[[StandinAddresses], list[tuple[str, MakeRequest]]]
    """Address and requests of each connection."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Figures:
    """Measurements of one case."""

    case: str
    requests_per_s: float
    cpu_us_per_request: float
    cores: float
    """CPU seconds that the stand-in used per second."""
    p50_ms: float
    p99_ms: float
    resident_mb: float


def make_executor_request(number: int) -> bytes:
    """Return a call to an executor with a body of 200 bytes."""
    name = f"request-{number:010d}"
    headers = (
        f"content-type: text/plain\r\n{REQUEST_ID}: {name}\r\n{ATTEMPT_ID}: {name}#1\r\n"
        f"{EPOCH}: 7\r\n{NOT_AFTER}: {FAR_FUTURE}\r\n"
    )
    return _post("/packs/preview", b"%0200d" % number, headers)


def make_append(number: int, *, records: int) -> bytes:
    """Return an append of `records` records of 200 bytes."""
    texts = tuple(f"{number:0200d}" for _ in range(records))
    return _post("/log/settings", msgspec.json.encode(AppendMessage(texts=texts)))


def make_start(number: int, *, path: str) -> bytes:
    """Return a start of BATCH short tasks on one worker."""
    starts = tuple(
        StartRequest(
            task=_make_task(number * BATCH + index),
            reserved=Resources(cores_milli=10, memory_mb=10),
            lease_until=FAR_FUTURE,
        )
        for index in range(BATCH)
    )
    batch = StartBatch(owner=HostId("entry"), epoch=Epoch(1), not_after=FAR_FUTURE, starts=starts)
    return _post(f"{path}/start", msgspec.json.encode(batch))


def _make_task(number: int) -> TaskSpec:
    job = JobId(f"job-{number}")
    return TaskSpec(
        task_id=make_task_id(job, 0),
        job_id=job,
        team=TeamPath("board/packs"),
        workload=Workload.BATCH,
        urgency=Urgency.NORMAL,
        resources=Resources(cores_milli=10, memory_mb=10),
        run_s=0.5,
    )


def _post(path: str, body: bytes, headers: str = "content-type: application/json\r\n") -> bytes:
    head = f"POST {path} HTTP/1.1\r\nhost: standin\r\n{headers}content-length: {len(body)}\r\n\r\n"
    return head.encode() + body


def _executors(addresses: StandinAddresses) -> list[tuple[str, MakeRequest]]:
    hosts = [host for host in addresses.hosts if host.kind is HostKind.UPSTREAM]
    return [(host.address, make_executor_request) for host in hosts]


def _appends(records: int) -> Callable[[StandinAddresses], list[tuple[str, MakeRequest]]]:
    def plan(addresses: StandinAddresses) -> list[tuple[str, MakeRequest]]:
        return [(addresses.platform, lambda number: make_append(number, records=records))]

    return plan


def _starts(addresses: StandinAddresses) -> list[tuple[str, MakeRequest]]:
    hosts = [host for host in addresses.hosts if host.kind is HostKind.WORKER]
    return [_starts_on(host.address) for host in hosts]


def _starts_on(address: str) -> tuple[str, MakeRequest]:
    host, slash, path = address.partition("/")
    return host, lambda number: make_start(number, path=f"{slash}{path}")


CASES: Final = (
    Case(name="executors, no service time", connections=24, mean_ms=0.0, plan=_executors),
    Case(name="executors, 20 ms", connections=24, mean_ms=20.0, plan=_executors),
    Case(name="executors, 20 ms, saturated", connections=96, mean_ms=20.0, plan=_executors),
    Case(name="appends of 1 record", connections=8, mean_ms=0.0, plan=_appends(1)),
    Case(name="appends of 20 records", connections=8, mean_ms=0.0, plan=_appends(BATCH)),
    Case(name="starts of 20 tasks", connections=8, mean_ms=0.0, plan=_starts),
)


class _Load:
    """Closed-loop load over several connections; latencies in seconds."""

    def __init__(self) -> None:
        self.latencies: list[float] = []
        self._count = 0

    async def drive(self, address: str, make_request: MakeRequest) -> None:
        host, _, port = address.partition(":")
        stream = await trio.open_tcp_stream(host, int(port))
        async with stream:
            while True:
                self._count += 1
                request = make_request(self._count)
                sent_at = trio.current_time()
                await stream.send_all(request)
                await _read_answer(stream)
                self.latencies.append(trio.current_time() - sent_at)


async def _read_answer(stream: trio.SocketStream) -> None:
    data = bytes(await stream.receive_some(READ_BYTES))
    while b"\r\n\r\n" not in data:
        data += await stream.receive_some(READ_BYTES)
    head, _, body = data.partition(b"\r\n\r\n")
    if not head.startswith(b"HTTP/1.1 200"):
        raise RuntimeError(f"the stand-in answered {data!r}")
    length = int(head.lower().split(b"content-length:")[1].split(b"\r\n")[0])
    missing = length - len(body)
    while missing > 0:
        missing -= len(await stream.receive_some(READ_BYTES))


async def measure(case: Case, *, seconds: float) -> Figures:
    """Load a new stand-in process and return the measurements."""
    with start_process(SETTINGS.format(mean_ms=case.mean_ms)) as (process, addresses):
        load = _Load()
        targets = case.plan(addresses)
        cpu_before = _cpu_seconds(process.pid)
        with trio.move_on_after(seconds):
            async with trio.open_nursery() as nursery:
                for index in range(case.connections):
                    nursery.start_soon(load.drive, *targets[index % len(targets)])
        cpu_s = _cpu_seconds(process.pid) - cpu_before
        resident_mb = _resident_mb(process.pid)
    latencies = sorted(load.latencies)
    return Figures(
        case=case.name,
        requests_per_s=round(len(latencies) / seconds, 1),
        cpu_us_per_request=round(cpu_s / len(latencies) * 1e6, 1),
        cores=round(cpu_s / seconds, 2),
        p50_ms=round(latencies[len(latencies) // 2] * 1e3, 2),
        p99_ms=round(latencies[len(latencies) * 99 // 100] * 1e3, 2),
        resident_mb=round(resident_mb, 1),
    )


@contextmanager
def start_process(
    settings: str,
) -> Iterator[tuple[subprocess.Popen[bytes], StandinAddresses]]:
    """Start a stand-in process with these settings (YAML); stop it when the context ends."""
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory) / "standin.yaml"
        path.write_text(settings)
        command = [sys.executable, "-m", "galenastall.standin", str(path)]
        with subprocess.Popen(command, stdout=subprocess.PIPE) as process:
            try:
                assert process.stdout is not None
                line = process.stdout.readline()
                yield process, msgspec.json.decode(line, type=StandinAddresses)
            finally:
                process.terminate()


def _cpu_seconds(pid: int) -> float:
    fields = _stat_fields(pid)
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK")


def _resident_mb(pid: int) -> float:
    return int(_stat_fields(pid)[21]) * os.sysconf("SC_PAGE_SIZE") / 2**20


def _stat_fields(pid: int) -> list[str]:
    return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()


def main(arguments: list[str]) -> int:
    """Run all cases in sequence."""
    seconds = float(arguments[0]) if arguments else DEFAULT_SECONDS
    for case in CASES:
        figures = trio.run(partial(measure, case, seconds=seconds))
        sys.stdout.write(msgspec.json.encode(figures).decode() + "\n")
        sys.stdout.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
