"""Measures the idle cores that a waiting step could use."""

from galenastall.bench.cell_load.emulation import EmulatedFleet
from galenastall.coordination.cell.scheduler import CellScheduler
from galenastall.state.cell.jobs import Step, StepKey
from galenastall.state.cell.phases import TaskPhase
from galenastall.state.resources import Resources


def usable_idle_cores(core: CellScheduler, fleet: EmulatedFleet) -> int:
    """Return the idle milli-cores that waiting steps could use now on executors approved for them.

    Uses the actual free capacity of the executors, not the leader's ledger: capacity reserved for a
    step that can't start yet counts as idle too.
    """
    free_by_id = _free_by_executor(fleet)
    taken = 0
    for key, step, count in _waiting_steps(core):
        approved = [i for i in free_by_id if fleet.is_approved(key, i)]
        slots = {i: step.need.count_in(free_by_id[i], count) for i in approved}
        if step.is_gang and sum(slots.values()) < count:
            continue
        left = count
        for executor_id, fitting in slots.items():
            placed = min(fitting, left)
            free_by_id[executor_id] -= step.need.times(placed)
            taken += placed * step.need.cores_milli
            left -= placed
    return taken


def _free_by_executor(fleet: EmulatedFleet) -> dict[str, Resources]:
    free = {}
    for executor_id, executor in fleet.executors.items():
        if executor.is_up:
            left = executor.info.capacity
            for run in executor.runs.values():
                left -= run.need
            free[executor_id] = left
    return free


def _waiting_steps(core: CellScheduler) -> list[tuple[StepKey, Step, int]]:
    found = []
    for job in core.jobs_by_id.values():
        if job.has_ended or not job.is_durable:
            continue
        for occurrence in job.occurrences_by_number.values():
            for step in occurrence.steps:
                count = sum(1 for task in step.tasks if task.phase is TaskPhase.WAITING)
                if count and occurrence.is_ready(step):
                    found.append((step.key, step.step, count))
    return found
