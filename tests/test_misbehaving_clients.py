"""Crowds of clients that do not behave, against an entry host as a real process.

The host is the only one of its cell, so it also leads. Its memory and descriptors are lowered in
its settings. Nothing is timed: after each step the host must live within its bounds, take a job
and run it.
"""

import signal
import subprocess
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Final

import msgspec
import pytest
import trio

from client_crowds import LEGAL_BODY_BYTES
from crowd_rig import Bounds, Usage, crowd, settled
from galenastall.platform.standin.callers import StandinCaller
from galenastall.platform.standin.hosts import StandinHost, make_hosts
from galenastall.platform.standin.processes import start_process
from galenastall.platform.standin.server import PlatformStandin, StandinPlan
from galenastall.standin.cell.live_simulation import JobPayload, StepPayload
from galenastall.state.resources import Resources
from galenastall.transport.clock import TrioClock

TIMEOUT_S: Final = 60.0
ROUTE: Final = "q"
JOB: Final = JobPayload(
    steps=(StepPayload(count=1, cores_milli=500, memory_mb=64, run_s=0.1),), attempts=2
)
FILES: Final = 200
"""Descriptors that the platform reserves for files."""
MEMORY_MB: Final = 100
DESCRIPTORS: Final = 1_500
FEW_DESCRIPTORS: Final = 400

DOORS: Final = {
    "job": ("callers_address", f"/{ROUTE}/00000000000000ff"),
    "no_route": ("callers_address", "/nowhere/00000000000000ff"),
    "readiness": ("readiness_address", "/readiness"),
    "metrics": ("metrics_address", "/metrics"),
}
CLIENTS_BY_KIND: Final = {
    "almost_whole": 600,
    "almost_whole_in_pieces": 600,
    "chunks_of_one_byte": 200,
    "too_long": 400,
    "too_long_in_chunks": 400,
    "many_fields": 300,
    "sent_ahead": 300,
    "silent": 600,
    "slow_heads": 600,
    "long_heads": 600,
    "slow_bodies": 600,
    "slow_readers": 300,
}
CASES: Final = [
    (kind, door)
    for kind in CLIENTS_BY_KIND
    for door in DOORS
    if (kind, door) != ("silent", "no_route")  # it sends no path
]
KINDS_WITH_FEW_DESCRIPTORS: Final = frozenset({"silent", "slow_heads", "long_heads"})
"""Kinds that take up connections more than memory."""


@dataclass(kw_only=True)
class OneHost:
    """A host's process, with the stand-in that it runs against."""

    standin: PlatformStandin
    host: StandinHost
    process: subprocess.Popen[bytes]
    log_path: Path
    usage: Usage

    def __post_init__(self) -> None:
        self.caller = StandinCaller()
        self._numbers = Random(3)

    @property
    def bounds(self) -> Bounds:
        return Bounds(memory_mb=self.host.memory_mb, sockets=self.host.file_descriptors - FILES)

    def is_alive(self) -> bool:
        return self.process.poll() is None

    async def run_job(self) -> str:
        """Hand in a job as a caller does, with retries; return the state in which it ends."""
        job_id = f"{self._numbers.randrange(16**16):016x}"
        state, status = "", 0
        with trio.move_on_after(TIMEOUT_S):
            while status != 200:
                status, _ = await self.caller.submit(self.host, ROUTE, job_id, JOB)
                await trio.sleep(0.1)
            while state not in ("completed", "failed"):
                state = await self.caller.state(self.host, ROUTE, job_id)
                await trio.sleep(0.1)
        return state or str(status)

    async def problems(self) -> list[str]:
        """Return what does not hold: a job must run, within the bounds."""
        found = [] if self.is_alive() else ["the process has ended"]
        ended = await self.run_job()
        if ended != "completed":
            found.append(f"a job is {ended}")
        self.usage.measure()
        return found + self.usage.problems(self.bounds)


