"""Resources that workspaces use, and how much more each may start.

Addresses this load: workspaces share all executors, and some submit more than their limits allow to
run. A run counts from its assignment until its end is proven, once, whichever executor it is on; so
a lost answer, a takeover or a restart never frees capacity that is still in use.
"""

from collections.abc import Iterable

from galenastall.state.cell.jobs import Step, TaskKey
from galenastall.state.cell.workspaces import NO_WORKSPACE, Workspace
from galenastall.state.resources import NOTHING, Resources


class WorkspaceUse:
    """Counts the resources of runs by workspace, against the limits in force."""

    def __init__(self) -> None:
        """Start without workspaces and runs."""
        self._workspaces_by_name: dict[str, Workspace] = {}
        self.is_configured = False
        """Whether a configuration has been read; before that no limit is known."""
        self._run_by_task: dict[TaskKey, tuple[str, Resources]] = {}
        self._used_by_name: dict[str, Resources] = {}
        self._waiting_gangs: set[str] = set()
        """Workspaces with a gang that waits for their limit in the current decision."""

    @property
    def used_by_name(self) -> dict[str, Resources]:
        """Resources in use by workspace; workspaces that use nothing may be missing."""
        return self._used_by_name

    @property
    def known(self) -> tuple[Workspace, ...]:
        """Return the workspaces of all configurations read so far, in order of their names."""
        return tuple(self._workspaces_by_name[name] for name in sorted(self._workspaces_by_name))

    def find(self, name: str) -> Workspace:
        """Return a workspace; one that is in no configuration has no limit."""
        return self._workspaces_by_name.get(name) or Workspace(name=name)

    def is_known(self, name: str) -> bool:
        """Whether a configuration has named the workspace."""
        return name in self._workspaces_by_name

    def set_workspaces(self, workspaces: Iterable[Workspace]) -> list[Workspace]:
        """Apply the workspaces of a newer configuration, and return those that have changed.

        A removed one keeps its last limit.
        """
        self.is_configured = True
        known = self._workspaces_by_name
        changed = [each for each in workspaces if known.get(each.name) != each]
        known.update({each.name: each for each in changed})
        return changed

    def add(self, task: TaskKey, *, workspace: str, need: Resources) -> None:
        """Count an assigned run."""
        if workspace == NO_WORKSPACE:
            return
        self.remove(task)
        self._run_by_task[task] = (workspace, need)
        self._used_by_name[workspace] = self.used(workspace) + need

    def remove(self, task: TaskKey) -> None:
        """Stop counting a run that is proven to have ended."""
        known = self._run_by_task.pop(task, None)
        if known is not None:
            name, need = known
            self._used_by_name[name] = self.used(name) - need

    def used(self, name: str) -> Resources:
        """Return the resources of all runs of a workspace that may still be running."""
        return self._used_by_name.get(name, NOTHING)

    def is_over(self, name: str) -> bool:
        """Whether a workspace uses more than its limit, which was lowered."""
        return not self.find(name).allows(self.used(name))

    def begin_decision(self) -> None:
        """Begin a decision in which no gang waits for its workspace's limit yet."""
        self._waiting_gangs.clear()

    def hold_for_gang(self, name: str) -> None:
        """Start nothing more of a workspace in this decision, as a gang of it waits for the limit.

        Small tasks would otherwise use up the limit as soon as any of it is free.
        """
        self._waiting_gangs.add(name)

    def startable(self, name: str, step: Step, most: int) -> int:
        """Return how many tasks of a step may start; a gang completely or not at all."""
        if name == NO_WORKSPACE:
            return most
        if not self.is_configured or name in self._waiting_gangs:
            return 0
        count = self.find(name).max_additional(step.need, used=self.used(name), most=most)
        return 0 if step.is_gang and count < most else count

    def may_ever_start(self, name: str, step: Step) -> bool:
        """Whether an otherwise idle workspace may start one task, or the whole gang, of a step."""
        count = step.count if step.is_gang else 1
        return self.find(name).allows(step.need.times(count))
