"""Rotation: work that could run is considered, however much blocked work is ahead of it."""

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
"""The job that could run; job ids break ties, so it comes last."""
CALL_S = 1.1
TICK_S = 0.1
MEAN_RUN_S = 2.0
WIDE = make_step(3, cores=4000, is_gang=True)
LARGE = make_step(1, cores=4000)
SMALL = make_step(1, cores=300)


def job_id(number: int) -> str:
    return f"a{number:015x}"


class QueueHarness(AdvisedHarness):
    """Simulates time with an advisor that answers with a delay and approves by job."""

    def __init__(self, *, executors: int) -> None:
        super().__init__(executors=executors, hosts=34)
        self.approved_by_job: dict[str, set[str]] = {}
        """Executors approved for a job; a job that is missing may run anywhere."""
        self.started_jobs: set[str] = set()
        self.asked_jobs: list[str] = []
        self._under_way: list[tuple[float, AdviceRequest]] = []

    def approve(self, job: str, *numbers: int) -> None:
        self.approved_by_job[job] = {f"e{number:03}" for number in numbers}

    def run_for(self, seconds: float) -> None:
        """Decide ten times a second; each answer comes after the duration of a call."""
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
        """Fill some executors: each task starts on the only labelled executor with capacity."""
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
    """Gangs that could not start counted as planned, and those behind them were never planned.

    A gang of 22 tasks lost its runs and was not restarted for 90 s, though most of the capacity was
    free: its tickets had expired, and tickets are renewed only for a planned start. A decision
    plans 12 gangs; here 14 gangs wait for capacity that they never get, or not for a long time.
    """

    AHEAD = 14

    def run_behind(self, harness: QueueHarness) -> None:
        """Submit a gang behind the others; all of its tickets expire before there is capacity."""
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
        """Many failed plans do not prevent a gang from using capacity that becomes free."""
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
    """Steps that could not start took up all the slots of a decision.

    A decision considers 120 waiting steps. Steps behind them were not considered before some of
    those ahead had started, and a step without a suitable executor never starts.
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
        """Capacity is reserved for them on some executors; steps behind them fit on the others."""
        harness = QueueHarness(executors=10)
        harness.occupy(*range(10), estimate_s=0.0, is_long_running=True)
        self.run_behind(harness, LARGE)
        assert harness.started_jobs == {LAST}

    def test_each_of_many_steps_is_considered_in_rotation(self) -> None:
        """Advice is requested for each of 400 steps that wait for it."""
        harness = QueueHarness(executors=2)
        harness.core.set_advice_calls_at_once(1_000)
        for number in range(400):
            harness.approve(job_id(number))
            harness.hand_in(SMALL, job_id=job_id(number))
        harness.run_for(4.0)
        assert len(set(harness.asked_jobs)) == 400

    def test_an_answer_is_used_before_its_tickets_expire(self) -> None:
        """With 1,000 steps ahead a rotation takes 4.5 s, and tickets are valid for 2.5 s."""
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
    """A call names at most 100 executors, and each renewal named the same 100 of a wider gang.

    The tickets of the other executors had expired, so such a gang never started once it had waited.
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
    """Simulates a steady stream of small tasks that end after 1 to 3 s."""

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
    """A wide gang that had become worthless never started while small tasks kept arriving.

    It goes last and reserved nothing, and with 90% of the cores in use the free capacity was never
    enough for all of it at once: it did not start in 110 s, however long the stream went on.
    """

    def late(self, harness: StreamHarness, step: Step, job: str = LAST) -> None:
        """Submit a job that has no value left."""
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
        """Each call adds as many new keys as it picks, ahead of all others in the queue."""
        turns = Rotation(batch_size=4)
        waiting = [StepKey(job_id(number), 0, 0) for number in range(40)]
        picked: set[StepKey] = set()
        for number in range(10):
            new = [StepKey(f"b{number:03}{index}", 0, 0) for index in range(4)]
            picked |= turns.pick([*new, *waiting])
        assert picked >= set(waiting[:36])
        picked |= turns.pick(waiting)
        assert picked >= set(waiting)
