"""Loads on which a rule repeats, or room is held, without regard to what came of it before."""

from collections import deque
from dataclasses import replace

import msgspec
import pytest
from returns.result import Failure

from cell.advised import ADVISED, AdvisedRig
from cell.rig import JOB, QUEUE, WALL, Rig, make_info, make_job, make_step
from galenastall.coordination.cell.commands import AskAdvice, StartOrder
from galenastall.coordination.cell.host_orders import HostOutcome
from galenastall.coordination.cell.job_runs import JobRun
from galenastall.coordination.cell.listings import ListedRun
from galenastall.coordination.cell.orders import StartOutcome
from galenastall.platform.submissions import decode_job
from galenastall.state.cell.hosts import HostState, PoolHost
from galenastall.state.cell.jobs import Recurrence
from galenastall.state.cell.phases import RunEnd, TaskPhase
from galenastall.state.cell.rows import encode_progress
from test_cell_hosts import CAPACITY, HostRig, make_hosts
from test_cell_line import LAST, TICK_S, LineRig, StreamRig, job_id

RECORD_BYTES = 262_144
OTHER = "fedcba9876543210"
LISTED_EVERY_S = 0.5


def paused(rig: Rig) -> set[str]:
    return {i for i, e in rig.core.executors_by_id.items() if e.paused_until > rig.now}


def show(rig: Rig, percent_by_order: dict[StartOrder, int]) -> None:
    """List what runs on each executor, all runs of one executor together."""
    for info in rig.infos:
        own = {o: p for o, p in percent_by_order.items() if o.executor_id == info.executor_id}
        running = tuple(ListedRun(task=o.task, run=o.run, percent=p) for o, p in own.items())
        rig.listing(info.executor_id, running)


def refuse(rig: Rig, order: StartOrder, outcome: StartOutcome) -> None:
    rig.core.on_start(order, outcome, now=rig.now, wall=rig.wall)


class TestRefusalsOfOneMoment:
    """Starts that leave together are refused together: that is one refusal, not one a start."""

    def test_starts_that_left_together_do_not_double_the_pause_of_each_other(self) -> None:
        rig = Rig(make_info("e0"))
        rig.submit(make_job(make_step(6, cores=500)))
        orders = rig.step()
        assert len(orders) == 6
        for order in orders:
            refuse(rig, order, StartOutcome.UNHEALTHY)
        assert rig.core.executors_by_id["e0"].paused_until - rig.now <= 1.4

    @pytest.mark.parametrize("outcome", [StartOutcome.UNHEALTHY, StartOutcome.NOT_STARTED])
    def test_a_refusal_does_not_shorten_a_longer_pause(self, outcome: StartOutcome) -> None:
        rig = Rig(make_info("e0"))
        rig.submit(make_job(make_step(2, cores=500)))
        still, sent = rig.step()
        rig.run_all([still])
        for _ in range(8):
            rig.now += LISTED_EVERY_S
            show(rig, {still: 40})
            rig.stops()
        until = rig.core.executors_by_id["e0"].paused_until
        assert until > rig.now + 1.0
        refuse(rig, sent, outcome)
        assert rig.core.executors_by_id["e0"].paused_until >= until


class TestRefusedInAnotherWay:
    def test_a_gang_avoids_an_executor_that_did_not_start_it_for_another_reason(self) -> None:
        """As too late for its clock, say: it comes to the same as a refusal for want of health."""
        rig = Rig(*(make_info(f"e{number}") for number in range(3)))
        rig.submit(make_job(make_step(2, cores=4000, is_gang=True)))
        for order in rig.step():
            is_refused = order.executor_id == "e0"
            outcome = StartOutcome.NOT_STARTED if is_refused else StartOutcome.STARTED
            refuse(rig, order, outcome)
            if not is_refused:
                rig.end(order, RunEnd.STOPPED)
        rig.now += 1.0
        show(rig, {})
        assert {order.executor_id for order in rig.step()} == {"e1", "e2"}


