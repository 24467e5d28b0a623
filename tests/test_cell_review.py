"""Regressions: rules that repeated an action, or held capacity, regardless of the outcome."""

from collections import deque
from dataclasses import replace

import msgspec
import pytest
from returns.result import Failure

from cell.advised import ADVISED, AdvisedHarness
from cell.rig import JOB, QUEUE, WALL, Harness, make_info, make_job, make_step
from galenastall.coordination.cell.commands import AdviceRequest, StartOrder
from galenastall.coordination.cell.host_orders import HostOutcome
from galenastall.coordination.cell.job_runs import JobRun
from galenastall.coordination.cell.listings import ListedRun
from galenastall.coordination.cell.orders import StartOutcome
from galenastall.platform.submissions import decode_job
from galenastall.state.cell.hosts import HostState, PoolHost
from galenastall.state.cell.jobs import Recurrence
from galenastall.state.cell.phases import RunEnd, TaskPhase
from galenastall.state.cell.rows import encode_progress
from test_cell_hosts import CAPACITY, HostHarness, make_hosts
from test_cell_line import LAST, TICK_S, QueueHarness, StreamHarness, job_id

RECORD_BYTES = 262_144
OTHER = "fedcba9876543210"
LISTED_EVERY_S = 0.5


def paused(harness: Harness) -> set[str]:
    return {i for i, e in harness.core.executors_by_id.items() if e.paused_until > harness.now}


def show(harness: Harness, percent_by_order: dict[StartOrder, int]) -> None:
    """Deliver one listing per executor, with all of its runs and their progress."""
    for info in harness.infos:
        own = {o: p for o, p in percent_by_order.items() if o.executor_id == info.executor_id}
        running = tuple(ListedRun(task=o.task, run=o.run, percent=p) for o, p in own.items())
        harness.listing(info.executor_id, running)


def refuse(harness: Harness, order: StartOrder, outcome: StartOutcome) -> None:
    harness.core.on_start(order, outcome, now=harness.now, wall=harness.wall)


class TestSimultaneousRefusals:
    """Refusals of starts that were sent together count as one refusal, not one per start."""

    def test_starts_that_left_together_do_not_double_the_pause_of_each_other(self) -> None:
        harness = Harness(make_info("e0"))
        harness.submit(make_job(make_step(6, cores=500)))
        orders = harness.step()
        assert len(orders) == 6
        for order in orders:
            refuse(harness, order, StartOutcome.UNHEALTHY)
        assert harness.core.executors_by_id["e0"].paused_until - harness.now <= 1.4

    @pytest.mark.parametrize("outcome", [StartOutcome.UNHEALTHY, StartOutcome.NOT_STARTED])
    def test_a_refusal_does_not_shorten_a_longer_pause(self, outcome: StartOutcome) -> None:
        harness = Harness(make_info("e0"))
        harness.submit(make_job(make_step(2, cores=500)))
        still, sent = harness.step()
        harness.confirm_starts([still])
        for _ in range(8):
            harness.now += LISTED_EVERY_S
            show(harness, {still: 40})
            harness.stops()
        until = harness.core.executors_by_id["e0"].paused_until
        assert until > harness.now + 1.0
        refuse(harness, sent, outcome)
        assert harness.core.executors_by_id["e0"].paused_until >= until


class TestGangNotStarted:
    def test_a_gang_avoids_an_executor_that_did_not_start_it_for_another_reason(self) -> None:
        """For example too late by its clock: the effect is that of a refusal as unhealthy."""
        harness = Harness(*(make_info(f"e{number}") for number in range(3)))
        harness.submit(make_job(make_step(2, cores=4000, is_gang=True)))
        for order in harness.step():
            is_refused = order.executor_id == "e0"
            outcome = StartOutcome.NOT_STARTED if is_refused else StartOutcome.STARTED
            refuse(harness, order, outcome)
            if not is_refused:
                harness.end(order, RunEnd.STOPPED)
        harness.now += 1.0
        show(harness, {})
        assert {order.executor_id for order in harness.step()} == {"e1", "e2"}


