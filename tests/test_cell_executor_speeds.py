"""Speeds of executors: learned from runs, used where they differ, kept for the next leader."""

from collections.abc import Callable, Collection
from dataclasses import replace
from math import exp, log
from pathlib import Path
from random import Random

import msgspec
import pytest

from cell.rig import QUEUE, WALL, Harness, make_info, make_job, make_step
from galenastall.bench.cell_load.simulation import SimulationResult, simulate
from galenastall.bench.cell_load.workload import load_workload
from galenastall.coordination.cell.commands import StartOrder
from galenastall.coordination.cell.executor_speeds import (
    MAX_AGE_S,
    ExecutorSpeeds,
    SpeedClass,
    kind_of,
)
from galenastall.coordination.cell.executors import ExecutorInfo
from galenastall.coordination.cell.gang_pace import plan_gang
from galenastall.coordination.cell.job_runs import JobRun
from galenastall.coordination.cell.listings import ListedEnd, ListedRun
from galenastall.coordination.cell.mechanisms import Mechanism
from galenastall.coordination.cell.speed_wish import SpeedWish
from galenastall.state.cell.jobs import AdvisorTiming, Queue, Step
from galenastall.state.cell.phases import RunEnd
from galenastall.state.cell.speeds import (
    MAX_HOST_NAME_BYTES,
    MAX_STORED_HOSTS,
    SPEEDS_KEY,
    HostSpeedRow,
    SpeedsRow,
    encode_speeds,
)
from galenastall.state.resources import Resources

WORKLOADS = Path(__file__).parents[1] / "examples" / "cell-load"
SICK = {"e1", "e3", "e5"}
UNEVEN = (0.6, 1.0, 1.6)
HEALTHY = (0.8, 1.0, 1.25)
URGENT = Queue(name="urgent", service="s", priority=0, stretch=1.5, target_s=0.3, max_attempts=9)
HOSTS = 30
RECORD_BYTES = 262_144
"""The longest record of the platform's store."""


def speed_on(host: str, speeds: tuple[float, ...]) -> float:
    return speeds[int(host.removeprefix("e")) % len(speeds)]