class TestOneRack:
    """A rack that fits is taken before it is asked which executors are avoided."""

    def start(self) -> tuple[Rig, list[StartOrder]]:
        racks = {"e0": "r1", "e1": "r1", "e2": "r2", "e3": "r2"}
        rig = Rig(*(replace(make_info(i), rack=rack) for i, rack in racks.items()))
        rig.submit(make_job(make_step(2, cores=4000, is_gang=True, wants_one_rack=True)))
        return rig, rig.step()

    def test_a_gang_that_was_refused_goes_to_the_other_rack(self) -> None:
        rig, orders = self.start()
        assert {order.executor_id for order in orders} == {"e0", "e1"}
        refuse(rig, orders[0], StartOutcome.UNHEALTHY)
        rig.run_all(orders[1:])
        rig.end(orders[1], RunEnd.STOPPED)
        rig.now += 1.0
        show(rig, {})
        assert {order.executor_id for order in rig.step()} == {"e2", "e3"}

    def test_a_gang_that_stood_still_goes_to_the_other_rack(self) -> None:
        """Nobody is paused, so it came back to the executor that hangs, for twice as long each."""
        rig, orders = self.start()
        rig.run_all(orders)
        for _ in range(8):
            rig.now += LISTED_EVERY_S
            show(rig, dict.fromkeys(orders, 40))
            rig.stops()
        for order in orders:
            rig.end(order, RunEnd.STOPPED)
        rig.now += 1.0
        show(rig, {})
        assert {order.executor_id for order in rig.step()} == {"e2", "e3"}


class TestWorkThatStandsStillByNature:
    def test_it_does_not_close_executors_on_which_other_runs_go_on(self) -> None:
        rig = Rig(*(make_info(f"e{number}") for number in range(4)))
        each = make_step(4, cores=1000, most_per_executor=1)
        rig.submit(make_job(each))
        still = rig.step()
        rig.submit(make_job(replace(each, estimate_s=20.0), job_id=OTHER))
        sound = rig.step()
        rig.run_all([*still, *sound])
        for turn in range(8):
            rig.now += LISTED_EVERY_S
            show(rig, dict.fromkeys(still, 40) | dict.fromkeys(sound, 5 * turn))
            rig.stops()
        rig.submit(make_job(make_step(1, cores=500), job_id=LAST))
        assert len(rig.step()) == 1, f"all are paused: {sorted(paused(rig))}"


class TestOneJobThatNobodyTakes:
    """Each start of one job is refused, as malformed say; all others would be taken."""

    def test_it_does_not_close_all_executors(self) -> None:
        rig = Rig(*(make_info(f"e{number}") for number in range(4)))
        rig.submit(make_job(make_step(1, cores=500)))
        for _ in range(600):
            rig.now += 0.1
            show(rig, {})
            for order in rig.step():
                refuse(rig, order, StartOutcome.UNHEALTHY)
        rig.submit(make_job(make_step(1, cores=500), job_id=OTHER))
        started: set[str] = set()
        for _ in range(30):
            rig.now += 0.1
            show(rig, {})
            for order in rig.step():
                is_refused = order.task.job == JOB
                refuse(rig, order, StartOutcome.UNHEALTHY if is_refused else StartOutcome.STARTED)
                started.add(order.task.job)
        assert OTHER in started, f"paused: {sorted(paused(rig))}"


class TestServiceThatFailsAtOnce:
    """A task that goes on until cancelled is started again however often it fails."""

    def play(self, seconds: float) -> tuple[Rig, int]:
        rig = Rig(*(make_info(f"e{number}") for number in range(4)))
        rig.submit(make_job(make_step(1, cores=500, is_long_running=True)))
        starts = 0
        for position in range(1, round(seconds / 0.1)):
            rig.now += 0.1
            show(rig, {})
            orders = rig.step()
            rig.run_all(orders)
            starts += len(orders)
            for order in orders:
                rig.end(order, RunEnd.FAILED, position=position)
        return rig, starts

    def test_it_does_not_close_all_executors(self) -> None:
        rig, _ = self.play(60.0)
        rig.submit(make_job(make_step(1, cores=500), job_id=OTHER))
        started: set[str] = set()
        for _ in range(20):
            rig.now += 0.1
            show(rig, {})
            started |= {order.task.job for order in rig.step()}
        assert OTHER in started, f"paused: {sorted(paused(rig))}"