class TestOneRack:
    """Guards against choosing a rack without regard to the executors that the gang avoids."""

    def start(self) -> tuple[Harness, list[StartOrder]]:
        racks = {"e0": "r1", "e1": "r1", "e2": "r2", "e3": "r2"}
        harness = Harness(*(replace(make_info(i), rack=rack) for i, rack in racks.items()))
        harness.submit(make_job(make_step(2, cores=4000, is_gang=True, wants_one_rack=True)))
        return harness, harness.step()

    def test_a_gang_that_was_refused_goes_to_the_other_rack(self) -> None:
        harness, orders = self.start()
        assert {order.executor_id for order in orders} == {"e0", "e1"}
        refuse(harness, orders[0], StartOutcome.UNHEALTHY)
        harness.confirm_starts(orders[1:])
        harness.end(orders[1], RunEnd.STOPPED)
        harness.now += 1.0
        show(harness, {})
        assert {order.executor_id for order in harness.step()} == {"e2", "e3"}

    def test_a_stalled_gang_goes_to_the_other_rack(self) -> None:
        """No executor is paused here, so the gang used to return to the hanging one, each time for
        twice as long."""
        harness, orders = self.start()
        harness.confirm_starts(orders)
        for _ in range(8):
            harness.now += LISTED_EVERY_S
            show(harness, dict.fromkeys(orders, 40))
            harness.stops()
        for order in orders:
            harness.end(order, RunEnd.STOPPED)
        harness.now += 1.0
        show(harness, {})
        assert {order.executor_id for order in harness.step()} == {"e2", "e3"}


class TestInherentlyStalledWork:
    def test_it_does_not_close_executors_on_which_other_runs_go_on(self) -> None:
        harness = Harness(*(make_info(f"e{number}") for number in range(4)))
        each = make_step(4, cores=1000, most_per_executor=1)
        harness.submit(make_job(each))
        still = harness.step()
        harness.submit(make_job(replace(each, estimate_s=20.0), job_id=OTHER))
        sound = harness.step()
        harness.confirm_starts([*still, *sound])
        for turn in range(8):
            harness.now += LISTED_EVERY_S
            show(harness, dict.fromkeys(still, 40) | dict.fromkeys(sound, 5 * turn))
            harness.stops()
        harness.submit(make_job(make_step(1, cores=500), job_id=LAST))
        assert len(harness.step()) == 1, f"all are paused: {sorted(paused(harness))}"


class TestJobRefusedEverywhere:
    """Each start of one job is refused, for example as malformed; other jobs would be accepted."""

    def test_it_does_not_close_all_executors(self) -> None:
        harness = Harness(*(make_info(f"e{number}") for number in range(4)))
        harness.submit(make_job(make_step(1, cores=500)))
        for _ in range(600):
            harness.now += 0.1
            show(harness, {})
            for order in harness.step():
                refuse(harness, order, StartOutcome.UNHEALTHY)
        harness.submit(make_job(make_step(1, cores=500), job_id=OTHER))
        started: set[str] = set()
        for _ in range(30):
            harness.now += 0.1
            show(harness, {})
            for order in harness.step():
                is_refused = order.task.job == JOB
                refuse(
                    harness, order, StartOutcome.UNHEALTHY if is_refused else StartOutcome.STARTED
                )
                started.add(order.task.job)
        assert OTHER in started, f"paused: {sorted(paused(harness))}"


