"""Send a worker owner's task reports to the owners of their shards, in batches."""

from collections.abc import Callable, Iterable

import trio
from returns.result import Failure, Success

from galenastall.coordination.placement.assigned_tasks import AssignedTasks
from galenastall.coordination.placement.placement_commands import CapacitySummary
from galenastall.coordination.placement.task_reports import TaskReport
from galenastall.node.jobs.job_link import JobLink
from galenastall.protocol.amount_rows import pack_summary
from galenastall.protocol.clock import Clock
from galenastall.protocol.job_messages import TaskEvents, TaskEventsAnswer, TasksSettled
from galenastall.protocol.ownership_view import OwnershipView
from galenastall.protocol.task_rows import pack_reports
from galenastall.state.ids import HostId
from galenastall.state.job_shards import shard_ownable

RETRY_S = 0.5


class TaskReporter:
    """Keeps at most one batch per shard in flight; an unanswered batch is sent again."""

    def __init__(
        self,
        *,
        assigned: AssignedTasks,
        link: JobLink,
        ownership: OwnershipView,
        clock: Clock,
        summary: Callable[[], CapacitySummary],
        settled: Callable[[Iterable[TaskReport]], None],
        window_s: float,
    ) -> None:
        """`settled` is called with ends that are durable; `summary` is sent with each batch."""
        self._assigned = assigned
        self._link = link
        self._ownership = ownership
        self._clock = clock
        self._summary = summary
        self._settled = settled
        self._window_s = window_s
        self._due = trio.Event()
        self._progress = trio.Event()
        self._in_flight: set[int] = set()
        link.on_message(TasksSettled, self._on_settled)

    def wake(self) -> None:
        """Send new reports soon."""
        self._due.set()

    async def progress(self) -> None:
        """Return once an end was settled or a batch was completed or failed."""
        await self._progress.wait()

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Send until cancelled."""
        async with trio.open_nursery() as nursery:
            task_status.started()
            while True:
                with trio.move_on_after(RETRY_S):
                    await self._due.wait()
                self._due = trio.Event()
                await trio.sleep(self._window_s)
                for shard, reports in self._take_batches():
                    self._in_flight.add(shard)
                    nursery.start_soon(self._send, shard, reports)

    def _take_batches(self) -> Iterable[tuple[int, list[TaskReport]]]:
        now = self._clock.wall()
        return self._assigned.take_reports(now, skip=self._in_flight).items()

    async def _send(self, shard: int, reports: list[TaskReport]) -> None:
        try:
            if not await self._send_batch(shard, reports):
                self._assigned.put_back(reports)
                await trio.sleep(RETRY_S)
        finally:
            self._in_flight.discard(shard)
            self._due.set()
            self._note_progress()

    async def _send_batch(self, shard: int, reports: list[TaskReport]) -> bool:
        owner = self._ownership.owner_of(shard_ownable(shard))
        if owner is None:
            return False
        message = TaskEvents(
            shard=shard, reports=pack_reports(reports), summary=pack_summary(self._summary())
        )
        match await self._link.call(owner, message):
            case Success(TaskEventsAnswer(settled=settled)):
                known = [reports[each] for each in settled if each < len(reports)]
                self._settled(self._assigned.settle(known))
                return True
            case Failure(_):
                return False
        return False

    def _on_settled(self, _sender: HostId, message: TasksSettled) -> None:
        attempts = ((each.task_id, each.attempt) for each in message.tasks)
        self._settled(self._assigned.settle_ids(attempts))
        self._note_progress()

    def _note_progress(self) -> None:
        self._progress.set()
        self._progress = trio.Event()
