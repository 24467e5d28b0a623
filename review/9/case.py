"""Two jobs of many small tasks come at once, and nothing that was accepted is run any more."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standin_3.case import run_case
from standin_3.fleet import Fleet

MACHINES = 24
LARGE_JOBS = 2
TASKS = 4_000
SMALL_JOBS = 12
SMALL_EVERY_S = 0.25
FINISH_S = 14.0
"""From the end of the traffic until jobs are asked for, as on the site."""
IDLE_S = 3.0
"""For how long a job may have nothing running then."""
LOOK_S = 0.1


async def submit_small(fleet: Fleet) -> list[str]:
    """Hand in small jobs, one after the other; return those that were accepted."""
    step = {"count": 2, "cpu": 1000, "memoryRequestMb": 128, "estimatedMs": 500}
    jobs = []
    for _ in range(SMALL_JOBS):
        jobs.append(await fleet.submit("small", [step], profile={"lasts_s": 0.5}, tries=5))
        await asyncio.sleep(SMALL_EVERY_S)
    return [job for job in jobs if job]


async def submit_large(fleet: Fleet) -> str:
    """Hand in one job of many tasks that need next to nothing."""
    step = {"count": TASKS, "cpu": 10, "memoryRequestMb": 1, "estimatedMs": 1000}
    return await fleet.submit("large", [step], profile={"lasts_s": 1.0}, tries=5)


def is_stuck(fleet: Fleet, job: str) -> bool:
    """Whether a small job isn't done and has nothing running."""
    tasks = [f"{job}.0.0.{number}" for number in range(2)]
    if all(task in fleet.executors.done for task in tasks):
        return False
    return not any(task in executor.runs for executor in fleet.executors.up() for task in tasks)


async def watch(fleet: Fleet, jobs: list[str]) -> list[str]:
    """Return the jobs that have nothing running for all of the time of the rule."""
    stuck = set(jobs)
    until = time.monotonic() + IDLE_S
    while time.monotonic() < until:
        stuck = {job for job in stuck if is_stuck(fleet, job)}
        await asyncio.sleep(LOOK_S)
    return sorted(stuck)


def cores_in_use(fleet: Fleet) -> float:
    """Return the cores that all runs have been given."""
    tasks = [task for executor in fleet.executors.up() for task in executor.runs]
    return sum(fleet.executors.step_of(task)["cpu"] for task in tasks) / 1000.0


async def play(fleet: Fleet, has_trouble: bool) -> list[str]:
    """Hand in small jobs, and two large ones among them; ask for the small ones later."""
    fleet.route("small")
    fleet.route("large")
    await fleet.start()
    async with asyncio.TaskGroup() as group:
        small = group.create_task(submit_small(fleet))
        await asyncio.sleep(1.0)
        for _ in range(LARGE_JOBS if has_trouble else 0):
            group.create_task(submit_large(fleet))
    accepted = small.result()
    fleet.note("traffic.end", accepted=len(accepted))
    if not accepted:
        raise RuntimeError("no small job was accepted")
    await asyncio.sleep(FINISH_S)
    stuck = await watch(fleet, accepted)
    fleet.note("stuck", jobs=",".join(stuck), cores=f"{cores_in_use(fleet):.1f}")
    states = [await fleet.state("small", job) for job in accepted]
    fleet.note("states", states=",".join(states))
    return [
        f"LOST: {job} has nothing running {FINISH_S:g} s after the traffic, for {IDLE_S:g} s"
        for job in stuck
    ]


if __name__ == "__main__":
    zones = {"z1": 2, "z2": 1}
    folder = Path(__file__).parent
    sys.exit(run_case(folder, play, zones=zones, machines=MACHINES, has_store_process=True))