class TestServiceThatFailsAtOnce:
    """A task that runs until cancelled is restarted no matter how often it fails."""

    def run_for(self, seconds: float) -> tuple[Harness, int]:
        harness = Harness(*(make_info(f"e{number}") for number in range(4)))
        harness.submit(make_job(make_step(1, cores=500, is_long_running=True)))
        starts = 0
        for position in range(1, round(seconds / 0.1)):
            harness.now += 0.1
            show(harness, {})
            orders = harness.step()
            harness.confirm_starts(orders)
            starts += len(orders)
            for order in orders:
                harness.end(order, RunEnd.FAILED, position=position)
        return harness, starts

    def test_it_does_not_close_all_executors(self) -> None:
        harness, _ = self.run_for(60.0)
        harness.submit(make_job(make_step(1, cores=500), job_id=OTHER))
        started: set[str] = set()
        for _ in range(20):
            harness.now += 0.1
            show(harness, {})
            started |= {order.task.job for order in harness.step()}
        assert OTHER in started, f"paused: {sorted(paused(harness))}"


class ThrottledFillersHarness(Harness):
    """A service task on one executor, and filler tasks on all executors."""

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
        self.confirm_starts([*self.fillers, *self.serving])
        self.host = self.serving[0].executor_id

    def run_for(self, seconds: float) -> None:
        """Let fillers progress at the rate to which their executor is throttled."""
        for _ in range(round(seconds / LISTED_EVERY_S)):
            self.now += LISTED_EVERY_S
            for order in self.fillers:
                pace = self.core.executors_by_id[order.executor_id].filler_rate_percent / 100
                self.percents[order] = self.percents.get(order, 0.0) + 10 * pace * LISTED_EVERY_S
            for info in self.infos:
                self.listing(info.executor_id, self._running(info.executor_id))
            for pace_order in self.core.take_throttle_orders():
                self.core.on_throttle_confirmed(pace_order)

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


class TestThrottledFillers:
    def test_a_filler_throttled_to_zero_is_not_stalled(self) -> None:
        harness = ThrottledFillersHarness(fillers=6)
        harness.run_for(1.0)
        harness.tail = 200
        stops = []
        for _ in range(16):
            harness.run_for(LISTED_EVERY_S)
            stops += harness.stops()
        assert harness.core.executors_by_id[harness.host].filler_rate_percent == 0
        assert paused(harness) == set()
        assert stops == []

    def test_an_executor_with_throttled_fillers_is_not_slow(self) -> None:
        harness = ThrottledFillersHarness(fillers=6)
        harness.run_for(0.5)
        harness.tail = 200
        harness.run_for(2.0)
        harness.tail = 70
        stops = []
        for _ in range(12):
            harness.run_for(LISTED_EVERY_S)
            stops += harness.stops()
        assert 0 < harness.core.executors_by_id[harness.host].filler_rate_percent <= 25
        assert paused(harness) == set()
        assert stops == []


class TestOverdueGangs:
    def test_many_overdue_gangs_do_not_delay_timely_work(self) -> None:
        """Only one starts at a time, but in direct succession, and each occupies the cell."""
        harness = StreamHarness(executors=8, load=0.5)
        harness.run_for(5.0)
        for number in range(10):
            gang = make_step(8, cores=4000, is_gang=True, estimate_s=1.0)
            late = make_job(gang, job_id=f"e{number:015x}", submitted_at=harness.wall - 60.0)
            harness.submit(late)
        came_before = harness._came
        harness.run_for(3.0)
        timely = {job_id(number) for number in range(came_before + 1, harness._came + 1)}
        harness.run_for(5.0)
        waiting = timely - harness.started_jobs
        assert not waiting, f"{len(waiting)} of {len(timely)} missed their objective of 5 s"

    def test_one_without_tickets_does_not_reserve_capacity_forever(self) -> None:
        harness = AdvisorOutageHarness(executors=4)
        harness.occupy(0, 1, 2, estimate_s=10.0)
        harness.approve(LAST, 0, 1, 2)
        gang = make_step(3, cores=4000, is_gang=True)
        harness.submit(make_job(gang, job_id=LAST, queue=ADVISED, submitted_at=harness.wall - 60.0))
        harness.run_for(4.0)
        harness.is_advisor_down = True
        harness.run_for(4.0)
        harness.empty(0, 1, 2)
        timely = {job_id(number) for number in range(4)}
        for each in sorted(timely):
            large = make_step(1, cores=4000, estimate_s=20.0)
            harness.submit(make_job(large, job_id=each, submitted_at=harness.wall))
        harness.run_for(30.0)
        assert timely <= harness.started_jobs


