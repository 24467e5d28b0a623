"""Background writes to the log: held jobs, cancellations, compacted jobs, workers."""

from collections.abc import Callable, Iterable

import trio
from returns.result import Failure, Success

from galenastall.node.jobs.job_timings import JobTimings
from galenastall.node.jobs.shard_driver import ShardDriver
from galenastall.node.placement.known_workers import KnownWorkers
from galenastall.protocol.clock import Clock
from galenastall.protocol.event_sink import EventSink
from galenastall.protocol.log_access import LogAppender
from galenastall.state.ids import JobId, RecordId, StreamName
from galenastall.state.job_fold import JobFold, JobState
from galenastall.state.job_records import JobAccepted, JobCancelled


class JobMaintenance:
    """Retries each write until the log has it."""

    def __init__(
        self,
        *,
        fold: JobFold,
        known_workers: KnownWorkers,
        drivers: Callable[[], Iterable[ShardDriver]],
        held: dict[JobId, JobState],
        cancels: dict[JobId, str],
        appender: LogAppender,
        stream: StreamName,
        clock: Clock,
        timings: JobTimings,
        events: EventSink,
    ) -> None:
        """Entries of `held` and `cancels` are removed when their records are read back."""
        self._fold = fold
        self._known_workers = known_workers
        self._drivers = drivers
        self._held = held
        self._cancels = cancels
        self._appender = appender
        self._stream = stream
        self._clock = clock
        self._timings = timings
        self._events = events
        self._is_logging_workers = False

    async def run(self) -> None:
        """Write until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._log_held)
            nursery.start_soon(self._compact)

    async def log_workers(self) -> None:
        """Log changes of the known workers; only the owner of the first shard calls this."""
        changes = self._known_workers.changes()
        if changes is None or self._is_logging_workers or not self._appender.is_log_up:
            return
        self._is_logging_workers = True
        await self._append(changes, None)
        self._is_logging_workers = False

    async def _log_held(self) -> None:
        while True:
            await trio.sleep(self._timings.log_retry_s)
            if not self._appender.is_log_up:
                continue
            for job_id, state in list(self._held.items()):
                await self._append(
                    JobAccepted(spec=state.spec, was_held=True), f"job.held/{job_id}"
                )
            for job_id, cause in list(self._cancels.items()):
                record = JobCancelled(job_id=job_id, cause=cause)
                if await self._append(record, f"job.cancelled/{job_id}"):
                    self._cancels.pop(job_id, None)

    async def _compact(self) -> None:
        while True:
            await trio.sleep(self._timings.compact_every_s)
            before = self._clock.wall() - self._timings.compact_after_s
            for driver in self._drivers():
                if not driver.may_act or not self._appender.is_log_up:
                    continue
                for job_id in list(driver.core.runs_by_id):
                    job = self._fold.live_by_id.get(job_id)
                    if job is not None and job.renewed_wall < before:
                        await self._append(job.compacted(at=self._clock.wall()), None)

    async def _append(self, record: object, record_id: str | None) -> bool:
        result = await self._appender.append(
            stream=self._stream,
            record=record,
            record_id=None if record_id is None else RecordId(record_id),
        )
        match result:
            case Success(_):
                return True
            case Failure(error):
                self._events.record("job.not_logged", cause=str(error))
        return False