class Cell(Harness):
    """Executors of several speeds that run one step after the other to its end."""

    def __init__(
        self,
        speeds: tuple[float, ...],
        *,
        seed: int = 0,
        tail_share: float = 0.0,
        uneven: float = 0.3,
        spread: float = 0.0,
        rows: dict[str, bytes] | None = None,
    ) -> None:
        infos = [make_info(f"e{number}", cores=2000) for number in range(HOSTS)]
        super().__init__(*infos, rows=rows)
        self.speeds = speeds
        self.rng = Random(seed)
        self.tail_share = tail_share
        self.uneven = uneven
        self.spread = spread
        """Standard deviation of the logarithm of run times, instead of `uneven` if above 0."""
        self.position = 0
        self.jobs = 0
        self.silent: set[str] = set()
        """Executors that answer no call."""
        self.was_on: list[list[str]] = []

    def of(self, host: str) -> float:
        return self.core._state.speeds.of(host)

    def mean_of(self, speed: float) -> float:
        """Return the mean learned speed of the hosts that really have this one."""
        learned = [
            self.of(f"e{n}") for n in range(HOSTS) if speed_on(f"e{n}", self.speeds) == speed
        ]
        return sum(learned) / len(learned)

    def run_steps(
        self,
        *steps: Step,
        queue: Queue | None = None,
        usual_s: float = 2.0,
        late_hosts: Collection[str] = (),
    ) -> None:
        """Run a job of each step to its end, all at once.

        Executors on `late_hosts` answer no call until 5 s after the last end.
        """
        for step in steps:
            self.jobs += 1
            job = make_job(step, job_id=f"{self.jobs:016x}", submitted_at=self.wall)
            self.submit(replace(job, queue=queue) if queue else job)
        orders = self.step()
        self.confirm_starts(orders)
        begun_at = self.now
        self.silent = set(late_hosts)
        ends = sorted((self.run_s(order.executor_id, usual_s), order) for order in orders)
        for run_s, order in ends:
            self.poll_until(begun_at + run_s)
            self.position += 1
            if order.executor_id not in self.silent:
                self.end(order, RunEnd.DONE, self.position)
        self.poll_until(self.now + 5.0 if self.silent else self.now)
        for executor_id in self.silent:
            self.list_ends(executor_id, [order for _, order in ends])
        self.silent.clear()
        self.now += 0.6
        for info in self.infos:
            self.listing(info.executor_id)
        self.step()
        self.was_on.append([order.executor_id for order in orders])

    def list_ends(self, executor_id: str, orders: list[StartOrder]) -> None:
        """List the ends of all runs on an executor at once."""
        there = [order for order in orders if order.executor_id == executor_id]
        ends = [
            ListedEnd(position=self.position + n, task=o.task, run=o.run, end=RunEnd.DONE)
            for n, o in enumerate(there, start=1)
        ]
        self.position += len(ends)
        self.listing(executor_id, (), *ends)

    def poll_until(self, at: float) -> None:
        """Advance the time to `at`; each second all executors list what they run."""
        while at - self.now > 1.0:
            self.now += 1.0
            for executor_id, executor in self.core.executors_by_id.items():
                if executor_id in self.silent:
                    continue
                runs = executor.runs_by_task.items()
                self.listing(executor_id, tuple(ListedRun(task=t, run=r) for t, r in runs))
        self.now = at

    def run_s(self, executor_id: str, usual_s: float) -> float:
        factor = 7.0 if self.rng.random() < self.tail_share else 1.0
        if self.spread:
            factor *= exp(self.rng.gauss(0.0, self.spread))
        else:
            factor *= self.rng.uniform(1.0 - self.uneven, 1.0 + self.uneven)
        return factor * usual_s / speed_on(executor_id, self.speeds)

    def run_small_steps(
        self,
        steps: int,
        *,
        count: int,
        off: float,
        late_begin_s: float = 0.0,
        inherits: bool = False,
    ) -> None:
        """Note the ends of steps of `count` runs whose declared times are off by `off`.

        Each begin is learned `late_begin_s` late, or by a later leader if `inherits`.
        """
        state = self.core._state
        for number in range(steps):
            estimate_s = 3.0 * exp(self.rng.gauss(0.0, off))
            job = JobRun(job=make_job(make_step(count, estimate_s=estimate_s)))
            job.open_due(self.wall)
            step = job.occurrences_by_number[0].steps[0]
            for task in step.tasks:
                executor = state.executors_by_id[f"e{self.rng.randrange(HOSTS)}"]
                task.began_at = state.now - self.run_s(executor.executor_id, 2.0)
                task.assigned_at = 0.0 if inherits else task.began_at
                task.began_at += late_begin_s
                executor.answered_before_at = state.now
                self.core._ends.samples.on_done(job, step, task, executor)
            if number % 10 == 0:
                self.now += 0.6
                self.step()
        self.now += 0.6
        self.step()

    def learn(self, rounds: int = 8) -> None:
        for _ in range(rounds):
            self.run_steps(make_step(60, cores=900))


