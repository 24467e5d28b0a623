"""Whose turn it is: work that could run is looked at, however much ahead of it can't."""

from collections import Counter
from dataclasses import replace

import pytest

from cell.advised import ADVISED, FULL, AdvisedRig
from cell.rig import QUEUE, Rig, make_info, make_job, make_step
from galenastall.coordination.cell.commands import AskAdvice, StartOrder
from galenastall.coordination.cell.listings import ListedEnd, ListedRun
from galenastall.coordination.cell.turns import Turns
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


class LineRig(AdvisedRig):
    """Plays on, with an advisor that takes its time and approves by job."""

    def __init__(self, *, executors: int) -> None:
        super().__init__(executors=executors, hosts=34)
        self.approved_by_job: dict[str, set[str]] = {}
        """Where a job may run; one that is not named may run anywhere."""
        self.started_jobs: set[str] = set()
        self.asked_jobs: list[str] = []
        self._under_way: list[tuple[float, AskAdvice]] = []

    def approve(self, job: str, *numbers: int) -> None:
        self.approved_by_job[job] = {f"e{number:03}" for number in numbers}

    def play(self, seconds: float) -> None:
        """Decide ten times a second; answers come after a call's time."""
        for _ in range(round(seconds / TICK_S)):
            self.pass_time(TICK_S)
            self._answer_due()
            orders = self.step()
            self.started_jobs |= {order.task.job for order in orders}
            self.run_all(orders)
            asks = self.core.take_asks()
            self.asked_jobs += [ask.step.job for ask in asks]
            self._under_way += [(self.now + CALL_S, ask) for ask in asks]

    def _answer_due(self) -> None:
        due = [ask for at, ask in self._under_way if at <= self.now]
        self._under_way = [(at, ask) for at, ask in self._under_way if at > self.now]
        for ask in due:
            self.answer(ask, self.approved_by_job.get(ask.step.job))

    def occupy(self, *numbers: int, estimate_s: float, is_long_running: bool = False) -> None:
        """Fill some executors; each task starts where only it has the room."""
        step = make_step(
            1, cores=FULL, estimate_s=estimate_s, is_long_running=is_long_running, label="a"
        )
        wanted = {f"e{number:03}" for number in numbers}
        infos = [i if i.executor_id in wanted else replace(i, labels=()) for i in self.infos]
        self.see(*infos)
        for number in numbers:
            self.submit(make_job(step, job_id=f"{number:016x}"))
            self.run_all(self.step())
        self.see(*self.infos)

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

    def play_behind(self, rig: LineRig) -> None:
        """Hand in a gang behind the others; all of its tickets run out before there is room."""
        rig.approve(LAST, 3, 4, 5)
        for number in range(self.AHEAD):
            rig.hand_in(WIDE, job_id=job_id(number))
        rig.hand_in(WIDE, job_id=LAST)
        rig.play(6.0)
        assert rig.started_jobs == set()
        rig.empty(3, 4, 5)
        rig.play(6.0)

    def test_gangs_that_are_approved_on_too_few_executors(self) -> None:
        rig = LineRig(executors=6)
        rig.occupy(3, 4, 5, estimate_s=10.0)
        for number in range(self.AHEAD):
            rig.approve(job_id(number), 0, 1)
        self.play_behind(rig)
        assert rig.started_jobs == {LAST}

    def test_gangs_whose_room_is_taken_by_runs_without_an_end(self) -> None:
        rig = LineRig(executors=6)
        rig.occupy(0, 1, 2, estimate_s=0.0, is_long_running=True)
        rig.occupy(3, 4, 5, estimate_s=10.0)
        for number in range(self.AHEAD):
            rig.approve(job_id(number), 0, 1, 2)
        self.play_behind(rig)
        assert rig.started_jobs == {LAST}

    def test_gangs_whose_room_comes_free_much_later(self) -> None:
        rig = LineRig(executors=6 + 3 * self.AHEAD)
        rig.occupy(3, 4, 5, estimate_s=10.0)
        for number in range(self.AHEAD):
            own = range(6 + 3 * number, 9 + 3 * number)
            rig.occupy(*own, estimate_s=29.0)
            rig.approve(job_id(number), *own)
        self.play_behind(rig)
        assert rig.started_jobs == {LAST}

    def test_one_that_fits_at_last_gets_its_place_back(self) -> None:
        """Having found nothing for long does not keep a gang from room that comes."""
        rig = LineRig(executors=6)
        rig.occupy(0, 1, 2, estimate_s=0.0, is_long_running=True)
        for number in range(self.AHEAD):
            rig.approve(job_id(number), 0, 1, 2)
            rig.hand_in(WIDE, job_id=job_id(number))
        rig.play(6.0)
        rig.empty(0, 1, 2)
        rig.play(4.0)
        assert len(rig.started_jobs) == 1

    def test_what_can_not_start_is_not_asked_about_again(self) -> None:
        rig = LineRig(executors=6)
        for number in range(self.AHEAD):
            rig.approve(job_id(number), 0, 1)
            rig.hand_in(WIDE, job_id=job_id(number))
        rig.play(8.0)
        assert sorted(rig.asked_jobs) == [job_id(number) for number in range(self.AHEAD)]


