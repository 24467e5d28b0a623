"""One failed run of a gang is counted twice when the leader is lost between its two ends."""

import asyncio
import sys
import time
from pathlib import Path

from standin_2.executors import Run, Step, Worker
from standin_2.fleet import Client
from standin_2.world import World, run_case

GANG = "00000000000000a1"
MEMBERS = 2
MAX_ATTEMPTS = 2
WORKERS = 24
CUT_S = 4.0
"""The largest cut of workers on the sheet's days takes 5.5 s."""
KILL_AFTER_S = 1.0
ENDS_WITHIN_S = 40.0
ENDED = {"completed", "failed", "cancelled"}


async def play(world: World) -> tuple[bool, Client]:
    """Play the case; return whether the rule held."""
    client = await world.start(
        zones=["zone-a", "zone-b", "zone-c"],
        workers=WORKERS,
        special=MEMBERS,
        max_attempts=MAX_ATTEMPTS,
    )
    await asyncio.sleep(3.0)
    grey = [worker for worker in world.platform.workers.values() if worker.kind == "b"]
    for worker in grey:
        worker.fails_all = True
    world.say(f"{grey[0].id} and {grey[1].id} fail all that they start from now on")
    both_failed = asyncio.Event()
    world.platform.on_start = lambda worker, run: note_start(world, worker, run, both_failed)
    step = Step(count=MEMBERS, work_s=1.0, cpu=5000, is_gang=True)
    body = world.job(GANG, [step], step={"requirements": "b"})
    await world.accept(client, GANG, body)
    async with asyncio.timeout(10.0):
        await both_failed.wait()
    for worker in grey:
        worker.fails_all = False
    world.say("all executors are sound again")
    if world.trouble:
        await lose_leader_in_cut(world, grey)
    return await is_right(world, client), client


def note_start(world: World, worker: Worker, run: Run, both_failed: asyncio.Event) -> None:
    """Cut off the second executor of the gang's first run right after its start."""
    failed = [event for event in world.platform.events if event.what == "failed"]
    if run.run != 1 or len(failed) != MEMBERS:
        return
    both_failed.set()
    if world.trouble:
        world.say(f"{worker.id} is cut off from all hosts, and runs on")
        worker.cut_off()


async def lose_leader_in_cut(world: World, grey: list[Worker]) -> None:
    """Kill the leader during the cut, and end the cut."""
    await asyncio.sleep(KILL_AFTER_S)
    await world.restart(world.leader())
    await asyncio.sleep(CUT_S - KILL_AFTER_S - 1.0)
    for worker in grey:
        worker.heal()
    world.say("the cut ends")


async def is_right(world: World, client: Client) -> bool:
    """Whether the gang's job is shown as failed only after `MAX_ATTEMPTS` of its runs failed."""
    until = time.monotonic() + ENDS_WITHIN_S
    state = ""
    while state not in ENDED and time.monotonic() < until:
        await asyncio.sleep(0.5)
        state = await client.state(GANG)
    runs = {event.run for event in world.platform.events if event.what == "failed"}
    world.say(f"the job is shown as {state}; failed runs of the gang: {sorted(runs)}")
    return state == "completed" or (state == "failed" and len(runs) >= MAX_ATTEMPTS)


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play))