class TestLearning:
    @pytest.mark.parametrize("tail_share", [0.0, 0.03])
    @pytest.mark.parametrize("seed", range(3))
    def test_speeds_are_learned_from_some_runs_a_host(self, seed: int, tail_share: float) -> None:
        cell = Cell(UNEVEN, seed=seed, tail_share=tail_share)
        cell.learn()
        for speed in UNEVEN:
            assert cell.mean_of(speed) == pytest.approx(speed, rel=0.2)
        assert cell.core.hosts_by_speed[SpeedClass.FAST] in range(8, 13)
        assert cell.core.hosts_by_speed[SpeedClass.SLOW] in range(8, 13)

    @pytest.mark.parametrize("off", [0.0, 0.5, 0.9])
    @pytest.mark.parametrize(("count", "steps"), [(1, 6_000), (3, 2_000)])
    def test_steps_with_few_runs_tell_speeds_whatever_they_declare(
        self, count: int, steps: int, off: float
    ) -> None:
        cell = Cell(UNEVEN)
        cell.run_small_steps(steps, count=count, off=off)
        for speed in UNEVEN:
            assert cell.mean_of(speed) == pytest.approx(speed, rel=0.25)

    @pytest.mark.parametrize("seed", range(3))
    @pytest.mark.parametrize("count", [2, 3, 5])
    def test_some_ten_runs_a_host_of_small_steps_are_enough(self, count: int, seed: int) -> None:
        cell = Cell(UNEVEN, seed=seed, tail_share=0.03)
        cell.run_small_steps(10 * HOSTS // count, count=count, off=0.5)
        assert cell.core._state.speeds.is_in_use
        for speed in UNEVEN:
            assert cell.mean_of(speed) == pytest.approx(speed, rel=0.3)

    @pytest.mark.parametrize("speeds", [(1.0,), HEALTHY])
    @pytest.mark.parametrize("count", [2, 3, 5])
    @pytest.mark.parametrize("spread", [0.0, 0.5, 0.9])
    def test_small_steps_on_one_kind_of_executor_stay_without_effect(
        self, spread: float, count: int, speeds: tuple[float, ...]
    ) -> None:
        cell = Cell(speeds, tail_share=0.03, spread=spread)
        cell.run_small_steps(40 * HOSTS // count, count=count, off=0.9)
        assert {cell.of(f"e{n}") for n in range(HOSTS)} == {1.0}

    @pytest.mark.parametrize("speeds", [(1.0,), HEALTHY])
    def test_speeds_of_one_kind_of_executor_stay_out_of_use(
        self, speeds: tuple[float, ...]
    ) -> None:
        cell = Cell(speeds, tail_share=0.03)
        cell.learn(20)
        assert {cell.of(f"e{n}") for n in range(HOSTS)} == {1.0}
        assert SPEEDS_KEY not in cell.rows

    @pytest.mark.parametrize("uneven", [0.3, 0.7, 0.9])
    @pytest.mark.parametrize("speeds", [(1.0,), HEALTHY])
    def test_tasks_of_one_step_that_differ_much_do_not_look_like_speeds(
        self, speeds: tuple[float, ...], uneven: float
    ) -> None:
        cell = Cell(speeds, spread=uneven)
        cell.learn(12)
        assert {cell.of(f"e{n}") for n in range(HOSTS)} == {1.0}

    def test_ends_that_are_learned_late_tell_no_speed(self) -> None:
        cell = Cell(HEALTHY, uneven=0.15)
        step = make_step(8 * HOSTS, cores=200)
        cell.run_steps(step, usual_s=1.0)
        cell.run_steps(step, usual_s=1.0, late_hosts={f"e{n}" for n in range(6)})
        cell.run_steps(step, usual_s=1.0)
        assert {cell.of(f"e{n}") for n in range(HOSTS)} == {1.0}

    @pytest.mark.parametrize("is_inherited", [True, False])
    def test_runs_whose_begin_is_not_known_tell_no_speed(self, is_inherited: bool) -> None:
        cell = Cell(UNEVEN)
        cell.run_small_steps(20 * HOSTS, count=2, off=0.0, late_begin_s=0.8, inherits=is_inherited)
        assert not cell.core._state.speeds.is_in_use

    def test_a_host_with_few_runs_counts_as_usual(self) -> None:
        speeds = ExecutorSpeeds()
        infos = [make_info(f"e{number}") for number in range(HOSTS)]
        for info in infos[1:]:
            teach(speeds, info, speed_on(info.host, UNEVEN))
        speeds.observe(infos[0], log(0.3), variance=0.4)
        speeds.refresh(infos, now=1.0)
        assert speeds.is_in_use
        assert speeds.of("e0") == 1.0

    def test_runs_that_take_many_times_as_long_change_nothing(self) -> None:
        speeds, infos = learned()
        before = speeds.of("e2")
        for _ in range(3):
            speeds.observe(infos[2], log(before / 7.0), variance=0.09)
        speeds.refresh(infos, now=2.0)
        assert speeds.of("e2") == before

    def test_a_change_of_speed_that_lasts_is_learned(self) -> None:
        speeds, infos = learned()
        teach(speeds, infos[2], 0.25, times=30)
        speeds.refresh(infos, now=2.0)
        assert speeds.of("e2") == pytest.approx(0.25, rel=0.2)

    @pytest.mark.parametrize(
        ("change", "is_kept"),
        [
            ({"executor_id": "e2@9"}, True),
            ({"executor_id": "e2@9", "labels": ("b",)}, False),
            ({"executor_id": "e2@9", "capacity": Resources(cores_milli=9, memory_mb=9)}, False),
        ],
    )
    def test_a_host_with_another_kind_of_executor_is_learned_anew(
        self, change: dict[str, object], is_kept: bool
    ) -> None:
        speeds, infos = learned()
        infos[2] = replace(infos[2], **change)  # type: ignore[arg-type]
        speeds.refresh(infos, now=2.0)
        assert (speeds.of("e2") > 1.4) is is_kept

    def test_a_host_that_is_away_for_seconds_keeps_its_speed(self) -> None:
        speeds, infos = learned()
        speeds.refresh(infos[3:], now=2.0)
        assert speeds.of("e2") == 1.0
        speeds.refresh(infos, now=4.0)
        assert speeds.of("e2") > 1.4

    def test_nothing_is_learned_while_switched_off(self) -> None:
        speeds = ExecutorSpeeds(is_enabled=False)
        infos = [make_info(f"e{number}") for number in range(HOSTS)]
        for info in infos:
            teach(speeds, info, speed_on(info.host, UNEVEN))
        assert speeds.refresh(infos, now=1.0) == []
        assert not speeds.is_in_use

    def test_hosts_beyond_the_bound_are_not_learned(self) -> None:
        speeds = ExecutorSpeeds()
        for number in range(MAX_STORED_HOSTS + 10):
            speeds.observe(make_info(f"e{number}"), 0.0, variance=0.1)
        assert len(speeds._estimates_by_host) == MAX_STORED_HOSTS

    @pytest.mark.parametrize("without", [{"is_gang": True}, {"is_filler": True, "cores": 0}])
    def test_members_of_gangs_and_fillers_tell_nothing(self, without: dict[str, object]) -> None:
        cell = Cell(UNEVEN)
        for _ in range(6):
            cell.run_steps(make_step(30, **{"cores": 900} | without))  # type: ignore[arg-type]
        assert not cell.core._state.speeds._estimates_by_host


def teach(speeds: ExecutorSpeeds, info: ExecutorInfo, speed: float, times: int = 12) -> None:
    for _ in range(times):
        speeds.observe(info, log(speed), variance=0.09)


def learned(speeds: tuple[float, ...] = UNEVEN) -> tuple[ExecutorSpeeds, list[ExecutorInfo]]:
    """Return a table in which `speeds` are in use, and its executors."""
    table = ExecutorSpeeds()
    infos = [make_info(f"e{number}") for number in range(HOSTS)]
    for info in infos:
        teach(table, info, speed_on(info.host, speeds))
    table.refresh(infos, now=1.0)
    return table, infos


def teach_all(harness: Harness, speeds: tuple[float, ...] = UNEVEN) -> None:
    for info in harness.infos:
        teach(harness.core._state.speeds, info, speed_on(info.host, speeds))
    harness.step()


class TestChoice:
    @pytest.mark.parametrize(
        ("queue", "speed"),
        [(URGENT, 1.6), (QUEUE, 0.6), (replace(QUEUE, stretch=0.5, target_s=1.0), 1.6)],
        ids=["urgent", "time to spare", "short of time"],
    )
    @pytest.mark.parametrize("is_gang", [False, True])
    def test_work_goes_to_executors_of_the_speed_that_it_needs(
        self, queue: Queue, speed: float, is_gang: bool
    ) -> None:
        cell = Cell(UNEVEN)
        teach_all(cell)
        step = make_step(8, cores=900, estimate_s=2.0, is_gang=is_gang)
        cell.submit(make_job(step, queue=queue, submitted_at=cell.wall))
        assert {speed_on(order.executor_id, UNEVEN) for order in cell.step()} == {speed}

    @pytest.mark.parametrize(
        ("speeds", "stretch", "speed"),
        [
            ((0.3, 1.0, 1.6), 1.6, 1.0),
            ((0.3, 1.0, 1.6), 2.5, 1.0),
            ((0.3, 1.0, 1.6), 8.0, 0.3),
            (UNEVEN, 1.6, 1.0),
            (UNEVEN, 4.0, 0.6),
        ],
    )
    def test_work_with_little_time_to_spare_does_not_go_where_it_is_late(
        self, speeds: tuple[float, ...], stretch: float, speed: float
    ) -> None:
        cell = Cell(speeds)
        teach_all(cell, speeds)
        queue = replace(QUEUE, stretch=stretch, target_s=0.0)
        step = make_step(8, cores=900, estimate_s=3.0)
        cell.submit(make_job(step, queue=queue, submitted_at=cell.wall))
        assert {speed_on(order.executor_id, speeds) for order in cell.step()} == {speed}

    def test_a_gang_takes_slow_members_only_if_it_is_in_time_there(self) -> None:
        """Its slowest member sets its pace: one of 0.6 would make it late."""
        cell = Cell(UNEVEN)
        teach_all(cell)
        tight = replace(QUEUE, stretch=1.9, target_s=0.0)
        step = make_step(20, cores=1900, estimate_s=3.0, is_gang=True)
        cell.submit(make_job(step, queue=tight, submitted_at=cell.wall))
        assert {speed_on(order.executor_id, UNEVEN) for order in cell.step()} == {1.0, 1.6}

    @pytest.mark.parametrize(("left_s", "speed"), [(30.0, 0.6), (8.0, 1.0), (5.0, 1.6), (1.0, 1.6)])
    def test_a_gang_is_planned_by_its_end_and_not_only_by_its_start(
        self, left_s: float, speed: float
    ) -> None:
        cell = Cell(UNEVEN)
        teach_all(cell)
        state = cell.core._state
        wish = SpeedWish(speeds=state.speeds, done_by=cell.now + left_s)
        gang = make_step(10, cores=1900, estimate_s=6.0, is_gang=True)
        planned = plan_gang(
            cell.core.plan, gang, list(state.executors_by_id.values()), wish, now=cell.now
        )
        assert planned is not None
        slowest = min(speed_on(slot.executor.info.host, UNEVEN) for slot in planned.slots)
        assert slowest == speed

    def test_advice_on_urgent_work_names_fast_executors_first(self) -> None:
        cell = Cell(UNEVEN)
        teach_all(cell)
        advised = replace(
            URGENT, advisor=AdvisorTiming(base_s=0.01, per_executor_s=0.0, validity_s=1.5)
        )
        cell.submit(make_job(make_step(2), queue=advised, submitted_at=cell.wall))
        cell.step()
        (request,) = cell.core.take_advice_requests()
        named = [speed_on(executor_id, UNEVEN) for executor_id in request.executor_ids]
        assert named == sorted(named, reverse=True)
        assert named[0] == 1.6


class TestHealth:
    def observed(self, percents: Callable[[float], int]) -> Harness:
        """Return a cell whose runs gain `percents` of their executor's speed in 2 s."""
        cell = Cell(UNEVEN)
        teach_all(cell)
        cell.submit(make_job(make_step(60, cores=900, estimate_s=10.0, is_checkpointing=True)))
        orders = cell.step()
        cell.confirm_starts(orders)
        for passed_s in (0.0, 2.0):
            cell.now += passed_s
            for info in cell.infos:
                speed = speed_on(info.host, UNEVEN) * (0.3 if info.host in SICK else 1.0)
                percent = percents(speed) if passed_s else 0
                there = [o.task for o in orders if o.executor_id == info.executor_id]
                running = tuple(ListedRun(task=t, run=1, percent=percent) for t in there)
                cell.listing(info.executor_id, running)
        return cell

    def test_sound_slow_executors_are_used_and_those_that_become_slow_are_found(self) -> None:
        cell = self.observed(lambda speed: int(20 * speed))
        assert {stop.executor_id for stop in cell.stops()} == SICK

    def test_a_pause_says_whose_speed_it_is_measured_by(self) -> None:
        cell = self.observed(lambda speed: int(20 * speed))
        cell.stops()
        causes = {n.subjects[0]: n.cause for n in cell.core.take_notes() if "paused" in n.step}
        assert causes.keys() == SICK
        assert all("of its own speed" in cause for cause in causes.values())


class TestRow:
    def test_the_next_leader_knows_the_speeds(self) -> None:
        cell = Cell(UNEVEN)
        cell.learn()
        cell.step()
        after = Cell(UNEVEN, rows=cell.rows)
        after.now += 1.0
        after.step()
        for number in range(HOSTS):
            assert after.of(f"e{number}") == pytest.approx(cell.of(f"e{number}"), rel=0.3)

    def test_it_is_written_seldom_and_only_for_changes_of_weight(self) -> None:
        speeds, infos = learned()
        assert speeds.take_row(now=1.0, wall=1.0) is not None
        teach(speeds, infos[2], 0.3, times=40)
        speeds.refresh(infos, now=5.0)
        assert speeds.take_row(now=5.0, wall=5.0) is None
        assert speeds.take_row(now=11.5, wall=11.5) is not None
        assert speeds.take_row(now=60.0, wall=60.0) is None

    def test_its_size_is_bounded(self) -> None:
        names = (f"{n:0{MAX_HOST_NAME_BYTES}}" for n in range(MAX_STORED_HOSTS))
        hosts = tuple(HostSpeedRow(host=n, kind=2**32 - 1, speed_percent=1000) for n in names)
        assert len(encode_speeds(SpeedsRow(written_at=WALL, hosts=hosts))) < RECORD_BYTES

    def test_a_host_with_a_longer_name_is_left_out(self) -> None:
        infos = [make_info(f"e{n}" + "x" * 40 * (n % 2), cores=2000) for n in range(HOSTS)]
        speeds = ExecutorSpeeds()
        for info in infos:
            teach(speeds, info, UNEVEN[int(info.host.strip("ex")) % 3])
        speeds.refresh(infos, now=1.0)
        row = speeds.take_row(now=1.0, wall=1.0)
        assert row is not None
        assert len(row.hosts) == HOSTS / 2
        assert speeds.take_row(now=20.0, wall=20.0) is None

    def test_a_new_leader_without_a_list_keeps_the_row(self) -> None:
        """It would otherwise delete what it has not been able to use yet."""
        speeds, infos = learned()
        row = speeds.take_row(now=1.0, wall=1.0)
        assert row is not None
        after = ExecutorSpeeds()
        after.restore(row, now=2.0, wall=2.0)
        for now, listed in ((2.0, []), (14.0, infos[:3]), (26.0, infos)):
            after.refresh(listed, now=now)
            assert after.take_row(now=now, wall=now) is None
        assert after.is_in_use

    @pytest.mark.parametrize("stored", ["whole", "half-written", "old", "out of range", "missing"])
    def test_a_row_that_is_of_no_use_costs_only_what_was_learned(self, stored: str) -> None:
        hosts = tuple(
            HostSpeedRow(
                host=f"e{n}",
                kind=kind_of(make_info(f"e{n}", cores=2000)),
                speed_percent=-5 if stored == "out of range" else int(100 * UNEVEN[n % 3]),
            )
            for n in range(HOSTS)
        )
        at = WALL - (MAX_AGE_S + 1.0 if stored == "old" else 1.0)
        value = encode_speeds(SpeedsRow(written_at=at, hosts=hosts))
        rows = {SPEEDS_KEY: value[: len(value) // 2] if stored == "half-written" else value}
        cell = Cell(UNEVEN, rows={} if stored == "missing" else rows)
        cell.now += 1.0
        cell.step()
        assert cell.core._state.speeds.is_in_use is (stored == "whole")
        unreadable = [n for n in cell.core.take_notes() if n.step == "rows.unreadable"]
        assert bool(unreadable) is (stored in {"half-written", "old"})
        cell.run_steps(make_step(60, cores=900))
        assert len(cell.was_on[-1]) == 60

    def test_it_is_deleted_once_speeds_are_alike(self) -> None:
        speeds, infos = learned()
        assert speeds.take_row(now=1.0, wall=1.0) is not None
        for info in infos:
            teach(speeds, info, 1.0, times=60)
        speeds.refresh(infos, now=20.0)
        assert not speeds.is_in_use
        assert speeds.take_row(now=20.0, wall=20.0) == SpeedsRow(written_at=20.0)
        assert speeds.take_row(now=40.0, wall=40.0) is None


class TestAlike:
    """Where executors are alike, each start is the same as without speeds."""

    @pytest.mark.parametrize("speeds", [[], [1.0]], ids=["0.8 to 1.25", "equal"])
    def test_orders_are_those_without_speeds(self, speeds: list[float]) -> None:
        whole = load_workload(WORKLOADS / "shifted-176.yaml")
        queues = {
            name: msgspec.structs.replace(load, jobs_per_s=load.jobs_per_s / 4)
            for name, load in whole.queues.items()
        }
        small = msgspec.structs.replace(
            whole, queues=queues, executors=44, speeds=speeds, length_s=8.0, settle_s=4.0
        )
        with_speeds, without = (
            simulate(small, seed=1, without=off) for off in ((), (Mechanism.SPEEDS,))
        )
        assert _what_happened(with_speeds) == _what_happened(without)


def _what_happened(result: SimulationResult) -> tuple[object, ...]:
    ends = [(each.started_s, each.done_s, each.phase) for each in result.outcomes]
    samples = [(each.in_use, each.waiting_jobs) for each in result.samples]
    return (ends, samples, result.starts, result.advice_calls)