class TestStepsAhead:
    """Steps that nothing could be done for took up all the places that a decision looks at.

    A decision looks at 120 waiting steps. Those behind them were not looked at before some ahead
    had gone, and what has no executor never goes.
    """

    AHEAD = 130

    def play_behind(self, rig: LineRig, step: Step, queue: Queue = QUEUE) -> None:
        for number in range(self.AHEAD):
            rig.submit(make_job(step, job_id=job_id(number), queue=queue))
        rig.submit(make_job(replace(SMALL, estimate_s=20.0), job_id=LAST))
        rig.play(3.0)

    def test_steps_with_a_label_that_nobody_has(self) -> None:
        rig = LineRig(executors=2)
        self.play_behind(rig, make_step(1, label="gone"))
        assert rig.started_jobs == {LAST}

    def test_steps_of_a_service_without_executors(self) -> None:
        rig = LineRig(executors=2)
        elsewhere = replace(QUEUE, name="elsewhere", service="gone")
        rig.core.set_queues([QUEUE, elsewhere])
        self.play_behind(rig, SMALL, elsewhere)
        assert rig.started_jobs == {LAST}

    def test_steps_that_are_approved_nowhere(self) -> None:
        rig = LineRig(executors=2)
        for number in range(self.AHEAD):
            rig.approve(job_id(number))
        self.play_behind(rig, SMALL, ADVISED)
        assert rig.started_jobs == {LAST}

    def test_steps_larger_than_any_executor(self) -> None:
        rig = LineRig(executors=2)
        self.play_behind(rig, make_step(1, cores=9000))
        assert rig.started_jobs == {LAST}

    def test_steps_that_wait_for_whole_executors(self) -> None:
        """Room is kept for them on some executors; what is behind them fits beside the others."""
        rig = LineRig(executors=10)
        rig.occupy(*range(10), estimate_s=0.0, is_long_running=True)
        self.play_behind(rig, LARGE)
        assert rig.started_jobs == {LAST}

    def test_each_of_many_is_looked_at_in_its_turn(self) -> None:
        """Of 400 steps that wait for their advice, each is asked about."""
        rig = LineRig(executors=2)
        rig.core.set_advice_calls_at_once(1_000)
        for number in range(400):
            rig.approve(job_id(number))
            rig.hand_in(SMALL, job_id=job_id(number))
        rig.play(4.0)
        assert len(set(rig.asked_jobs)) == 400

    def test_an_answer_is_used_before_its_tickets_run_out(self) -> None:
        """With 1,000 ahead a turn comes each 4.5 s, and tickets last for 2.5 s."""
        rig = LineRig(executors=2)
        rig.core.set_advice_calls_at_once(2_000)
        ahead, last = (replace(SMALL, estimate_s=seconds) for seconds in (20.0, 30.0))
        for number in range(1_000):
            rig.approve(job_id(number))
            rig.hand_in(ahead, job_id=job_id(number))
        rig.submit(make_job(last, job_id=LAST, queue=ADVISED))
        rig.play(12.0)
        assert rig.started_jobs == {LAST}