@asynccontextmanager
async def running_host(
    folder: Path, *, memory_mb: int = MEMORY_MB, file_descriptors: int = DESCRIPTORS
) -> AsyncIterator[OneHost]:
    plan = StandinPlan(
        executors_by_data_centre={"one": 2},
        capacity=Resources(cores_milli=64_000, memory_mb=65_536),
    )
    standin = PlatformStandin(plan=plan, clock=TrioClock())
    async with trio.open_nursery() as nursery:
        await nursery.start(standin.run)
        standin.configure(standin.make_route(ROUTE))
        [host] = make_hosts(
            {"one": ("one-1",)}, memory_mb=memory_mb, file_descriptors=file_descriptors
        )
        log_path = folder / f"{host.name}.log"
        with log_path.open("ab") as log:
            process = start_process(host, standin=standin, folder=folder, log=log, errors=log)
        addresses = (host.callers_address, host.readiness_address, host.metrics_address)
        usage = Usage(pid=process.pid, addresses=addresses)
        one = OneHost(standin=standin, host=host, process=process, log_path=log_path, usage=usage)
        try:
            with trio.fail_after(TIMEOUT_S):
                await one.caller.wait_ready(host)
            nursery.start_soon(usage.watch)
            yield one
        finally:
            process.kill()
            process.wait()
        nursery.cancel_scope.cancel()


class TestCrowds:
    @pytest.mark.parametrize(("kind", "door"), CASES)
    async def test_a_host_stays_within_its_bounds_and_runs_jobs(
        self, kind: str, door: str, tmp_path: Path
    ) -> None:
        attribute, path = DOORS[door]
        has_few = kind in KINDS_WITH_FEW_DESCRIPTORS
        descriptors = FEW_DESCRIPTORS if has_few else DESCRIPTORS
        async with running_host(tmp_path, file_descriptors=descriptors) as one:
            address = getattr(one.host, attribute)
            async with crowd(kind, address, path, CLIENTS_BY_KIND[kind]):
                await settled(one.process.pid, is_alive=one.is_alive)
                beside = await one.problems()
            afterwards = await one.problems()
        assert (beside, afterwards) == ([], [])


class TestCalm:
    @pytest.mark.parametrize("chunk_bytes", [0, 1])
    async def test_one_request_at_the_limit_is_served(
        self, chunk_bytes: int, tmp_path: Path
    ) -> None:
        """Its body has the longest legal size, at once or in chunks of one byte."""
        payload = msgspec.json.encode(JOB).decode()
        step = {"count": 1, "cpu": 500, "memoryRequestMb": 64}
        body = msgspec.json.encode({"specification": payload, "steps": [step]})
        body = body[:-1] + b" " * (LEGAL_BODY_BYTES - len(body)) + body[-1:]
        assert len(body) == LEGAL_BODY_BYTES
        async with running_host(tmp_path) as one:
            status = await _post(one.host.callers_address, body, chunk_bytes=chunk_bytes)
            assert status == 200
            assert one.usage.problems(one.bounds) == []


async def _post(address: str, body: bytes, *, chunk_bytes: int) -> int:
    """Submit a job on a connection of its own; return the status of the response."""
    ip, _, port = address.rpartition(":")
    framing = "transfer-encoding: chunked" if chunk_bytes else f"content-length: {len(body)}"
    if chunk_bytes:
        sizes = range(0, len(body), chunk_bytes)
        parts = [body[at : at + chunk_bytes] for at in sizes]
        body = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts) + b"0\r\n\r\n"
    fields = f"host: standin.example\r\ndeadline-remaining: 60000\r\n{framing}"
    head = f"POST /{ROUTE}/00000000000000aa HTTP/1.1\r\n{fields}\r\n\r\n"
    with trio.fail_after(TIMEOUT_S):
        stream = await trio.open_tcp_stream(ip, int(port))
        await stream.send_all(head.encode() + body)
        return int((await stream.receive_some(4096)).split()[1])


class TestStop:
    @pytest.mark.parametrize("kind", ["silent", "almost_whole", "slow_heads", "slow_readers"])
    async def test_unfinished_connections_do_not_hold_up_a_stop(
        self, kind: str, tmp_path: Path
    ) -> None:
        """No request that could have been refused is cut off when the grace time ends."""
        attribute, path = DOORS["job"]
        async with running_host(tmp_path) as one:
            address = getattr(one.host, attribute)
            async with crowd(kind, address, path, 100):
                await settled(one.process.pid, is_alive=one.is_alive)
                one.process.send_signal(signal.SIGTERM)
                code = await trio.to_thread.run_sync(one.process.wait, TIMEOUT_S)
            lines = [
                msgspec.json.decode(line)
                for line in one.log_path.read_bytes().splitlines()
                if line.startswith(b"{")
            ]
        stopped = [line for line in lines if line.get("event") == "host.stopped"]
        assert code == 0
        assert [line["cut_off"] for line in stopped] == ["0"]
