"""What workspaces have at once, and how much more each may start.

Answers this load: workspaces share all executors, and some hand in more than their limits let run.
A run counts from its assignment until its end is proven, once, on whichever executor it may be; so
neither a lost answer, a takeover nor a restart makes room that is not there.
"""

from collections.abc import Iterable

from galenastall.state.cell.jobs import Step, TaskKey
from galenastall.state.cell.workspaces import NO_WORKSPACE, Workspace
from galenastall.state.resources import NOTHING, Resources


class WorkspaceUse:
    """Counts runs by workspace, against the limits in force."""

    def __init__(self) -> None:
        """Begin without workspaces and runs."""
        self._workspaces_by_name: dict[str, Workspace] = {}
        self.is_told = False
        """Whether a configuration has been read; before that no limit is known."""
        self._run_by_task: dict[TaskKey, tuple[str, Resources]] = {}
        self._used_by_name: dict[str, Resources] = {}
        self._waiting_gangs: set[str] = set()
        """Workspaces with a gang that waits for room under the limit, in the decision in hand."""

    @property
    def used_by_name(self) -> dict[str, Resources]:
        """What workspaces have at once; those that have nothing may be left out."""
        return self._used_by_name

    def find(self, name: str) -> Workspace:
        """Return a workspace; one that no configuration has named has no limit."""
        return self._workspaces_by_name.get(name) or Workspace(name=name)

    def is_known(self, name: str) -> bool:
        """Whether a configuration has named a workspace."""
        return name in self._workspaces_by_name

    def set_workspaces(self, workspaces: Iterable[Workspace]) -> list[Workspace]:
        """Take the workspaces of a newer configuration, and return those that have changed.

        A removed one keeps its last limit.
        """
        self.is_told = True
        known = self._workspaces_by_name
        changed = [each for each in workspaces if known.get(each.name) != each]
        known.update({each.name: each for each in changed})
        return changed

    def add(self, task: TaskKey, *, workspace: str, need: Resources) -> None:
        """Count a run that is assigned."""
        if workspace == NO_WORKSPACE:
            return
        self.remove(task)
        self._run_by_task[task] = (workspace, need)
        self._used_by_name[workspace] = self.used(workspace) + need

    def remove(self, task: TaskKey) -> None:
        """Count a run no longer: it is proven to have ended."""
        known = self._run_by_task.pop(task, None)
        if known is not None:
            name, need = known
            self._used_by_name[name] = self.used(name) - need

    def used(self, name: str) -> Resources:
        """Return what a workspace may have running now."""
        return self._used_by_name.get(name, NOTHING)

    def is_over(self, name: str) -> bool:
        """Whether a workspace has more than its limit, which has fallen."""
        return not self.find(name).allows(self.used(name))

    def begin_decision(self) -> None:
        """Begin a decision in which no gang waits for its workspace's limit yet."""
        self._waiting_gangs.clear()

    def hold_for_gang(self, name: str) -> None:
        """Let nothing more of a workspace start in this decision: a gang before it waits.

        Small tasks would otherwise take each bit of the limit as it comes free.
        """
        self._waiting_gangs.add(name)

    def startable(self, name: str, step: Step, most: int) -> int:
        """Return how many tasks of a step its workspace may start; a gang whole or not at all."""
        if name == NO_WORKSPACE:
            return most
        if not self.is_told or name in self._waiting_gangs:
            return 0
        count = self.find(name).max_additional(step.need, used=self.used(name), most=most)
        return 0 if step.is_gang and count < most else count

    def may_ever_start(self, name: str, step: Step) -> bool:
        """Whether a workspace that runs nothing else may start a task, or the gang, of a step."""
        count = step.count if step.is_gang else 1
        return self.find(name).allows(step.need.times(count))