class PacedRig(Rig):
    """A task that serves on e0 beside fillers on all executors."""

    def __init__(self, *, fillers: int) -> None:
        super().__init__(*(make_info(f"e{number}") for number in range(3)))
        self.tail = 0
        self.percents: dict[StartOrder, float] = {}
        filler = make_step(fillers, cores=0, is_filler=True, most_per_executor=2, estimate_s=20.0)
        self.submit(make_job(filler))
        self.fillers = self.step()
        serves = make_step(1, is_long_running=True, tail_target_ms=100)
        self.submit(make_job(serves, job_id=OTHER))
        self.serving = self.step()
        self.run_all([*self.fillers, *self.serving])
        self.host = self.serving[0].executor_id

    def play(self, seconds: float) -> None:
        """Let runs work at the pace that their executor was ordered."""
        for _ in range(round(seconds / LISTED_EVERY_S)):
            self.now += LISTED_EVERY_S
            for order in self.fillers:
                pace = self.core.executors_by_id[order.executor_id].filler_rate_percent / 100
                self.percents[order] = self.percents.get(order, 0.0) + 10 * pace * LISTED_EVERY_S
            for info in self.infos:
                self.listing(info.executor_id, self._running(info.executor_id))
            for pace_order in self.core.take_paces():
                self.core.on_paced(pace_order)

    def _running(self, executor_id: str) -> tuple[ListedRun, ...]:
        running = [
            ListedRun(task=o.task, run=o.run, percent=int(self.percents[o]))
            for o in self.fillers
            if o.executor_id == executor_id
        ]
        running += [
            ListedRun(task=o.task, run=o.run, percent=100, figure=self.tail)
            for o in self.serving
            if o.executor_id == executor_id
        ]
        return tuple(running)


class TestFillersThatWeSlowDown:
    def test_one_that_we_paced_to_nothing_is_no_standstill(self) -> None:
        rig = PacedRig(fillers=6)
        rig.play(1.0)
        rig.tail = 200
        stops = []
        for _ in range(16):
            rig.play(LISTED_EVERY_S)
            stops += rig.stops()
        assert rig.core.executors_by_id[rig.host].filler_rate_percent == 0
        assert paused(rig) == set()
        assert stops == []

    def test_an_executor_whose_fillers_we_slowed_down_is_not_slow(self) -> None:
        rig = PacedRig(fillers=6)
        rig.play(0.5)
        rig.tail = 200
        rig.play(2.0)
        rig.tail = 70
        stops = []
        for _ in range(12):
            rig.play(LISTED_EVERY_S)
            stops += rig.stops()
        assert 0 < rig.core.executors_by_id[rig.host].filler_rate_percent <= 25
        assert paused(rig) == set()
        assert stops == []


class TestOverdueGangs:
    def test_many_of_them_do_not_keep_work_that_earns_something_waiting(self) -> None:
        """One at a time, but one after the other: each takes the whole cell."""
        rig = StreamRig(executors=8, load=0.5)
        rig.play(5.0)
        for number in range(10):
            gang = make_step(8, cores=4000, is_gang=True, estimate_s=1.0)
            late = make_job(gang, job_id=f"e{number:015x}", submitted_at=rig.wall - 60.0)
            rig.submit(late)
        came_before = rig._came
        rig.play(3.0)
        timely = {job_id(number) for number in range(came_before + 1, rig._came + 1)}
        rig.play(5.0)
        waiting = timely - rig.started_jobs
        assert not waiting, f"{len(waiting)} of {len(timely)} missed their objective of 5 s"

    def test_one_without_tickets_does_not_keep_room_for_ever(self) -> None:
        rig = AwayRig(executors=4)
        rig.occupy(0, 1, 2, estimate_s=10.0)
        rig.approve(LAST, 0, 1, 2)
        gang = make_step(3, cores=4000, is_gang=True)
        rig.submit(make_job(gang, job_id=LAST, queue=ADVISED, submitted_at=rig.wall - 60.0))
        rig.play(4.0)
        rig.is_away = True
        rig.play(4.0)
        rig.empty(0, 1, 2)
        timely = {job_id(number) for number in range(4)}
        for each in sorted(timely):
            large = make_step(1, cores=4000, estimate_s=20.0)
            rig.submit(make_job(large, job_id=each, submitted_at=rig.wall))
        rig.play(30.0)
        assert timely <= rig.started_jobs


class AwayRig(LineRig):
    """The advisor answers nothing from some moment on."""

    is_away = False

    def _answer_due(self) -> None:
        if not self.is_away:
            super()._answer_due()


