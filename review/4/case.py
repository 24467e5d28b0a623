"""A job whose definition is longer than one record of the store stops a cell of one host."""

import asyncio
import json
import signal
import sys
import time
from pathlib import Path

from standin_2.executors import Step
from standin_2.fleet import Client, wait_ready
from standin_2.world import World, run_case

STEPS = 1_500
"""Steps of the large job; its body has some 0.1 MB, and the configuration allows 0.26 MB."""
LASTING = "00000000000000a1"
STAGED = "00000000000000a2"
LARGE = "00000000000000b1"
PROBE = "00000000000000c1"
FINISH_S = 14.0
"""The rule's bound, `finish_s`."""
NOTHING_RUNS_S = 3.0
CALM_S = 5.0


def large_body() -> bytes:
    """Return the body of a job of `STEPS` steps."""
    step = {"count": 1, "cpu": 500, "memoryRequestMb": 64, "estimatedMs": 500}
    return json.dumps({"specification": "many small steps", "steps": [step] * STEPS}).encode()


async def play(world: World) -> tuple[bool, Client]:
    """Play the case; return whether the rule held."""
    client = await world.start(zones=["zone-a", "zone-b", "zone-c"], workers=6)
    body = world.job(LASTING, [Step(count=2, work_s=1.0, is_long=True)])
    await world.accept(client, LASTING, body)
    if world.trouble:
        await lose_all_but_one(world)
    await asyncio.sleep(CALM_S)
    await world.accept(client, PROBE, world.job(PROBE, [Step(count=1, work_s=0.3)]))
    await asyncio.sleep(2.0)
    if await client.state(PROBE) != "completed":
        raise RuntimeError("the hosts that are left don't serve")
    body = world.job(STAGED, [Step(count=1, work_s=3.0), Step(count=1, work_s=0.5)])
    staged = json.loads(body)
    staged["steps"][1]["after"] = [0]
    await world.accept(client, STAGED, json.dumps(staged).encode())
    await asyncio.sleep(1.0)
    world.platform.steps[LARGE] = [Step(count=1, work_s=0.5)] * STEPS
    body = large_body()
    world.say(f"a client hands in a job of {STEPS} steps, {len(body)} bytes")
    status = await client.submit(LARGE, body)
    world.say(f"the client gives up its large job; the last status was {status}")
    await asyncio.sleep(FINISH_S)
    held = await is_served(world, client)
    return held, client


async def lose_all_but_one(world: World) -> None:
    """Lose all hosts but one for good, and wait until that one is ready."""
    *lost, left = world.hosts.hosts
    for host in lost:
        world.say(f"{host.name} is lost for good")
        world.hosts.signal(host, signal.SIGKILL)
    await wait_ready(left)
    world.say(f"{left.name} is ready")


async def is_served(world: World, client: Client) -> bool:
    """Whether each accepted job has ended, or has a task running within `NOTHING_RUNS_S`."""
    states = {job: await client.state(job) for job in (STAGED, LASTING)}
    running: set[str] = set()
    until = time.monotonic() + NOTHING_RUNS_S
    while time.monotonic() < until:
        for worker in world.platform.workers.values():
            running |= {task.split(".")[0] for task in worker.runs}
        await asyncio.sleep(0.05)
    held = True
    for job, state in states.items():
        is_held = state == "completed" or job in running
        held = held and is_held
        what = "runs" if job in running else f"has nothing running for {NOTHING_RUNS_S:g} s"
        world.say(f"{FINISH_S:g} s later job {job} is shown as {state}, and {what}")
    world.say(f"the store refused {world.store.refused_records} appends for a long record")
    return held


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play))
