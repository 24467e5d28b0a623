"""What the log costs a cell's leader under load, with a reader and with one that stalls.

    python -m galenastall.bench.cell_log_cost --rates 6 18

Starts the stand-in of the operations platform and three entry hosts as processes, hands in so many
jobs a second of three tasks each, and prints a row for each rate and reader.
"""

import argparse
import os
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path
from typing import Final

import httpcore
import trio

from galenastall.platform.settings import METRICS_PORT
from galenastall.platform.standin.callers import OK, StandinCaller
from galenastall.platform.standin.hosts import StandinHost, make_hosts
from galenastall.platform.standin.processes import start_process
from galenastall.platform.standin.server import PlatformStandin, StandinPlan
from galenastall.standin.cell.live_simulation import JobPayload, StepPayload
from galenastall.transport.clock import TrioClock

HOSTS: Final = {"one": ("one-1", "one-2"), "two": ("two-1",)}
ROUTE: Final = "q"
WARM_UP_S: Final = 2.0
LINE_S: Final = 14.5e-6
"""Processor time of one line on the stream, measured in a loop of 20,000 lines."""
JOB: Final = JobPayload(steps=(StepPayload(count=3, cores_milli=250, memory_mb=64, run_s=0.5),))
PLAN: Final = StandinPlan(executors_by_data_centre={"one": 12, "two": 12})


@dataclass(frozen=True, kw_only=True, slots=True)
class Usage:
    """Processor seconds and events of all hosts since their start."""

    cpu_s: float
    events: float
    left_out: float


def main() -> None:
    """Measure each rate with a reader and with one that stalls."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rates", type=float, nargs="+", default=[6.0, 18.0])
    parser.add_argument("--seconds", type=float, default=15.0)
    options = parser.parse_args()
    _say("jobs/s  reader    accepted  lines/s  dropped/s  cores, all hosts  log's share of them")
    for rate in options.rates:
        for is_read in (True, False):
            _say(trio.run(measure, rate, options.seconds, is_read))


async def measure(rate: float, seconds: float, is_read: bool) -> str:
    """Return a row."""
    standin = PlatformStandin(plan=PLAN, clock=TrioClock())
    caller = StandinCaller()
    processes: list[subprocess.Popen[bytes]] = []
    async with trio.open_nursery() as nursery:
        await nursery.start(standin.run)
        standin.configure(standin.make_route(ROUTE))
        hosts = make_hosts(HOSTS)
        # Nobody reads the pipe: it takes 64 KB and then nothing more.
        log = subprocess.DEVNULL if is_read else subprocess.PIPE
        with tempfile.TemporaryDirectory() as folder:
            try:
                processes = [
                    start_process(host, standin=standin, folder=Path(folder), log=log)
                    for host in hosts
                ]
                for host in hosts:
                    await caller.wait_ready(host)
                row = await _load(hosts, caller, processes, rate, seconds)
            finally:
                for process in processes:
                    process.kill()
                    process.wait()
        nursery.cancel_scope.cancel()
    reader = "reads" if is_read else "stalls"
    return f"{rate:6.1f}  {reader:8}  {row}"


async def _load(
    hosts: list[StandinHost],
    caller: StandinCaller,
    processes: list[subprocess.Popen[bytes]],
    rate: float,
    seconds: float,
) -> str:
    accepted = 0

    async def submit(number: int) -> None:
        nonlocal accepted
        host = hosts[number % len(hosts)]
        status, _ = await caller.submit(host, ROUTE, f"{number:016x}", JOB)
        accepted += status == OK

    await trio.sleep(WARM_UP_S)
    before = await _usage(hosts, processes)
    began = trio.current_time()
    count = int(rate * seconds)
    async with trio.open_nursery() as nursery:
        for number in range(count):
            await trio.sleep_until(began + number / rate)
            nursery.start_soon(submit, number)
    after = await _usage(hosts, processes)
    span_s = trio.current_time() - began
    lines = (after.events - before.events) / span_s
    dropped = (after.left_out - before.left_out) / span_s
    cores = (after.cpu_s - before.cpu_s) / span_s
    share = lines * LINE_S / cores
    return f"{accepted:8}  {lines:7.0f}  {dropped:9.0f}  {cores:16.3f}  {share:.1%}"


async def _usage(hosts: list[StandinHost], processes: list[subprocess.Popen[bytes]]) -> Usage:
    ticks = os.sysconf("SC_CLK_TCK")
    cpu_s = 0.0
    for process in processes:
        fields = (await trio.Path(f"/proc/{process.pid}/stat").read_text()).rpartition(")")[2]
        user, system = fields.split()[11:13]
        cpu_s += (int(user) + int(system)) / ticks
    events = left_out = 0.0
    async with httpcore.AsyncConnectionPool() as pool:
        for host in hosts:
            answer = await pool.request("GET", f"http://{host.ip}:{METRICS_PORT}/metrics")
            text = answer.content.decode()
            events += _total(text, "galenastall_events_total")
            left_out += _total(text, "galenastall_log_dropped")
    return Usage(cpu_s=cpu_s, events=events, left_out=left_out)


def _total(text: str, name: str) -> float:
    lines = (line for line in text.splitlines() if line.startswith(name))
    return sum(float(line.rpartition(" ")[2]) for line in lines)


def _say(line: str) -> None:
    sys.stdout.write(f"{line}\n")
    sys.stdout.flush()


if __name__ == "__main__":
    main()