class TestGangThatIsDone:
    def test_a_member_that_does_not_end_gives_its_room_back(self) -> None:
        """The first member that is done makes the gang's step done; the rest was never stopped."""
        rig = Rig(make_info("e0"), make_info("e1"))
        rig.submit(make_job(make_step(2, cores=4000, is_gang=True)))
        done, left = rig.step()
        rig.run_all([done, left])
        show(rig, {done: 90, left: 90})
        rig.end(done, RunEnd.DONE)
        rig.step()
        stops = []
        for _ in range(240):
            rig.now += LISTED_EVERY_S
            show(rig, {left: 90})
            stops += rig.stops()
            rig.commit()
        assert stops, f"held for {rig.now - 100.0:.0f} s: {rig.runs_on(left.executor_id)}"


class TestRowsOfTimedJobs:
    """A row that the store refuses is sent for ever, and nothing else is written any more."""

    def timed(self, count: int, times: int) -> JobRun:
        recurrence = Recurrence(first_due=WALL, interval_s=1.0, times=times)
        return JobRun(job=make_job(make_step(count), recurrence=recurrence))

    def test_occurrences_that_overlap_fit_into_a_row(self) -> None:
        run = self.timed(4_000, times=3)
        run.open_due(WALL + 2.0)
        for task in run.tasks():
            task.phase, task.run, task.executor_id = TaskPhase.ASSIGNED, 1, "i-" + "0" * 16
        assert len(encode_progress(run.row())) < RECORD_BYTES

    def test_many_occurrences_that_are_done_fit_into_a_row(self) -> None:
        run = self.timed(1, times=100_000)
        run.occurrences_opened = 100_000
        run.done_occurrences = set(range(100_000))
        assert len(encode_progress(run.row())) < RECORD_BYTES

    def test_a_job_whose_occurrences_are_all_due_at_once_is_refused(self) -> None:
        """All of them are opened in one call: a thousand million times 4,000 tasks here."""
        body = msgspec.json.encode(
            {"steps": [{"count": 4_000}], "repetitions": 1_000_000_000, "intervalMs": 0}
        )
        decoded = decode_job(body, job_id=JOB, queue=QUEUE, wall=WALL, peer="caller")
        assert isinstance(decoded, Failure)


