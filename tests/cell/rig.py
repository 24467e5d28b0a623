"""Test harness: a leader's core with an in-memory store, and builders for its input."""

from dataclasses import replace

from galenastall.coordination.cell.commands import StartOrder, StopOrder
from galenastall.coordination.cell.executors import ExecutorInfo
from galenastall.coordination.cell.listings import ListedEnd, ListedRun, Listing
from galenastall.coordination.cell.orders import StartOutcome
from galenastall.coordination.cell.scheduler import CellScheduler
from galenastall.coordination.cell.timings import CellTimings
from galenastall.state.cell.jobs import CellJob, Queue, Step, TaskKey
from galenastall.state.cell.phases import JobPhase, RunEnd
from galenastall.state.cell.rows import decode_rows
from galenastall.state.resources import Resources

TIMINGS = CellTimings()
JOB = "0123456789abcdef"
QUEUE = Queue(name="q", service="s", max_attempts=2, stretch=2.0, target_s=1.0)
WALL = 1_000.0


def make_info(executor_id: str, *, host: str = "", cores: int = 4000) -> ExecutorInfo:
    return ExecutorInfo(
        executor_id=executor_id,
        host=host or executor_id,
        address=executor_id,
        data_centre="dc",
        service="s",
        capacity=Resources(cores_milli=cores, memory_mb=8000),
        labels=("a",),
        rack="r1",
    )


def make_step(count: int = 1, *, cores: int = 1000, **fields: object) -> Step:
    need = Resources(cores_milli=cores, memory_mb=100)
    return replace(Step(count=count, need=need, estimate_s=1.0), **fields)  # type: ignore[arg-type]


def make_job(*steps: Step, job_id: str = JOB, queue: Queue = QUEUE, **fields: object) -> CellJob:
    job = CellJob(job_id=job_id, queue=queue, payload="p", steps=steps, submitted_at=WALL)
    return replace(job, **fields)  # type: ignore[arg-type]


class Harness:
    """A leader's core, with a store that keeps what it writes."""

    def __init__(
        self,
        *infos: ExecutorInfo,
        rows: dict[str, bytes] | None = None,
        has_executor_list: bool = True,
    ) -> None:
        self.now = 100.0
        self.core = CellScheduler(timings=TIMINGS, fenced_at=self.now)
        self.rows = dict(rows or {})
        self.core.set_queues([QUEUE])
        self.core.restore(decode_rows(self.rows), wall=self.wall)
        self.infos = infos
        if has_executor_list:
            self.update_fleet(*infos)
        for info in infos:
            self.listing(info.executor_id)

    @property
    def wall(self) -> float:
        return WALL + self.now - 100.0

    def update_fleet(self, *infos: ExecutorInfo) -> None:
        self.core.on_fleet(infos, now=self.now)

    def listing(
        self, executor_id: str, running: tuple[ListedRun, ...] = (), *ended: ListedEnd
    ) -> None:
        seq = self.core.next_seq()
        executor = self.core.executors_by_id[executor_id]
        executor.clock.deadline_ms(confirmed_at=self.now, now=self.now)
        listing = Listing(clock_ms=int(self.now * 1000), running=running, ended=ended)
        self.core.on_listing(executor_id, listing, asked_seq=seq, now=self.now, wall=self.wall)

    def step(self) -> list[StartOrder]:
        """Decide, make the changes durable, and return the start orders that are sent."""
        self.core.decide(now=self.now, wall=self.wall)
        return self.commit()

    def shown(self) -> JobPhase:
        """Return the job phase that callers see."""
        return self.core.jobs_by_id[JOB].shown_phase

    def stops(self) -> list[StopOrder]:
        """Decide, and return the stop orders that are sent now."""
        self.core.decide(now=self.now, wall=self.wall)
        return self.core.take_stops()

    def commit(self) -> list[StartOrder]:
        batch = self.core.take_batch()
        for key, value in batch.values_by_key.items():
            if value:
                self.rows[key] = value
            else:
                self.rows.pop(key, None)
        return self.core.commit(batch, wall=self.wall)

    def runs_on(self, executor_id: str) -> set[TaskKey]:
        """Return the tasks with a run in an executor's ledger."""
        return set(self.core.executors_by_id[executor_id].runs_by_task)

    def submit(self, job: CellJob) -> None:
        self.core.submit(job, wall=self.wall)
        self.commit()

    def confirm_starts(self, orders: list[StartOrder]) -> None:
        for order in orders:
            self.core.on_start(order, StartOutcome.STARTED, now=self.now, wall=self.wall)

    def end(self, order: StartOrder, how: RunEnd, position: int = 1, saved: str = "") -> None:
        end = ListedEnd(position=position, task=order.task, run=order.run, end=how, saved=saved)
        there = self.core.executors_by_id[order.executor_id].runs_by_task
        running = tuple(ListedRun(task=t, run=r) for t, r in there.items() if t != order.task)
        self.listing(order.executor_id, running, end)
