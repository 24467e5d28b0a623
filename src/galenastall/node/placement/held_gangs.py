"""A worker owner's side of gang starts: holds by gang key, each started or released once."""

from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Final

from returns.result import Failure, Success

from galenastall.coordination.placement.assigned_tasks import AssignedTasks
from galenastall.coordination.placement.placement import PlacementCore
from galenastall.coordination.placement.placement_commands import Decision, HoldId
from galenastall.coordination.placement.task_reports import TaskAttempt
from galenastall.node.jobs.job_link import JobLink
from galenastall.protocol.clock import Clock
from galenastall.protocol.job_messages import GangHold, GangRelease, GangStart, JobReply
from galenastall.protocol.task_rows import unpack_tasks
from galenastall.state.ids import HostId
from galenastall.state.work import TaskSpec

MAX_STARTED_KEYS: Final = 4096


@dataclass(frozen=True, kw_only=True, slots=True)
class HeldGang:
    """This owner's part of a gang, held and not started."""

    hold_id: HoldId
    shard: int
    tasks: tuple[TaskSpec, ...]


class HeldGangs:
    """Handles hold and start messages; a repeated one gets the same answer as the first."""

    def __init__(
        self,
        *,
        core: PlacementCore,
        assigned: AssignedTasks,
        link: JobLink,
        clock: Clock,
        carry_out: Callable[[Decision], None],
        is_accepting: Callable[[], bool],
    ) -> None:
        """`carry_out` sends the starts; `is_accepting` is False while this entry host drains."""
        self._core = core
        self._assigned = assigned
        self._clock = clock
        self._carry_out = carry_out
        self._is_accepting = is_accepting
        self._held_by_key: dict[str, HeldGang] = {}
        self._started: OrderedDict[str, None] = OrderedDict()
        link.answer(GangHold, self._on_hold)
        link.answer(GangStart, self._on_start)
        link.on_message(GangRelease, self._on_release)

    def expired(self, holds: tuple[HoldId, ...]) -> None:
        """Forget holds that the core has released as expired."""
        for key in [key for key, gang in self._held_by_key.items() if gang.hold_id in holds]:
            del self._held_by_key[key]

    def release_tasks(self, attempts: Iterable[TaskAttempt]) -> None:
        """Release the holds to which any of these attempts belongs; they can't be started then."""
        stopped = set(attempts)
        for key, gang in list(self._held_by_key.items()):
            held = (TaskAttempt(task_id=task.task_id, attempt=task.attempt) for task in gang.tasks)
            if not stopped.isdisjoint(held):
                self._release(key)

    def release_shard(self, shard: int) -> None:
        """Release all holds of a shard that has a new owner."""
        for key, gang in list(self._held_by_key.items()):
            if gang.shard == shard:
                self._release(key)

    async def _on_hold(self, sender: HostId, message: GangHold) -> JobReply:
        now = self._clock.wall()
        if not self._assigned.note_owner(message.shard, sender, message.epoch, message.until):
            return JobReply(ok=False, detail="the shard has a later owner")
        if message.key in self._held_by_key:
            return JobReply(ok=True)
        if not self._is_accepting() or message.key in self._started or message.until <= now:
            return JobReply(ok=False, detail="draining, already started, or past the hold's end")
        tasks = tuple(unpack_tasks(message.groups))
        match self._core.hold(message.key, tasks, now, message.until):
            case Success(hold):
                self._held_by_key[message.key] = HeldGang(
                    hold_id=hold.hold_id, shard=message.shard, tasks=tasks
                )
                return JobReply(ok=True)
            case Failure(error):
                return JobReply(ok=False, detail=str(error))
        return JobReply(ok=False)

    async def _on_start(self, sender: HostId, message: GangStart) -> JobReply:
        now = self._clock.wall()
        if message.epoch < self._assigned.epoch_of(message.shard):
            return JobReply(ok=False, detail="the shard has a later owner")
        if message.key in self._started:
            return JobReply(ok=True)
        held = self._held_by_key.pop(message.key, None)
        if held is None:
            return JobReply(ok=False, detail="the gang is not held here, or its hold has ended")
        match self._core.start_hold(held.hold_id, now):
            case Success(decision):
                self._remember(message.key)
                self._accept(message.shard, held.tasks)
                self._carry_out(decision)
                return JobReply(ok=True)
            case Failure(error):
                return JobReply(ok=False, detail=str(error))
        return JobReply(ok=False)

    def _on_release(self, _sender: HostId, message: GangRelease) -> None:
        self._release(message.key)

    def _release(self, key: str) -> None:
        held = self._held_by_key.pop(key, None)
        if held is not None:
            self._core.release_hold(held.hold_id)

    def _accept(self, shard: int, tasks: tuple[TaskSpec, ...]) -> None:
        self._assigned.accept(shard, tasks)

    def _remember(self, key: str) -> None:
        self._started[key] = None
        if len(self._started) > MAX_STARTED_KEYS:
            self._started.popitem(last=False)
