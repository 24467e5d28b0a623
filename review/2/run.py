"""Six of 24 executors are lost for good, then the leader is killed; jobs wait with room free."""

import asyncio
import json
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin"))

from machines import Executor  # noqa: E402
from scenario import BROKEN, COULD_NOT_RUN, HELD, Deployment, run, until  # noqa: E402
from web import OK  # noqa: E402

JOBS = 120
CPU = 6_000
MEMORY_MB = 2_048
RUN_S = 30.0
SUBMIT_EVERY_S = 0.03
LOST_AT_ONCE = 3
"""Executors lost at a time, of 24: a share of 0.125."""
BETWEEN_LOSSES_S = 0.9
KILL_AFTER_S = 1.1
"""Time from the second loss to the kill of the leader, which is the end of the traffic."""
FINISH_S = 14.0
"""`finish_s` of the sheet."""
NOTHING_FOR_S = 3.0
TWICE = 2


def job_of(task: str) -> str:
    """Return the job of a task."""
    return task.split(".", maxsplit=1)[0]


def running_jobs(deployment: Deployment) -> set[str]:
    """Return the jobs that have something running."""
    executors = [e for e in deployment.fleet.executors() if not e.is_dark]
    return {job_of(task) for executor in executors for task in executor.runs}


def has_room(deployment: Deployment) -> bool:
    """Whether a task fits twice over and under half of the sound executors' cores are in use."""
    executors = [e for e in deployment.fleet.executors() if not e.is_dark]
    capacity = executors[0].machine.capacity["cpu"]
    used = [len(executor.runs) * CPU for executor in executors]
    places = sum((capacity - each) // CPU for each in used)
    return places >= TWICE and 2 * sum(used) < capacity * len(executors)


async def submit_all(deployment: Deployment) -> set[str]:
    """Hand in all jobs; return those that were accepted."""
    step = {"count": 1, "cpu": CPU, "memoryRequestMb": MEMORY_MB, "estimatedMs": RUN_S * 1000}
    body = {"specification": json.dumps({"lasts_s": RUN_S}), "steps": [step]}
    jobs = [f"{number:016x}" for number in range(1, JOBS + 1)]
    tasks = []
    for number, job in enumerate(jobs):
        request = deployment.client.request("POST", job, body, first=number)
        tasks.append(asyncio.create_task(request))
        await asyncio.sleep(SUBMIT_EVERY_S)
    answers = await asyncio.gather(*tasks)
    return {job for job, (status, _) in zip(jobs, answers, strict=True) if status == OK}


def lose(deployment: Deployment) -> None:
    """Have the executors with the most runs go dark for good."""

    def run_count(executor: Executor) -> int:
        return len(executor.runs)

    sound = [e for e in deployment.fleet.executors() if not e.is_dark]
    for executor in sorted(sound, key=run_count, reverse=True)[:LOST_AT_ONCE]:
        count = len(executor.runs)
        deployment.record(f"{executor.executor_id} is lost for good with {count} runs")
        deployment.fleet.tasks.add(asyncio.create_task(executor.go_dark()))


async def scenario(deployment: Deployment) -> int:
    """Return what was found."""
    await deployment.start(machines_a_zone=8, hosts_a_zone=1, route="packs")
    accepted = await submit_all(deployment)
    deployment.record(f"{len(accepted)} of {JOBS} jobs were accepted")
    if not await until(lambda: running_jobs(deployment) >= accepted, 10.0):
        return COULD_NOT_RUN
    await asyncio.sleep(1.0)
    leader = deployment.hosts.leader(deployment.store)
    if leader is None:
        return COULD_NOT_RUN
    if deployment.has_trouble:
        lose(deployment)
        await asyncio.sleep(BETWEEN_LOSSES_S)
        lose(deployment)
        await asyncio.sleep(KILL_AFTER_S)
        deployment.record(f"SIGKILL to {leader.name}, which leads")
        deployment.hosts.signal(leader, signal.SIGKILL)
    deployment.record("end of the traffic")
    await asyncio.sleep(FINISH_S)
    idle = set(accepted)
    had_room = True
    watched_until = time.monotonic() + NOTHING_FOR_S
    while time.monotonic() < watched_until:
        idle -= running_jobs(deployment)
        had_room = had_room and has_room(deployment)
        await asyncio.sleep(0.01)
    states = {}
    for number, job in enumerate(sorted(idle)):
        status, body = await deployment.client.request("GET", job, first=number)
        states[job] = body["state"] if status == OK else str(status)
    unfinished = sorted(job for job, state in states.items() if state != "completed")
    deployment.record(f"room for a task twice over and under half in use: {had_room}")
    deployment.record(f"own ends of processes: {deployment.hosts.own_ends}")
    if unfinished and had_room:
        line = f"LOST is broken: {len(unfinished)} jobs have had nothing running for 3 s, such as"
        deployment.record(f"{line} {[(job, states[job]) for job in unfinished[:3]]}")
        return BROKEN
    return HELD


run(scenario, HERE / "record.txt")
