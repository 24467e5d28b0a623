import random
from collections.abc import Iterator
from dataclasses import dataclass, field

import pytest
from hypothesis import given
from hypothesis import strategies as st

from galenastall.coordination.jobs.gangs import Gang, GangPhase, GangStep, GangStepKind
from galenastall.coordination.placement.task_reports import ReportKind
from galenastall.state.ids import HostId, JobId

HOSTS = (HostId("h1"), HostId("h2"), HostId("h3"))
CAPACITY = 6


@dataclass
class Owner:
    """A worker owner with capacity for some tasks, which holds, starts, releases and stops them."""

    room: int = CAPACITY
    held: dict[str, tuple[int, float]] = field(default_factory=dict)
    started: set[str] = field(default_factory=set)
    running: set[tuple[str, int]] = field(default_factory=set)
    refuses_starts: bool = False

    def used(self, now: float) -> int:
        self.held = {key: held for key, held in self.held.items() if held[1] > now}
        return sum(count for count, _ in self.held.values()) + len(self.running)

    def take(self, step: GangStep, now: float) -> bool:
        free = self.room - self.used(now)
        if step.kind is GangStepKind.HOLD:
            if step.key in self.held:
                return True
            if len(step.indices) > free or step.until <= now or step.key in self.started:
                return False
            self.held[step.key] = (len(step.indices), step.until)
            return True
        if step.kind is GangStepKind.RELEASE:
            self.held.pop(step.key, None)
            return True
        if step.kind is GangStepKind.STOP:
            self.held.pop(step.key, None)
            self.running -= {(step.key, index) for index in step.indices}
            return True
        if step.key in self.started:
            return True
        if self.held.pop(step.key, None) is None or self.refuses_starts:
            return False
        self.started.add(step.key)
        self.running |= {(step.key, index) for index in step.indices}
        return True


class Simulation:
    """Gangs that compete for owners over a network that delays and loses messages."""

    def __init__(self, *, seed: int, sizes: list[int], loss: float) -> None:
        self.rng = random.Random(seed)
        self.loss = loss
        self.now = 0.0
        self.owners = {host: Owner() for host in HOSTS}
        self.gangs = [
            Gang(job_id=JobId(f"g{index}"), tasks=size) for index, size in enumerate(sizes)
        ]
        self.pending: list[tuple[Gang, GangStep]] = []
        self.finished: set[JobId] = set()

    def plan(self, size: int) -> dict[HostId, int]:
        hosts = list(HOSTS)
        self.rng.shuffle(hosts)
        plan: dict[HostId, int] = {}
        for host in hosts:
            count = min(size - sum(plan.values()), self.rng.randint(1, CAPACITY))
            if count > 0:
                plan[host] = count
        missing = size - sum(plan.values())
        for host in hosts:
            more = min(missing, CAPACITY - plan.get(host, 0))
            plan[host] = plan.get(host, 0) + more
            missing -= more
        return {host: count for host, count in plan.items() if count}

    def step(self) -> None:
        self.now += self.rng.random() * 0.4
        for index, gang in enumerate(self.gangs):
            if gang.phase is GangPhase.WAITING and gang.not_before <= self.now:
                attempt = gang.attempt + 1
                plan = self.plan(gang._tasks)
                self._push(gang, gang.begin(plan, attempt=attempt, now=self.now))
            elif self.rng.random() < 0.3:
                self._push(gang, gang.tick(self.now))
            if gang.phase is GangPhase.ENDED and JobId(f"g{index}") not in self.finished:
                done = all(k is ReportKind.DONE for k in gang.kind_by_index.values())
                if done:
                    self.finished.add(JobId(f"g{index}"))
                else:
                    gang.retry(self.now)
        self.rng.shuffle(self.pending)
        for _ in range(self.rng.randint(1, 4)):
            if self.pending:
                self._deliver(*self.pending.pop())

    def _push(self, gang: Gang, steps: list[GangStep]) -> None:
        self.pending.extend((gang, step) for step in steps)

    def _deliver(self, gang: Gang, step: GangStep) -> None:
        if self.rng.random() < self.loss:
            self._unanswered(gang, step)
            return
        ok = self.owners[step.host].take(step, self.now)
        if self.rng.random() < self.loss:
            self._unanswered(gang, step)
            return
        if step.kind is GangStepKind.HOLD:
            self._push(gang, gang.on_hold(step.host, step.key, is_held=ok, now=self.now))
        elif step.kind is GangStepKind.START:
            self._push(gang, gang.on_start(step.host, step.key, is_started=ok, now=self.now))
        elif step.kind is GangStepKind.STOP and step.key == gang.key:
            for index in step.indices:
                steps = gang.on_report(index, gang.attempt, ReportKind.STOPPED, self.now)
                self._push(gang, steps)

    def _unanswered(self, gang: Gang, step: GangStep) -> None:
        if step.kind is GangStepKind.HOLD:
            self._push(gang, gang.on_hold(step.host, step.key, is_held=False, now=self.now))

    def running_of(self, gang: Gang) -> Iterator[tuple[str, int]]:
        for owner in self.owners.values():
            yield from (each for each in owner.running if each[0].startswith(f"{gang._job_id}#"))

    def settle(self, steps: int) -> None:
        """Run without faults; started gangs run to their end so that others get capacity."""
        self.loss = 0.0
        for owner in self.owners.values():
            owner.refuses_starts = False
        for _ in range(steps):
            self.step()
            for gang in self.gangs:
                if gang.phase is GangPhase.STARTED:
                    self._run_to_end(gang)

    def _run_to_end(self, gang: Gang) -> None:
        for owner in self.owners.values():
            owner.running = {each for each in owner.running if each[0] != gang.key}
        for index in range(gang._tasks):
            gang.on_report(index, gang.attempt, ReportKind.DONE, self.now)


