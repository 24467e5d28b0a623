"""Two machines of one kind crash in turn, and a job that lasts is given up as `failed`."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standin_3.case import run_case
from standin_3.fleet import Fleet

MACHINES = 24
KIND = "b"
OF_KIND = 2
PERIOD_S = 7.0
"""Time from one crash to the next."""
DOWN_S = 3.0
"""How long a machine is down: the site's largest dose is 4.5 s."""
CRASHES = 6
AFTERWARDS_S = 8.0


def labels(number: int) -> list[str]:
    """Return a machine's kind and rack: the first two are of a kind of their own."""
    return [KIND if number < OF_KIND else "a", f"r{number // 8}"]


async def crash_in_turn(fleet: Fleet) -> None:
    """Crash the machines of the kind, one at a time; each comes back with a new executor."""
    for number in range(CRASHES):
        machine = fleet.executors.machines[f"m{number % OF_KIND:02d}"]
        machine.executor.crash()
        await asyncio.sleep(DOWN_S)
        await fleet.executors.add(machine)
        await asyncio.sleep(PERIOD_S - DOWN_S)


async def play(fleet: Fleet, has_trouble: bool) -> list[str]:
    """Submit a job that lasts, crash its machines, and ask for its state."""
    fleet.route("lasting")
    await fleet.start()
    step = {
        "count": 1,
        "cpu": 4000,
        "memoryRequestMb": 2048,
        "longRunning": True,
        "requirements": KIND,
    }
    job = await fleet.submit("lasting", [step])
    await asyncio.sleep(4.0)
    if await fleet.state("lasting", job) != "running":
        raise RuntimeError("the job does not run")
    if has_trouble:
        await crash_in_turn(fleet)
    else:
        await asyncio.sleep(CRASHES * PERIOD_S)
    await asyncio.sleep(AFTERWARDS_S)
    states = {await fleet.state("lasting", job, host) for host in fleet.hosts}
    if states <= {"running", "queued"}:
        return []
    detail = f"job {job}, which nobody cancelled and no run of which ended `failed`, is shown as"
    return [f"LOST: {detail} {sorted(states)}"]


if __name__ == "__main__":
    zones = {"z1": 2, "z2": 1}
    folder = Path(__file__).parent
    sys.exit(run_case(folder, play, zones=zones, machines=MACHINES, labels=labels))