class AdvisorOutageHarness(QueueHarness):
    """The advisor stops answering once `is_advisor_down` is set."""

    is_advisor_down = False

    def _answer_due(self) -> None:
        if not self.is_advisor_down:
            super()._answer_due()


class TestGangThatIsDone:
    def test_a_member_that_does_not_end_frees_its_capacity(self) -> None:
        """The first completed member completes the step; the others were never stopped."""
        harness = Harness(make_info("e0"), make_info("e1"))
        harness.submit(make_job(make_step(2, cores=4000, is_gang=True)))
        done, left = harness.step()
        harness.confirm_starts([done, left])
        show(harness, {done: 90, left: 90})
        harness.end(done, RunEnd.DONE)
        harness.step()
        stops = []
        for _ in range(240):
            harness.now += LISTED_EVERY_S
            show(harness, {left: 90})
            stops += harness.stops()
            harness.commit()
        assert stops, f"held for {harness.now - 100.0:.0f} s: {harness.runs_on(left.executor_id)}"


class TestRowsOfTimedJobs:
    """A row too large for the store is retried forever, and blocks all other writes."""

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
        for number in range(100_000):
            run.done_occurrences.add(number)
        assert len(encode_progress(run.row())) < RECORD_BYTES

    def test_a_job_whose_occurrences_are_all_due_at_once_is_refused(self) -> None:
        """All occurrences would be opened in one call: here 1,000,000,000 times 4,000 tasks."""
        body = msgspec.json.encode(
            {"steps": [{"count": 4_000}], "repetitions": 1_000_000_000, "intervalMs": 0}
        )
        decoded = decode_job(body, job_id=JOB, queue=QUEUE, wall=WALL, peer="caller")
        assert isinstance(decoded, Failure)