class TestPatienceWithAGang:
    def test_it_doubles_whichever_member_was_given_up(self) -> None:
        rig = Rig(*(make_info(f"e{number}") for number in range(4)))
        rig.submit(make_job(make_step(3, cores=4000, is_gang=True)))
        waits: list[float] = []
        for still in range(3):
            orders = rig.step()
            rig.run_all(orders)
            began_at = rig.now
            for turn in range(60):
                show(rig, {o: 40 if n == still else 40 + turn // 2 for n, o in enumerate(orders)})
                if rig.stops():
                    break
                rig.now += LISTED_EVERY_S
            waits.append(rig.now - began_at)
            for order in orders:
                rig.end(order, RunEnd.STOPPED, position=still + 1)
            rig.now += 31.0
            show(rig, {})
        assert waits == [pytest.approx(3.0 * 2.0**n, abs=2 * LISTED_EVERY_S) for n in range(3)]


class TestUrgentQuestions:
    def test_calls_that_wait_for_a_host_are_not_made_again_without_end(self) -> None:
        """Hosts are asked through one call at a time; here they make two a second."""
        rig = AdvisedRig(executors=4, hosts=3)
        urgent = replace(ADVISED, name="urgent", priority=0)
        rig.core.set_queues([QUEUE, ADVISED, urgent])
        for number in range(100):
            rig.submit(make_job(make_step(1), job_id=job_id(number), queue=urgent))
        calls: deque[AskAdvice] = deque()
        for tick in range(300):
            rig.pass_time(TICK_S)
            calls.extend(rig.asks())
            if tick % 5 == 0 and calls:
                rig.answer(calls.popleft(), set())
        assert len(calls) <= 200


class TestStandstillWhileDraining:
    def test_a_run_that_hangs_on_a_draining_executor_is_given_up(self) -> None:
        rig = Rig(make_info("e0"), make_info("e1"))
        rig.submit(make_job(make_step(1)))
        (order,) = rig.step()
        rig.run_all([order])
        for percent in (0, 20, 40):
            rig.now += LISTED_EVERY_S
            show(rig, {order: percent})
        draining = [replace(i, is_draining=True, leaves_in_s=300.0) for i in rig.infos[:1]]
        rig.see(*draining, *rig.infos[1:])
        stops = []
        for _ in range(240):
            rig.now += LISTED_EVERY_S
            show(rig, {order: 40})
            stops += rig.stops()
        assert stops, "it has stood still for 120 s"


class TestLateTasksThatNeedAWholeExecutor:
    """Gangs that are late are brought forward; a single task is not, and keeps no room either."""

    def test_one_starts_beside_a_stream_of_small_tasks(self) -> None:
        rig = StreamRig(executors=16, load=0.95)
        rig.play(5.0)
        large = make_step(1, cores=4000, estimate_s=1.0)
        rig.submit(make_job(large, job_id=LAST, submitted_at=rig.wall - 60.0))
        rig.play(90.0)
        assert LAST in rig.started_jobs


class TestTicketsThatAreRefused:
    def test_a_gang_avoids_an_executor_that_refused_its_ticket(self) -> None:
        """Its ticket is asked for again, and it is placed there again."""
        rig = AdvisedRig(executors=3, hosts=6)
        rig.hand_in(make_step(2, cores=4000, is_gang=True))
        for ask in rig.asks():
            rig.answer(ask)
        for order in rig.step():
            is_refused = order.executor_id == "e000"
            refuse(rig, order, StartOutcome.NO_TICKET if is_refused else StartOutcome.STARTED)
            if not is_refused:
                rig.end(order, RunEnd.STOPPED)
        rig.now += 4.0
        show(rig, {})
        for ask in rig.asks():
            rig.answer(ask)
        assert {order.executor_id for order in rig.step()} == {"e001", "e002"}


class PoolRig(HostRig):
    """A service of three hosts, and one that can be moved in; moves are carried out at once."""

    def __init__(self) -> None:
        super().__init__()
        self.pool = "off"
        self.moves: list[str] = []
        self.core.hosts.set_standby(frozenset({"off"}))
        self.show_hosts()

    def show_hosts(self) -> None:
        spare = PoolHost(host="spare", pool=self.pool, state=HostState.UP, capacity=CAPACITY)
        self.core.hosts.set_hosts((*make_hosts(self.names), spare), wall=self.wall)
        spares = [replace(make_info("spare"), labels=("b",))] if self.pool == "s" else []
        self.see(*(make_info(name) for name in self.names), *spares)

    def play(self, seconds: float) -> set[str]:
        """Let runs go on without an end; return the jobs that were started."""
        started: set[str] = set()
        for _ in range(round(seconds)):
            self.now += 1.0
            for name, executor in list(self.core.executors_by_id.items()):
                if name == "spare" and self.pool != "s":
                    continue
                runs = executor.runs_by_task.items()
                percent = min(99, int(self.now - 100.0))
                self.listing(
                    name, tuple(ListedRun(task=t, run=r, percent=percent) for t, r in runs)
                )
            orders = self.step()
            self.run_all(orders)
            started |= {order.task.job for order in orders}
            for order in self.core.hosts.take_ready():
                self.moves.append(order.pool)
                self.pool = order.pool
                self.answer(order, HostOutcome.DONE)
            self.show_hosts()
        return started


class TestHostsThatWereMovedIn:
    def test_one_that_can_not_be_given_back_is_used_by_what_waits_for_it(self) -> None:
        """It is closed while the load is low, also if a task goes on there until cancelled."""
        rig = PoolRig()
        full = make_step(4, cores=4000, estimate_s=200.0)
        rig.submit(make_job(full, job_id=OTHER))
        rig.play(5.0)
        assert rig.moves == ["s"]
        rig.core.cancel(OTHER, wall=rig.wall)
        rig.commit()
        for name in (*rig.names, "spare"):
            rig.listing(name)
        serves = make_step(1, cores=500, is_long_running=True, label="b")
        rig.submit(make_job(serves))
        assert rig.play(20.0) >= {JOB}
        rig.submit(make_job(make_step(4, cores=3000, is_gang=True), job_id=LAST))
        assert LAST in rig.play(60.0)

    def test_work_that_no_host_can_help_does_not_move_hosts_to_and_fro(self) -> None:
        rig = PoolRig()
        rig.submit(make_job(make_step(50, cores=4000, is_gang=True)))
        rig.play(120.0)
        assert len(rig.moves) <= 2