class TestGangsWiderThanACall:
    """A call names 100 executors at most, and each renewal named the same 100 of a wider gang.

    The tickets of the others had run out, so that such a gang never started once it had waited.
    """

    def test_the_others_are_asked_about_next(self) -> None:
        rig = LineRig(executors=112)
        rig.occupy(*range(112), estimate_s=10.0)
        rig.hand_in(make_step(110, cores=4000, is_gang=True, estimate_s=20.0), job_id=LAST)
        rig.play(6.0)
        rig.empty(*range(112))
        rig.play(6.0)
        assert rig.started_jobs == {LAST}


class StreamRig(Rig):
    """Small tasks come in a steady stream and end after 1 to 3 s."""

    def __init__(self, *, executors: int, load: float) -> None:
        super().__init__(*(make_info(f"e{number:03}") for number in range(executors)))
        self.started_jobs: set[str] = set()
        self._coming_a_tick = load * executors * 4 / MEAN_RUN_S * TICK_S
        self._due = 0.0
        self._came = 0
        self._runs: list[tuple[float, StartOrder]] = []
        self._positions = Counter[str]()

    def play(self, seconds: float) -> None:
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
            self.run_all(orders)
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

    def late(self, rig: StreamRig, step: Step, job: str = LAST) -> None:
        """Hand in a job that earns nothing any more."""
        rig.submit(make_job(step, job_id=job, submitted_at=rig.wall - 60.0))

    @pytest.mark.parametrize("load", [0.8, 0.95])
    def test_one_starts_beside_a_stream_of_small_tasks(self, load: float) -> None:
        rig = StreamRig(executors=16, load=load)
        rig.play(5.0)
        self.late(rig, make_step(4, cores=4000, is_gang=True, estimate_s=1.0))
        rig.play(10.0)
        assert LAST in rig.started_jobs

    def test_one_that_can_not_start_does_not_stand_before_another(self) -> None:
        rig = StreamRig(executors=16, load=0.95)
        rig.play(5.0)
        self.late(rig, make_step(17, cores=4000, is_gang=True, estimate_s=1.0), "e" * 16)
        self.late(rig, make_step(4, cores=4000, is_gang=True, estimate_s=1.0))
        rig.play(10.0)
        assert LAST in rig.started_jobs

    def test_one_that_is_hardly_late_lets_all_others_go_first(self) -> None:
        rig = StreamRig(executors=16, load=0.95)
        rig.play(5.0)
        gang = make_step(4, cores=4000, is_gang=True, estimate_s=1.0)
        # Past three times its objective of 3 s by one second.
        rig.submit(make_job(gang, job_id=LAST, submitted_at=rig.wall - 10.0))
        rig.play(5.0)
        assert LAST not in rig.started_jobs


class TestTurns:
    def test_a_stream_of_newcomers_keeps_nobody_waiting(self) -> None:
        """Each decision brings as many new ones as it picks, ahead of all others in the line."""
        turns = Turns(at_once=4)
        waiting = [StepKey(job_id(number), 0, 0) for number in range(40)]
        picked: set[StepKey] = set()
        for number in range(10):
            new = [StepKey(f"b{number:03}{index}", 0, 0) for index in range(4)]
            picked |= turns.pick([*new, *waiting])
        assert picked >= set(waiting[:36])
        picked |= turns.pick(waiting)
        assert picked >= set(waiting)
