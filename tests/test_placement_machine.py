"""Workers are never overcommitted and no task runs twice, under any events and faults."""

from collections.abc import Callable

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from returns.result import Failure

from galenastall.coordination.placement.placement import PlacementCore
from galenastall.coordination.placement.placement_commands import (
    CommandAnswer,
    CommandKind,
    Decision,
    HoldId,
    StartAnswer,
    StartTask,
    WorkerState,
)
from galenastall.coordination.placement.placement_settings import PlacementSettings
from galenastall.state.ids import Epoch, HostId, TaskId
from galenastall.state.resources import NOTHING, Resources
from galenastall.state.work import FinishedTask, RunningTask, TaskSpec, Urgency, Workload
from placement_builders import FakeListing, listed, make_task, make_worker

SETTLE_S = 15.0
WORKERS = tuple(HostId(f"w{number}") for number in range(3))
workers = st.sampled_from(WORKERS)
tasks = st.builds(
    make_task,
    st.integers(0, 14).map(lambda number: f"job{number % 5}/{number}"),
    cores=st.integers(1, 4000),
    memory=st.integers(1, 4096),
    urgency=st.sampled_from(list(Urgency)),
    workload=st.sampled_from([Workload.BATCH, Workload.SERVICE]),
    checkpointable=st.booleans(),
    idempotent=st.booleans(),
    team=st.sampled_from(["a", "b"]),
    run_s=st.sampled_from([None, 10.0]),
    kind=st.sampled_from(["", "pack"]),
)


