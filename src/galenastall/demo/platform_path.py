"""Run jobs on the operations platform's stand-in and stop the leader while they run."""

import os
import tempfile
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Final

import trio

from galenastall.coordination.cell.explain_logs import LogLine, explain_job
from galenastall.platform.process import EntryProcess
from galenastall.platform.settings import load_settings
from galenastall.platform.standin.callers import StandinCaller
from galenastall.platform.standin.hosts import StandinHost, make_hosts
from galenastall.platform.standin.server import PlatformStandin, StandinPlan, StandinTenant
from galenastall.standin.cell.live_simulation import JobPayload, StepPayload
from galenastall.state.resources import Resources
from galenastall.state.timeline_ring import TimelineRing
from galenastall.transport.clock import TrioClock

HOSTS: Final = {"gangnam": ("gangnam-1", "gangnam-2"), "mapo": ("mapo-1",)}
READY_TIMEOUT_S: Final = 20.0
JOB_TIMEOUT_S: Final = 30.0
POLL_S: Final = 0.1
ACCEPTED: Final = 200
UNAUTHORIZED: Final = 401
WORKSPACE: Final = StandinTenant(
    name="board",
    keys=("demo-key-of-board",),
    limit=Resources(cores_milli=64_000, memory_mb=65_536),
)
BATCH_ID: Final = "00000000000000b1"
BATCH: Final = JobPayload(
    workspace=WORKSPACE.name,
    steps=(
        StepPayload(count=8, cores_milli=2000, memory_mb=2048, run_s=1.0),
        StepPayload(count=1, cores_milli=1000, memory_mb=512, after=(0,), run_s=0.5),
    ),
)
GANG_ID: Final = "00000000000000c1"
GANG: Final = JobPayload(
    workspace=WORKSPACE.name,
    steps=(StepPayload(count=4, cores_milli=16_000, memory_mb=16_384, is_gang=True, run_s=3.0),),
)

PrintLine = Callable[[str], None]


@dataclass(kw_only=True, slots=True)
class _RunningHost:
    host: StandinHost
    process: EntryProcess
    scope: trio.CancelScope


async def run_platform_demo(print_line: PrintLine) -> bool:
    """Run the jobs over a leader failure; return whether every step succeeded."""
    clock = TrioClock()
    plan = StandinPlan(executors_by_data_centre={"gangnam": 3, "mapo": 3})
    standin = PlatformStandin(plan=plan, clock=clock)
    caller = StandinCaller(key=WORKSPACE.keys[0])
    async with trio.open_nursery() as nursery:
        await nursery.start(standin.run)
        standin.configure(
            standin.make_route("redaction", priority=2),
            standin.make_route("packs", priority=0),
            tenants=[WORKSPACE],
        )
        running = await _start_hosts(nursery, standin)
        with trio.fail_after(READY_TIMEOUT_S):
            for each in running:
                await caller.wait_ready(each.host)
        print_line("\non the operations platform's stand-in, three entry hosts are ready:")
        for each in running:
            print_line(
                f"  {each.host.name} in {each.host.data_centre}, http {each.host.callers_address}"
            )
        has_passed = await _run_jobs(running, caller, standin, print_line)
        nursery.cancel_scope.cancel()
    return has_passed


async def _start_hosts(nursery: trio.Nursery, standin: PlatformStandin) -> list[_RunningHost]:
    return [await nursery.start(_run_host, host, standin) for host in make_hosts(HOSTS)]


async def _run_host(
    host: StandinHost,
    standin: PlatformStandin,
    task_status: trio.TaskStatus[_RunningHost] = trio.TASK_STATUS_IGNORED,
) -> None:
    with tempfile.TemporaryDirectory() as folder, _open_null_device() as null_descriptor:
        path = Path(folder) / "node.toml"
        await trio.Path(path).write_text(host.settings_text(standin))
        process = EntryProcess(
            settings=load_settings(path), path=path, log_descriptor=null_descriptor
        )
        with trio.CancelScope() as scope:
            async with trio.open_nursery() as nursery:
                await process.start(nursery)
                task_status.started(_RunningHost(host=host, process=process, scope=scope))


@contextmanager
def _open_null_device() -> Iterator[int]:
    """Yield a descriptor of the null device."""
    descriptor = os.open(os.devnull, os.O_WRONLY)
    try:
        yield descriptor
    finally:
        os.close(descriptor)


async def _run_jobs(
    running: list[_RunningHost],
    caller: StandinCaller,
    standin: PlatformStandin,
    print_line: PrintLine,
) -> bool:
    first = running[0].host
    status, _ = await StandinCaller(key="made-up").submit(first, "redaction", BATCH_ID, BATCH)
    print_line(f"job {BATCH_ID} with a key that no workspace has: status {status}")
    if status != UNAUTHORIZED:
        return False
    limit = WORKSPACE.limit
    print_line(f"workspace {WORKSPACE.name} may use up to {limit.cores_milli // 1000} cores")
    for route, job_id, payload in (
        ("redaction", BATCH_ID, BATCH),
        ("packs", GANG_ID, GANG),
    ):
        status, _ = await caller.submit(first, route, job_id, payload)
        print_line(f"job {job_id} of {route}, {payload.steps[0].count} tasks: status {status}")
        if status != ACCEPTED:
            return False
    await trio.sleep(0.5)
    leader = next(each for each in running if each.process.host.leadership.is_leading)
    print_line(f"{leader.host.name} leads; it is stopped without notice")
    leader.scope.cancel()
    survivors = [each for each in running if each is not leader]
    states = [
        await _wait_ended(caller, survivors[0].host, "redaction", BATCH_ID),
        await _wait_ended(caller, survivors[1].host, "packs", GANG_ID),
    ]
    print_line(f"states on the remaining hosts: batch {states[0]}, gang {states[1]}")
    new = next(each for each in survivors if each.process.host.leadership.is_leading)
    print_line(
        f"{new.host.name} leads now; events of the gang in its log and the previous leader's:"
    )
    for line in _lines_about(GANG_ID, [leader, new]):
        print_line(f"  {line}")
    print_line(
        f"starts: {standin.simulation.starts}; "
        f"invariants violated: {standin.simulation.violations or 'none'}"
    )
    return states == ["completed", "completed"] and not standin.simulation.violations


async def _wait_ended(caller: StandinCaller, host: StandinHost, route: str, job_id: str) -> str:
    state = "not queried"
    with trio.move_on_after(JOB_TIMEOUT_S):
        while state not in {"completed", "failed", "cancelled"}:
            state = await caller.state(host, route, job_id)
            await trio.sleep(POLL_S)
    return state


def _lines_about(job_id: str, running: list[_RunningHost]) -> list[str]:
    rings: list[TimelineRing] = [each.process.recorder.ring for each in running]
    lines = [
        LogLine(
            at_s=event.at.wall_ms / 1000.0,
            counter=event.at.counter,
            process=event.process.partition("/")[0],
            event=event.step,
            subjects=tuple(event.subjects),
            cause=event.cause,
            fields=event.fields,
        )
        for ring in rings
        for event in ring
    ]
    lines.sort(key=lambda line: (line.at_s, line.counter))
    summary = explain_job(lines, job_id)
    return [summary.verdict, *(line.text(summary.lines[0].at_s) for line in summary.lines)]
