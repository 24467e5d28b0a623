"""Executes the decisions of one job shard's core: assign, stop, hold, take a census, log ends."""

from collections.abc import Callable, Collection, Iterable, Mapping
from typing import Final

import trio
from returns.result import Failure, Success

from galenastall.coordination.jobs.census import Census
from galenastall.coordination.jobs.gangs import GangStepKind
from galenastall.coordination.jobs.job_ends import ReportSource
from galenastall.coordination.jobs.job_shard import JobShard
from galenastall.coordination.jobs.shard_commands import (
    AssignAnswer,
    AssignBatch,
    GangCall,
    ShardDecision,
)
from galenastall.coordination.placement.placement_commands import CapacitySummary
from galenastall.coordination.placement.task_reports import HostCensus, TaskAttempt
from galenastall.node.jobs.job_link import JobLink, had_no_effect
from galenastall.node.jobs.job_timings import JobTimings
from galenastall.protocol.clock import Clock
from galenastall.protocol.event_sink import EventSink
from galenastall.protocol.job_messages import (
    GangHold,
    GangRelease,
    GangStart,
    JobReply,
    ShardCensus,
    ShardRecover,
    TaskAssign,
    TaskRecall,
    TasksSettled,
    TaskStop,
)
from galenastall.protocol.log_access import LogAppender, StreamFollower
from galenastall.protocol.ownership_view import OwnershipView
from galenastall.protocol.task_rows import pack_tasks, unpack_reports
from galenastall.state.ids import HostId, RecordId
from galenastall.state.job_fold import JobState
from galenastall.state.job_records import JobEnded, ShardBarrier
from galenastall.state.job_shards import shard_ownable

IDLE_TICKS: Final = 8
"""Ticks between decisions of an idle shard; a new job wakes the driver at once."""


