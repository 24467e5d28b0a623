"""Whose turn it is: work that could run is looked at, however much ahead of it can't."""

from collections import Counter
from dataclasses import replace

import pytest

from cell.advised import ADVISED, FULL, AdvisedHarness
from cell.rig import QUEUE, Harness, make_info, make_job, make_step
from galenastall.coordination.cell.commands import AdviceRequest, StartOrder
from galenastall.coordination.cell.listings import ListedEnd, ListedRun
from galenastall.coordination.cell.rotation import Rotation
from galenastall.state.cell.jobs import Queue, Step, StepKey
from galenastall.state.cell.phases import RunEnd

LAST = "f" * 16
"""The job that could run; ids order what is equally pressing."""
CALL_S = 1.1
TICK_S = 0.1
MEAN_RUN_S = 2.0
WIDE = make_step(3, cores=4000, is_gang=True)
LARGE = make_step(1, cores=4000)
SMALL = make_step(1, cores=300)


def job_id(number: int) -> str:
    return f"a{number:015x}"


class QueueHarness(AdvisedHarness):
    """Plays on, with an advisor that takes its time and approves by job."""

    def __init__(self, *, executors: int) -> None:
        super().__init__(executors=executors, hosts=34)
        self.approved_by_job: dict[str, set[str]] = {}
        """Where a job may run; one that is not named may run anywhere."""
        self.started_jobs: set[str] = set()
        self.asked_jobs: list[str] = []
        self._under_way: list[tuple[float, AdviceRequest]] = []

    def approve(self, job: str, *numbers: int) -> None:
        self.approved_by_job[job] = {f"e{number:03}" for number in numbers}

    def run_for(self, seconds: float) -> None:
        """Decide ten times a second; answers come after a call's time."""
        for _ in range(round(seconds / TICK_S)):
            self.advance(TICK_S)
            self._answer_due()
            orders = self.step()
            self.started_jobs |= {order.task.job for order in orders}
            self.confirm_starts(orders)
            asks = self.core.take_advice_requests()
            self.asked_jobs += [request.step.job for request in asks]
            self._under_way += [(self.now + CALL_S, request) for request in asks]

    def _answer_due(self) -> None:
        due = [request for at, request in self._under_way if at <= self.now]
        self._under_way = [(at, request) for at, request in self._under_way if at > self.now]
        for request in due:
            self.answer(request, self.approved_by_job.get(request.step.job))

    def occupy(self, *numbers: int, estimate_s: float, is_long_running: bool = False) -> None:
        """Fill some executors; each task starts where only it has the room."""
        step = make_step(
            1, cores=FULL, estimate_s=estimate_s, is_long_running=is_long_running, label="a"
        )
        wanted = {f"e{number:03}" for number in numbers}
        infos = [i if i.executor_id in wanted else replace(i, labels=()) for i in self.infos]
        self.update_fleet(*infos)
        for number in numbers:
            self.submit(make_job(step, job_id=f"{number:016x}"))
            self.confirm_starts(self.step())
        self.update_fleet(*self.infos)

    def empty(self, *numbers: int) -> None:
        """End all runs on some executors."""
        for number in numbers:
            self.core.cancel(f"{number:016x}", wall=self.wall)
        self.commit()
        for number in numbers:
            self.listing(f"e{number:03}")


class TestGangsAhead:
    """Gangs that could not start were counted as planned, and none was left for those behind.

    A gang of 22 tasks lost its runs, and was not started again for 90 s though most of the room was
    free. Its tickets had run out, and they are renewed for a planned start only. A decision plans
    for 12 gangs; here these are 14 that wait for room that they will never have, or not for long.
    """

    AHEAD = 14

    def run_behind(self, harness: QueueHarness) -> None:
        """Hand in a gang behind the others; all of its tickets run out before there is room."""
        harness.approve(LAST, 3, 4, 5)
        for number in range(self.AHEAD):
            harness.hand_in(WIDE, job_id=job_id(number))
        harness.hand_in(WIDE, job_id=LAST)
        harness.run_for(6.0)
        assert harness.started_jobs == set()
        harness.empty(3, 4, 5)
        harness.run_for(6.0)

    def test_gangs_that_are_approved_on_too_few_executors(self) -> None:
        harness = QueueHarness(executors=6)
        harness.occupy(3, 4, 5, estimate_s=10.0)
        for number in range(self.AHEAD):
            harness.approve(job_id(number), 0, 1)
        self.run_behind(harness)
        assert harness.started_jobs == {LAST}

    def test_gangs_whose_room_is_taken_by_runs_without_an_end(self) -> None:
        harness = QueueHarness(executors=6)
        harness.occupy(0, 1, 2, estimate_s=0.0, is_long_running=True)
        harness.occupy(3, 4, 5, estimate_s=10.0)
        for number in range(self.AHEAD):
            harness.approve(job_id(number), 0, 1, 2)
        self.run_behind(harness)
        assert harness.started_jobs == {LAST}

    def test_gangs_whose_room_comes_free_much_later(self) -> None:
        harness = QueueHarness(executors=6 + 3 * self.AHEAD)
        harness.occupy(3, 4, 5, estimate_s=10.0)
        for number in range(self.AHEAD):
            own = range(6 + 3 * number, 9 + 3 * number)
            harness.occupy(*own, estimate_s=29.0)
            harness.approve(job_id(number), *own)
        self.run_behind(harness)
        assert harness.started_jobs == {LAST}

    def test_a_gang_that_fits_at_last_is_planned_again(self) -> None:
        """Having found nothing for long does not keep a gang from room that comes."""
        harness = QueueHarness(executors=6)
        harness.occupy(0, 1, 2, estimate_s=0.0, is_long_running=True)
        for number in range(self.AHEAD):
            harness.approve(job_id(number), 0, 1, 2)
            harness.hand_in(WIDE, job_id=job_id(number))
        harness.run_for(6.0)
        harness.empty(0, 1, 2)
        harness.run_for(4.0)
        assert len(harness.started_jobs) == 1

    def test_advice_is_not_renewed_for_gangs_that_can_not_start(self) -> None:
        harness = QueueHarness(executors=6)
        for number in range(self.AHEAD):
            harness.approve(job_id(number), 0, 1)
            harness.hand_in(WIDE, job_id=job_id(number))
        harness.run_for(8.0)
        assert sorted(harness.asked_jobs) == [job_id(number) for number in range(self.AHEAD)]