class PlacementMachine(RuleBasedStateMachine):
    """The core against workers that execute every start, whether it fits or not."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.core = PlacementCore(settings=PlacementSettings(start_settle_s=SETTLE_S))
        self.running_by_worker: dict[HostId, dict[TaskId, RunningTask]] = {w: {} for w in WORKERS}
        self.delayed: list[tuple[float, StartTask]] = []
        self.stops: list[tuple[HostId, TaskId, CommandKind]] = []
        self.finished_by_worker: dict[HostId, list[FinishedTask]] = {w: [] for w in WORKERS}
        self.holds: list[HoldId] = []
        self.owned: set[HostId] = set()
        self.silent: set[HostId] = set()
        self.epoch = 0
        for worker in WORKERS:
            self.take_over(worker)

    def take_over(self, worker: HostId) -> None:
        self.epoch += 1
        running = tuple(self.running_by_worker[worker].values())
        self.core.add_worker(make_worker(worker), Epoch(self.epoch), running, self.now)
        self.owned.add(worker)

    def run_task(self, start: StartTask) -> None:
        entry = listed(start.task, reserved=start.reserved)
        self.running_by_worker[start.worker_id][start.task.task_id] = entry

    def carry_out(self, decision: Decision, answer: Callable[[StartTask], str]) -> None:
        for batch in decision.by_worker:
            assert batch.worker_id in self.owned
            assert not batch.starts or batch.worker_id not in self.silent
            for stop in batch.stops:
                self.stops.append((batch.worker_id, stop.task_id, CommandKind.STOP))
            for checkpoint in batch.checkpoints:
                self.stops.append((batch.worker_id, checkpoint.task_id, CommandKind.CHECKPOINT))
            for start in batch.starts:
                self.answer_start(start, answer(start))

    def answer_start(self, start: StartTask, answer: str) -> None:
        task_id, worker_id = start.task.task_id, start.worker_id
        if answer == "refused":
            self.core.on_start_answer(task_id, worker_id, StartAnswer.REFUSED, self.now)
        elif answer == "started":
            self.run_task(start)
            self.core.on_start_answer(task_id, worker_id, StartAnswer.STARTED, self.now)
        else:
            if answer == "lost after":
                self.run_task(start)
            elif answer == "delayed":
                self.delayed.append((self.now + SETTLE_S, start))
            self.core.on_start_answer(task_id, worker_id, StartAnswer.UNKNOWN, self.now)

    @rule(batch=st.lists(tasks, max_size=6))
    def enqueue(self, batch: list[TaskSpec]) -> None:
        self.core.enqueue(batch, self.now)

    @rule(
        limit=st.integers(0, 8),
        answers=st.lists(
            st.sampled_from(["started", "started", "refused", "lost", "lost after", "delayed"]),
            min_size=8,
            max_size=8,
        ),
    )
    def decide(self, limit: int, answers: list[str]) -> None:
        decision = self.core.decide(self.now, limit)
        remaining = iter(answers)
        self.carry_out(decision, lambda _: next(remaining))

    @rule(seconds=st.sampled_from([0.1, 1.0, 6.0, 20.0, 700.0]))
    def wait(self, seconds: float) -> None:
        self.now += seconds
        self.delayed = [entry for entry in self.delayed if entry[0] > self.now]

    @precondition(lambda self: self.delayed)
    @rule(data=st.data())
    def deliver_late(self, data: st.DataObject) -> None:
        entry = data.draw(st.sampled_from(self.delayed))
        self.delayed.remove(entry)
        self.run_task(entry[1])

    @precondition(lambda self: self.stops)
    @rule(answer=st.sampled_from([CommandAnswer.DONE, CommandAnswer.REFUSED, "lost", "done lost"]))
    def answer_stop(self, answer: CommandAnswer | str) -> None:
        worker, task_id, kind = self.stops.pop(0)
        known = answer if isinstance(answer, CommandAnswer) else CommandAnswer.UNKNOWN
        if worker not in self.owned:
            return
        if answer in (CommandAnswer.DONE, "done lost"):
            if task_id not in self.running_by_worker[worker]:
                return
            del self.running_by_worker[worker][task_id]
        self.core.on_command_answer(task_id, worker, kind, known, self.now)

    @rule(worker=workers, ok=st.booleans(), is_reported=st.booleans(), data=st.data())
    def finish(self, worker: HostId, ok: bool, is_reported: bool, data: st.DataObject) -> None:
        here = self.running_by_worker[worker]
        if not here:
            return
        entry = here.pop(data.draw(st.sampled_from(sorted(here))))
        peak = data.draw(st.sampled_from([NOTHING, Resources(cores_milli=500, memory_mb=9000)]))
        end = FinishedTask(
            task_id=entry.task.task_id,
            attempt=entry.task.attempt,
            ok=ok,
            peak=peak,
            run_s=5.0,
        )
        self.finished_by_worker[worker].append(end)
        if is_reported and worker in self.owned:
            self.core.on_finished(worker, [end], self.now)

    @rule(worker=workers)
    def list_worker(self, worker: HostId) -> None:
        if worker not in self.owned or worker in self.silent:
            return
        listing = FakeListing(
            running=tuple(self.running_by_worker[worker].values()),
            finished=tuple(self.finished_by_worker[worker]),
        )
        self.core.on_listing(worker, listing, self.now)

    @rule(worker=workers, share=st.floats(0.0, 1.2))
    def report_usage(self, worker: HostId, share: float) -> None:
        used = Resources(memory_mb=int(4096 * share))
        by_task = dict.fromkeys(self.running_by_worker[worker], used)
        self.core.on_usage(worker, used, by_task, self.now)

    @rule(numbers=st.lists(st.integers(0, 14), max_size=5))
    def cancel(self, numbers: list[int]) -> None:
        ids = [TaskId(f"job{number % 5}/{number}") for number in numbers]
        self.core.cancel(ids, self.now)

    @rule(worker=workers, state=st.sampled_from(list(WorkerState)))
    def change_state(self, worker: HostId, state: WorkerState) -> None:
        self.core.set_worker_state(worker, state)
        if state is WorkerState.UNRESPONSIVE and worker in self.owned:
            self.silent.add(worker)
        else:
            self.silent.discard(worker)

    @rule(worker=workers)
    def lose_and_take_over(self, worker: HostId) -> None:
        """Lose a worker; the next owner waits for the settle time, lists, and adopts."""
        self.core.remove_worker(worker)
        self.owned.discard(worker)
        self.silent.discard(worker)
        self.now += SETTLE_S
        self.delayed = [entry for entry in self.delayed if entry[0] > self.now]
        self.take_over(worker)

    @rule(size=st.integers(1, 4), cores=st.integers(500, 3000), number=st.integers(0, 2))
    def hold_gang(self, size: int, cores: int, number: int) -> None:
        gang = [
            make_task(f"gang{number}/{index}", cores=cores, workload=Workload.GANG)
            for index in range(size)
        ]
        before = [self.core.placed(task.task_id) for task in gang]
        held = self.core.hold(f"gang{number}", gang, self.now, self.now + 10.0)
        if isinstance(held, Failure):
            assert [self.core.placed(task.task_id) for task in gang] == before
            return
        hold = held.unwrap()
        assert set(hold.worker_by_task) == {task.task_id for task in gang}
        self.holds.append(hold.hold_id)

    @precondition(lambda self: self.holds)
    @rule(is_started=st.booleans())
    def end_hold(self, is_started: bool) -> None:
        hold_id = self.holds.pop()
        if not is_started:
            self.core.release_hold(hold_id)
            return
        begun = self.core.start_hold(hold_id, self.now)
        if not isinstance(begun, Failure):
            self.carry_out(begun.unwrap(), lambda _: "started")

    @invariant()
    def never_over_capacity(self) -> None:
        for worker, here in self.running_by_worker.items():
            total = sum((entry.reserved for entry in here.values()), NOTHING)
            assert total.fits_in(make_worker(worker).capacity), (worker, here)

    @invariant()
    def never_in_two_places(self) -> None:
        seen = [task_id for here in self.running_by_worker.values() for task_id in here]
        assert len(seen) == len(set(seen))

    @invariant()
    def tables_agree(self) -> None:
        """Teams are charged what the ledgers hold, and tasks are in their own worker's ledger."""
        reserved = NOTHING
        for worker in self.owned:
            for placed in self.core.on_worker(worker):
                reserved = reserved + placed.reserved
                assert placed.worker_id == worker
        charged = sum(self.core.reserved_by_team().values(), NOTHING)
        assert charged == reserved


TestPlacementMachine = PlacementMachine.TestCase