class TestGangStallTimeout:
    def test_it_doubles_whichever_member_stalled(self) -> None:
        harness = Harness(*(make_info(f"e{number}") for number in range(4)))
        harness.submit(make_job(make_step(3, cores=4000, is_gang=True)))
        waits: list[float] = []
        for still in range(3):
            orders = harness.step()
            harness.confirm_starts(orders)
            began_at = harness.now
            for turn in range(60):
                show(
                    harness, {o: 40 if n == still else 40 + turn // 2 for n, o in enumerate(orders)}
                )
                if harness.stops():
                    break
                harness.now += LISTED_EVERY_S
            waits.append(harness.now - began_at)
            for order in orders:
                harness.end(order, RunEnd.STOPPED, position=still + 1)
            harness.now += 31.0
            show(harness, {})
        assert waits == [pytest.approx(3.0 * 2.0**n, abs=2 * LISTED_EVERY_S) for n in range(3)]


class TestUrgentAdviceCalls:
    def test_queued_calls_are_not_repeated_without_bound(self) -> None:
        """Each host makes one call at a time; here all hosts together complete two per second."""
        harness = AdvisedHarness(executors=4, hosts=3)
        urgent = replace(ADVISED, name="urgent", priority=0)
        harness.core.set_queues([QUEUE, ADVISED, urgent])
        for number in range(100):
            harness.submit(make_job(make_step(1), job_id=job_id(number), queue=urgent))
        calls: deque[AdviceRequest] = deque()
        for tick in range(300):
            harness.advance(TICK_S)
            calls.extend(harness.asks())
            if tick % 5 == 0 and calls:
                harness.answer(calls.popleft(), set())
        assert len(calls) <= 200


class TestStallWhileDraining:
    def test_a_run_that_hangs_on_a_draining_executor_is_stopped(self) -> None:
        harness = Harness(make_info("e0"), make_info("e1"))
        harness.submit(make_job(make_step(1)))
        (order,) = harness.step()
        harness.confirm_starts([order])
        for percent in (0, 20, 40):
            harness.now += LISTED_EVERY_S
            show(harness, {order: percent})
        draining = [replace(i, is_draining=True, leaves_in_s=300.0) for i in harness.infos[:1]]
        harness.update_fleet(*draining, *harness.infos[1:])
        stops = []
        for _ in range(240):
            harness.now += LISTED_EVERY_S
            show(harness, {order: 40})
            stops += harness.stops()
        assert stops, "it has been stalled for 120 s"


class TestLateTasksThatFillAnExecutor:
    """Late gangs move forward in the queue; a late single task does not, nor reserves capacity."""

    def test_one_starts_despite_a_stream_of_small_tasks(self) -> None:
        harness = StreamHarness(executors=16, load=0.95)
        harness.run_for(5.0)
        large = make_step(1, cores=4000, estimate_s=1.0)
        harness.submit(make_job(large, job_id=LAST, submitted_at=harness.wall - 60.0))
        harness.run_for(90.0)
        assert LAST in harness.started_jobs


class TestTicketsThatAreRefused:
    def test_a_gang_avoids_an_executor_that_refused_its_ticket(self) -> None:
        """Otherwise it requests a new ticket and is placed on the same executor again."""
        harness = AdvisedHarness(executors=3, hosts=6)
        harness.hand_in(make_step(2, cores=4000, is_gang=True))
        for ask in harness.asks():
            harness.answer(ask)
        for order in harness.step():
            is_refused = order.executor_id == "e000"
            refuse(harness, order, StartOutcome.NO_TICKET if is_refused else StartOutcome.STARTED)
            if not is_refused:
                harness.end(order, RunEnd.STOPPED)
        harness.now += 4.0
        show(harness, {})
        for ask in harness.asks():
            harness.answer(ask)
        assert {order.executor_id for order in harness.step()} == {"e001", "e002"}


class PoolHarness(HostHarness):
    """A service of three hosts and one standby host; moves are carried out at once."""

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
        self.update_fleet(*(make_info(name) for name in self.names), *spares)

    def run_for(self, seconds: float) -> set[str]:
        """Let runs continue without ending; return the jobs that were started."""
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
            self.confirm_starts(orders)
            started |= {order.task.job for order in orders}
            for order in self.core.hosts.take_ready():
                self.moves.append(order.pool)
                self.pool = order.pool
                self.answer(order, HostOutcome.DONE)
            self.show_hosts()
        return started


class TestMovedHosts:
    def test_a_host_that_cannot_be_returned_serves_waiting_tasks(self) -> None:
        """It is cordoned while the load is low, even if a long-running task prevents its return."""
        harness = PoolHarness()
        full = make_step(4, cores=4000, estimate_s=200.0)
        harness.submit(make_job(full, job_id=OTHER))
        harness.run_for(5.0)
        assert harness.moves == ["s"]
        harness.core.cancel(OTHER, wall=harness.wall)
        harness.commit()
        for name in (*harness.names, "spare"):
            harness.listing(name)
        serves = make_step(1, cores=500, is_long_running=True, label="b")
        harness.submit(make_job(serves))
        assert harness.run_for(20.0) >= {JOB}
        harness.submit(make_job(make_step(4, cores=3000, is_gang=True), job_id=LAST))
        assert LAST in harness.run_for(60.0)

    def test_a_job_that_cannot_fit_does_not_move_hosts_back_and_forth(self) -> None:
        harness = PoolHarness()
        harness.submit(make_job(make_step(50, cores=4000, is_gang=True)))
        harness.run_for(120.0)
        assert len(harness.moves) <= 2