class TestStepsAhead:
    """Steps that nothing could be done for took up all the places that a decision looks at.

    A decision looks at 120 waiting steps. Those behind them were not looked at before some ahead
    had gone, and what has no executor never goes.
    """

    AHEAD = 130

    def run_behind(self, harness: QueueHarness, step: Step, queue: Queue = QUEUE) -> None:
        for number in range(self.AHEAD):
            harness.submit(make_job(step, job_id=job_id(number), queue=queue))
        harness.submit(make_job(replace(SMALL, estimate_s=20.0), job_id=LAST))
        harness.run_for(3.0)

    def test_steps_with_a_label_that_no_executor_has(self) -> None:
        harness = QueueHarness(executors=2)
        self.run_behind(harness, make_step(1, label="gone"))
        assert harness.started_jobs == {LAST}

    def test_steps_of_a_service_without_executors(self) -> None:
        harness = QueueHarness(executors=2)
        elsewhere = replace(QUEUE, name="elsewhere", service="gone")
        harness.core.set_queues([QUEUE, elsewhere])
        self.run_behind(harness, SMALL, elsewhere)
        assert harness.started_jobs == {LAST}

    def test_steps_that_are_approved_nowhere(self) -> None:
        harness = QueueHarness(executors=2)
        for number in range(self.AHEAD):
            harness.approve(job_id(number))
        self.run_behind(harness, SMALL, ADVISED)
        assert harness.started_jobs == {LAST}

    def test_steps_larger_than_any_executor(self) -> None:
        harness = QueueHarness(executors=2)
        self.run_behind(harness, make_step(1, cores=9000))
        assert harness.started_jobs == {LAST}

    def test_steps_that_wait_for_whole_executors(self) -> None:
        """Room is kept for them on some executors; what is behind them fits beside the others."""
        harness = QueueHarness(executors=10)
        harness.occupy(*range(10), estimate_s=0.0, is_long_running=True)
        self.run_behind(harness, LARGE)
        assert harness.started_jobs == {LAST}

    def test_each_of_many_steps_is_considered_in_rotation(self) -> None:
        """Of 400 steps that wait for their advice, each is asked about."""
        harness = QueueHarness(executors=2)
        harness.core.set_advice_calls_at_once(1_000)
        for number in range(400):
            harness.approve(job_id(number))
            harness.hand_in(SMALL, job_id=job_id(number))
        harness.run_for(4.0)
        assert len(set(harness.asked_jobs)) == 400

    def test_an_answer_is_used_before_its_tickets_expire(self) -> None:
        """With 1,000 ahead a turn comes each 4.5 s, and tickets last for 2.5 s."""
        harness = QueueHarness(executors=2)
        harness.core.set_advice_calls_at_once(2_000)
        ahead, last = (replace(SMALL, estimate_s=seconds) for seconds in (20.0, 30.0))
        for number in range(1_000):
            harness.approve(job_id(number))
            harness.hand_in(ahead, job_id=job_id(number))
        harness.submit(make_job(last, job_id=LAST, queue=ADVISED))
        harness.run_for(12.0)
        assert harness.started_jobs == {LAST}


