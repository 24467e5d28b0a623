"""Choice of executors for the tasks of a step, one by one."""

from random import Random

import pytest

from cell.rig import Harness, make_info, make_job, make_step
from galenastall.coordination.cell.fitting import SingleChoices, choose
from galenastall.coordination.cell.forecast import Forecast
from galenastall.coordination.cell.job_runs import JobRun, StepRun
from galenastall.coordination.cell.reservation_plan import ReservationPlan
from galenastall.coordination.cell.task_runs import TaskRun
from galenastall.state.cell.jobs import StepKey


class Fleet:
    """Executors with free capacity, and a step whose tasks are to be placed on them."""

    def __init__(self, seed: int) -> None:
        rng = Random(seed)
        infos = [make_info(f"e{n:03}", cores=rng.randrange(500, 9000)) for n in range(30)]
        harness = Harness(*infos)
        most = rng.choice([0, 0, 2])
        step = make_step(60, cores=rng.choice([700, 1500, 2500]), most_per_executor=most)
        self.job = JobRun(job=make_job(step))
        self.job.open_due(harness.wall)
        self.state = harness.core._state
        self.state.jobs_by_id[self.job.job.job_id] = self.job
        self.plan = ReservationPlan(forecast=Forecast(state=self.state))
        self.plan.begin(now=harness.now, fleet_size=len(infos))
        pressing = make_step(1, cores=3000, estimate_s=60.0)
        self.plan.reserve_for_singles(pressing, 2, self.state.executors_by_id.values())
        for task in self.step.tasks:
            if rng.random() < 0.1:
                task.avoided = frozenset(rng.sample(sorted(self.state.executors_by_id), 3))

    @property
    def step(self) -> StepRun:
        found = self.job.find_step(StepKey(self.job.job.job_id, 0, 0))
        assert found is not None
        return found

    def give(self, task: TaskRun, executor_id: str) -> None:
        executor = self.state.executors_by_id[executor_id]
        self.state.assign(task, self.step, executor, 1, 0.0)
        self.plan.use(executor, self.step.step)


class TestSingleChoices:
    @pytest.mark.parametrize("seed", range(20))
    def test_choices_match_a_full_search_for_each_task(self, seed: int) -> None:
        one, other = Fleet(seed), Fleet(seed)
        choices = SingleChoices(one.state.executors_by_id.values(), one.step, one.plan)
        placed = 0
        for task, twin in zip(one.step.tasks, other.step.tasks, strict=True):
            chosen = choices.choose(task)
            expected = choose(other.state.executors_by_id.values(), other.step, twin, other.plan)
            assert (chosen and chosen.executor_id) == (expected and expected.executor_id)
            if chosen is None:
                break
            placed += 1
            one.give(task, chosen.executor_id)
            other.give(twin, chosen.executor_id)
        assert placed > 5
        assert one.plan.withheld == other.plan.withheld