class TestGangs:
    @given(
        st.integers(0, 10**6),
        st.lists(st.integers(2, 3 * CAPACITY), min_size=1, max_size=4),
        st.sampled_from([0.0, 0.1, 0.4]),
    )
    def test_no_deadlock_and_no_part_left_behind(
        self, seed: int, sizes: list[int], loss: float
    ) -> None:
        simulation = Simulation(seed=seed, sizes=sizes, loss=loss)
        for _ in range(60):
            simulation.owners[simulation.rng.choice(HOSTS)].refuses_starts = (
                simulation.rng.random() < 0.2
            )
            simulation.step()
            for gang in simulation.gangs:
                if gang.phase is GangPhase.STARTED:
                    assert len(list(simulation.running_of(gang))) == gang._tasks
        simulation.settle(4000)
        assert len(simulation.finished) == len(sizes)
        assert all(not owner.running for owner in simulation.owners.values())
        assert all(owner.used(simulation.now + 60) == 0 for owner in simulation.owners.values())

    def test_holds_are_asked_for_in_host_id_order_one_at_a_time(self) -> None:
        gang = Gang(job_id=JobId("g"), tasks=3)
        plan = {HostId("z"): 1, HostId("a"): 1, HostId("m"): 1}
        order: list[str] = []
        steps = gang.begin(plan, attempt=1, now=0.0)
        while steps[0].kind is GangStepKind.HOLD:
            assert len(steps) == 1
            order.append(steps[0].host)
            steps = gang.on_hold(steps[0].host, steps[0].key, is_held=True, now=0.0)
        assert order == ["a", "m", "z"]
        assert [step.kind for step in steps] == [GangStepKind.START] * 3

    def test_too_late_holds_are_released_rather_than_started(self) -> None:
        gang = Gang(job_id=JobId("g"), tasks=2, hold_s=5.0)
        (step,) = gang.begin({HostId("a"): 2}, attempt=1, now=0.0)
        steps = gang.on_hold(step.host, step.key, is_held=True, now=4.0)
        assert [each.kind for each in steps] == [GangStepKind.RELEASE]
        assert gang.phase is GangPhase.WAITING

    def test_answers_to_an_earlier_attempt_change_nothing(self) -> None:
        gang = Gang(job_id=JobId("g"), tasks=2)
        (step,) = gang.begin({HostId("a"): 2}, attempt=1, now=0.0)
        gang.on_hold(step.host, step.key, is_held=False, now=0.0)
        gang.begin({HostId("a"): 2}, attempt=2, now=9.0)
        assert gang.on_hold(step.host, step.key, is_held=True, now=9.0) == []
        assert gang.phase is GangPhase.HOLDING

    def test_plan_that_does_not_cover_the_gang_is_a_defect(self) -> None:
        with pytest.raises(ValueError, match="plan for 1 of 2"):
            Gang(job_id=JobId("g"), tasks=2).begin({HostId("a"): 1}, attempt=1, now=0.0)