class TestGangsWiderThanACall:
    """A call names 100 executors at most, and each renewal named the same 100 of a wider gang.

    The tickets of the others had run out, so that such a gang never started once it had waited.
    """

    def test_the_next_call_names_the_other_executors(self) -> None:
        harness = QueueHarness(executors=112)
        harness.occupy(*range(112), estimate_s=10.0)
        harness.hand_in(make_step(110, cores=4000, is_gang=True, estimate_s=20.0), job_id=LAST)
        harness.run_for(6.0)
        harness.empty(*range(112))
        harness.run_for(6.0)
        assert harness.started_jobs == {LAST}


class StreamHarness(Harness):
    """Small tasks come in a steady stream and end after 1 to 3 s."""

    def __init__(self, *, executors: int, load: float) -> None:
        super().__init__(*(make_info(f"e{number:03}") for number in range(executors)))
        self.started_jobs: set[str] = set()
        self._coming_a_tick = load * executors * 4 / MEAN_RUN_S * TICK_S
        self._due = 0.0
        self._came = 0
        self._runs: list[tuple[float, StartOrder]] = []
        self._positions = Counter[str]()

    def run_for(self, seconds: float) -> None:
        for _ in range(round(seconds / TICK_S)):
            self.now += TICK_S
            self._end_runs()
            self._due += self._coming_a_tick
            while self._due >= 1.0:
                self._due -= 1.0
                self._came += 1
                small = make_step(1, cores=1000, estimate_s=MEAN_RUN_S)
                self.submit(make_job(small, job_id=job_id(self._came), submitted_at=self.wall))
            orders = self.step()
            self.confirm_starts(orders)
            self.started_jobs |= {order.task.job for order in orders}
            self._runs += [(self.now + self._run_s(order), order) for order in orders]

    def _run_s(self, order: StartOrder) -> float:
        return MEAN_RUN_S + (int(order.task.job, 16) * 13 % 21 - 10) / 10

    def _end_runs(self) -> None:
        ended = [order for at, order in self._runs if at <= self.now]
        self._runs = [(at, order) for at, order in self._runs if at > self.now]
        for info in self.infos:
            own = [order for order in ended if order.executor_id == info.executor_id]
            gone = {order.task for order in own}
            ledger = self.core.executors_by_id[info.executor_id].runs_by_task
            running = tuple(ListedRun(task=t, run=r) for t, r in ledger.items() if t not in gone)
            self.listing(info.executor_id, running, *(self._ended(order) for order in own))

    def _ended(self, order: StartOrder) -> ListedEnd:
        self._positions[order.executor_id] += 1
        position = self._positions[order.executor_id]
        return ListedEnd(position=position, task=order.task, run=order.run, end=RunEnd.DONE)


class TestLateGangs:
    """A wide gang that was past earning anything never started beside a stream of small tasks.

    It goes last and kept no room, and with 90% of the cores in use the room that came free was
    never enough for all of it at once: nothing in 110 s, however long the stream goes on.
    """

    def late(self, harness: StreamHarness, step: Step, job: str = LAST) -> None:
        """Hand in a job that earns nothing any more."""
        harness.submit(make_job(step, job_id=job, submitted_at=harness.wall - 60.0))

    @pytest.mark.parametrize("load", [0.8, 0.95])
    def test_a_late_gang_starts_despite_a_stream_of_small_tasks(self, load: float) -> None:
        harness = StreamHarness(executors=16, load=load)
        harness.run_for(5.0)
        self.late(harness, make_step(4, cores=4000, is_gang=True, estimate_s=1.0))
        harness.run_for(10.0)
        assert LAST in harness.started_jobs

    def test_a_late_gang_that_can_not_start_does_not_block_another(self) -> None:
        harness = StreamHarness(executors=16, load=0.95)
        harness.run_for(5.0)
        self.late(harness, make_step(17, cores=4000, is_gang=True, estimate_s=1.0), "e" * 16)
        self.late(harness, make_step(4, cores=4000, is_gang=True, estimate_s=1.0))
        harness.run_for(10.0)
        assert LAST in harness.started_jobs

    def test_a_gang_that_is_barely_worthless_goes_after_other_work(self) -> None:
        harness = StreamHarness(executors=16, load=0.95)
        harness.run_for(5.0)
        gang = make_step(4, cores=4000, is_gang=True, estimate_s=1.0)
        # Past three times its objective of 3 s by one second.
        harness.submit(make_job(gang, job_id=LAST, submitted_at=harness.wall - 10.0))
        harness.run_for(5.0)
        assert LAST not in harness.started_jobs


class TestRotation:
    def test_a_stream_of_new_keys_does_not_starve_waiting_ones(self) -> None:
        """Each decision brings as many new ones as it picks, ahead of all others in the line."""
        turns = Rotation(batch_size=4)
        waiting = [StepKey(job_id(number), 0, 0) for number in range(40)]
        picked: set[StepKey] = set()
        for number in range(10):
            new = [StepKey(f"b{number:03}{index}", 0, 0) for index in range(4)]
            picked |= turns.pick([*new, *waiting])
        assert picked >= set(waiting[:36])
        picked |= turns.pick(waiting)
        assert picked >= set(waiting)