class ShardDriver:
    """One owned shard, from its activation until it is lost."""

    def __init__(
        self,
        *,
        core: JobShard,
        link: JobLink,
        ownership: OwnershipView,
        appender: LogAppender,
        follower: StreamFollower,
        clock: Clock,
        timings: JobTimings,
        events: EventSink,
        summaries: Callable[[], Mapping[HostId, CapacitySummary]],
        workers_expected: Callable[[], Collection[HostId] | None],
        may_have_lost_ends: Callable[[JobState], bool],
    ) -> None:
        """`workers_expected` returns all workers on which tasks may run, None if not known."""
        self.core = core
        self._link = link
        self._ownership = ownership
        self._appender = appender
        self._follower = follower
        self._clock = clock
        self._timings = timings
        self._events = events
        self._summaries = summaries
        self._workers_expected = workers_expected
        self._may_have_lost_ends = may_have_lost_ends
        self._scope = trio.CancelScope()
        self._wake = trio.Event()
        self._logging = trio.Event()
        self._stops: dict[HostId, dict[TaskAttempt, None]] = {}
        self._stopping: set[HostId] = set()
        self._census: Census | None = None
        self._needs_barrier = False
        self._is_at_barrier = False
        self._is_logging_intents = False
        self._queried_hosts: set[HostId] = set()

    def cancel(self) -> None:
        """Stop, since the shard has another owner."""
        self._scope.cancel()

    def wake(self) -> None:
        """Trigger a decision soon."""
        self._wake.set()

    @property
    def may_act(self) -> bool:
        """Whether this entry host may act on the shard now."""
        return self._ownership.may_act(shard_ownable(self.core.shard)) == self.core.epoch

    def valid_until(self) -> float:
        """Return until when an assignment that is sent now is valid."""
        return self._clock.wall() + self._timings.valid_s

    async def drain(self) -> None:
        """Wait until all known ends are logged or the log is down."""
        while self.core.ends and self._appender.is_log_up:
            self._logging.set()
            await trio.sleep(self._timings.window_s)

    async def run(self) -> None:
        """Decide and log until cancelled."""
        self._needs_barrier = self.core.needs_census
        with self._scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._log_ends)
                while True:
                    with trio.move_on_after(self._timings.tick_s * self._ticks_per_wait):
                        await self._wake.wait()
                        await trio.sleep(self._timings.window_s)
                    self._wake = trio.Event()
                    if self.may_act:
                        self._step(nursery)

    @property
    def _ticks_per_wait(self) -> int:
        """Number of ticks between decisions: a shard without jobs has no timers."""
        core = self.core
        is_busy = core.runs_by_id or core.needs_census or core.ends or core.intents or self._stops
        return 1 if is_busy else IDLE_TICKS

    def _step(self, nursery: trio.Nursery) -> None:
        self._take_census(nursery)
        decision = self.core.decide(
            self._clock.wall(), summaries=self._summaries(), limit=self._timings.decide_limit
        )
        self._record(decision)
        for batch in decision.assigns:
            nursery.start_soon(self._assign, batch)
        for stop in decision.stops:
            self._stops.setdefault(stop.host, {}).update(dict.fromkeys(stop.tasks))
        for recall in decision.recalls:
            message = TaskRecall(shard=self.core.shard, epoch=self.core.epoch, tasks=recall.tasks)
            nursery.start_soon(self._link.call, recall.host, message)
        for host in self._stops.keys() - self._ownership.roster():
            del self._stops[host]
        for host in self._stops.keys() - self._stopping:
            self._stopping.add(host)
            nursery.start_soon(self._stop, host)
        for call in decision.gang_calls:
            nursery.start_soon(self._call_gang, call)
        if self.core.ends:
            self._logging.set()
        if self.core.intents and not self._is_logging_intents:
            self._is_logging_intents = True
            nursery.start_soon(self._log_intents)

    async def _assign(self, batch: AssignBatch) -> None:
        """Send until there is an answer or the assignee left the roster; then a census decides.

        Tasks that were never sent are requeued at once. When only the next heartbeat marked them
        unconfirmed, they stayed assigned forever if the assignee had rejoined the roster by then.
        """
        is_repeat = False
        while batch.host in self._ownership.roster():
            if not self.may_act:
                await trio.sleep(self._timings.resend_s)
                continue
            message = TaskAssign(
                shard=self.core.shard,
                epoch=self.core.epoch,
                valid_until=self.valid_until(),
                groups=pack_tasks(batch.tasks),
            )
            result = await self._link.call(batch.host, message)
            answer = AssignAnswer.UNKNOWN
            match result:
                case Success(JobReply(ok=True, refused=refused)):
                    answer = AssignAnswer.ACCEPTED
                    self.core.on_tasks_refused(batch, refused, self._clock.wall())
                case Success(JobReply(ok=False)):
                    answer = AssignAnswer.REFUSED
                case Failure(error) if had_no_effect(error) and not is_repeat:
                    answer = AssignAnswer.REFUSED
            if answer is not AssignAnswer.UNKNOWN:
                self.core.on_assign_answer(batch, answer, self._clock.wall())
                self.wake()
                return
            is_repeat = True
            await trio.sleep(self._timings.resend_s)
        if is_repeat:
            self.core.on_assignee_gone(batch.host)
        else:
            self.core.on_assign_answer(batch, AssignAnswer.REFUSED, self._clock.wall())
        self.wake()

    async def _stop(self, host: HostId) -> None:
        try:
            while self._stops.get(host) and host in self._ownership.roster():
                tasks = self._stops.pop(host)
                message = TaskStop(shard=self.core.shard, epoch=self.core.epoch, tasks=tuple(tasks))
                if not isinstance(await self._link.call(host, message), Success):
                    self._stops.setdefault(host, {}).update(tasks)
                    await trio.sleep(self._timings.resend_s)
        finally:
            self._stopping.discard(host)

    async def _call_gang(self, call: GangCall) -> None:
        step = call.step
        shard, epoch = self.core.shard, self.core.epoch
        if step.kind is GangStepKind.RELEASE:
            self._link.send(step.host, GangRelease(shard=shard, key=step.key))
            return
        message: GangHold | GangStart = GangStart(shard=shard, epoch=epoch, key=step.key)
        if step.kind is GangStepKind.HOLD:
            message = GangHold(
                shard=shard,
                epoch=epoch,
                key=step.key,
                until=step.until,
                groups=pack_tasks(call.tasks),
            )
        result = await self._link.call(step.host, message)
        now = self._clock.wall()
        match result:
            case Success(JobReply(ok=ok)):
                is_ok = ok
            case Failure(_) if step.kind is GangStepKind.START:
                return  # No answer: the call is repeated.
            case _:
                is_ok = False
        if step.kind is GangStepKind.HOLD:
            self.core.on_hold_answer(call.job_id, step.host, step.key, is_held=is_ok, now=now)
        else:
            self.core.on_gang_start_answer(
                call.job_id, step.host, step.key, is_started=is_ok, now=now
            )
        self.wake()

    def _take_census(self, nursery: trio.Nursery) -> None:
        if not self.core.needs_census:
            self._census = None
            return
        if self._census is None or self._census.doubts != self.core.doubts:
            self._begin_census()
        census = self._census
        if census is None:
            return
        roster = self._ownership.roster()
        workers = self._workers_expected()
        if workers is None:
            return
        expected = set(workers)
        is_complete = census.is_complete(roster=roster, workers=expected, now=self._clock.wall())
        if is_complete:
            self._end_census(nursery)
            return
        for host in roster - self._queried_hosts:
            if host in census.missing_hosts(roster) or census.missing_workers(expected):
                self._queried_hosts.add(host)
                nursery.start_soon(self._query_host, host, census)

    def _begin_census(self) -> None:
        void_at = self._clock.wall() + self._timings.valid_s + self._timings.skew_s
        self._census = Census(doubts=self.core.doubts, queues_expire_at=void_at)
        self._events.record(
            "shard.census",
            subjects=(shard_ownable(self.core.shard),),
            cause="the state of some tasks is unconfirmed; querying all entry hosts",
            fields={"epoch": str(self.core.epoch)},
        )

    def _end_census(self, nursery: trio.Nursery) -> None:
        """Requeue tasks found on no host, once all ends logged before the census were read."""
        if self._needs_barrier:
            if not self._is_at_barrier:
                self._is_at_barrier = True
                nursery.start_soon(self._append_barrier, self._census)
            return
        count = self.core.resolve_unconfirmed(
            self._clock.wall(), may_have_lost_ends=self._may_have_lost_ends
        )
        self._census = None
        self._events.record(
            "shard.recovered",
            subjects=(shard_ownable(self.core.shard),),
            cause=f"{count} unconfirmed tasks were found on no host",
        )

    async def _append_barrier(self, census: Census | None) -> None:
        """Append a barrier record and wait until it is read back.

        A worker drops an end only after its record was read back, so an end that the census could
        no longer see precedes the barrier.
        """
        result = await self._appender.append(
            stream=self._follower.stream, record=ShardBarrier(shard=self.core.shard)
        )
        if isinstance(result, Failure):
            await trio.sleep(self._timings.log_retry_s)
        elif census is self._census:
            self._needs_barrier = False
        self._is_at_barrier = False
        self.wake()

    async def _query_host(self, host: HostId, census: Census) -> None:
        message = ShardRecover(
            shard=self.core.shard, epoch=self.core.epoch, valid_until=self.valid_until()
        )
        result = await self._link.call(host, message)
        match result:
            case Success(ShardCensus(is_current=True) as answer):
                now = self._clock.wall()
                reports = tuple(unpack_reports(answer.reports))
                self.core.on_reports(host, reports, now)
                census.on_answer(HostCensus(host_id=host, reports=reports, workers=answer.workers))
        await trio.sleep(self._timings.resend_s)
        self._queried_hosts.discard(host)
        self.wake()

    async def _log_ends(self) -> None:
        while True:
            await self._logging.wait()
            self._logging = trio.Event()
            record, jobs = self.core.ends.take(self._clock.wall())
            if record is not None:
                result = await self._appender.append(stream=self._follower.stream, record=record)
                if isinstance(result, Failure):
                    self.core.ends.put_back(record)
                    self.core.ends.put_back_jobs(jobs)
                    await trio.sleep(self._timings.log_retry_s)
                    self._logging.set()
                    continue
                self._notify_settled(self.core.ends.logged(record))
            async with trio.open_nursery() as nursery:
                for job in jobs:
                    nursery.start_soon(self._log_job_end, job)

    async def _log_intents(self) -> None:
        """Read back the record of first assignments before the tasks are assigned."""
        record = self.core.intents.take()
        if record is not None and self.may_act:
            result = await self._appender.append(stream=self._follower.stream, record=record)
            is_logged = isinstance(result, Success)
            if not is_logged:
                await trio.sleep(self._timings.log_retry_s)
            self.core.on_given(record, is_logged=is_logged)
        elif record is not None:
            self.core.on_given(record, is_logged=False)
        self._is_logging_intents = False
        self.wake()

    async def _log_job_end(self, job: JobEnded) -> None:
        result = await self._appender.append(
            stream=self._follower.stream,
            record=job,
            record_id=RecordId(f"job.ended/{job.job_id}"),
        )
        if isinstance(result, Failure):
            self.core.ends.put_back_jobs((job,))
            await trio.sleep(self._timings.log_retry_s)
            self._logging.set()

    def _notify_settled(self, settled: Iterable[ReportSource]) -> None:
        attempts_by_host: dict[HostId, list[TaskAttempt]] = {}
        for each in settled:
            attempt = TaskAttempt(task_id=each.task_id, attempt=each.attempt)
            attempts_by_host.setdefault(each.host, []).append(attempt)
        for host, attempts in attempts_by_host.items():
            self._link.send(host, TasksSettled(shard=self.core.shard, tasks=tuple(attempts)))

    def _record(self, decision: ShardDecision) -> None:
        for note in decision.notes:
            self._events.record(
                f"job.{note.step}", peer=note.peer, subjects=note.subjects, cause=note.cause
            )
