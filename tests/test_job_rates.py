"""What happens to jobs that a workspace submits beyond its rate."""

import pytest

from cell.rig import JOB, WALL, Harness, make_info, make_job, make_step
from galenastall.coordination.cell.job_rates import BURST_S, JobRates
from galenastall.coordination.cell.scheduler import CellScheduler
from galenastall.coordination.cell.timings import CellTimings
from galenastall.state.cell.rows import decode_rows
from galenastall.state.cell.workspaces import Workspace

OTHER = "fedcba9876543210"


class TestRates:
    @pytest.mark.parametrize("weight", [1.0, 4.0, 19.0])
    def test_a_steady_rate_is_within(self, weight: float) -> None:
        rates, workspace = JobRates(), Workspace(name="a", weight=weight)
        assert all(rates.is_within(workspace, wall=n / weight) for n in range(200))

    def test_ten_times_the_rate_is_mostly_beyond(self) -> None:
        rates, workspace = JobRates(), Workspace(name="a", weight=2.0)
        within = sum(rates.is_within(workspace, wall=n / 20.0) for n in range(400))
        assert within == int(2.0 * (BURST_S + 399 / 20.0))

    def test_each_workspace_has_its_own_bucket(self) -> None:
        rates = JobRates()
        for _ in range(100):
            rates.is_within(Workspace(name="a", weight=1.0), wall=0.0)
        assert rates.is_within(Workspace(name="b", weight=1.0), wall=0.0)

    def test_a_clock_that_jumps_back_takes_nothing_away(self) -> None:
        rates, workspace = JobRates(), Workspace(name="a", weight=1.0)
        for _ in range(100):
            rates.is_within(workspace, wall=1000.0)
        assert not rates.is_within(workspace, wall=900.0)
        assert rates.is_within(workspace, wall=901.5)


class TestOrder:
    def make(self) -> Harness:
        harness = Harness(make_info("e0"))
        harness.core.set_workspaces(
            [Workspace(name="a", weight=0.1), Workspace(name="b", weight=5.0)]
        )
        return harness

    def test_jobs_beyond_the_rate_go_after_jobs_within_it(self) -> None:
        harness = self.make()
        for number in range(3):
            job_id = f"{number:016x}"
            harness.submit(make_job(make_step(2, estimate_s=0.5), job_id=job_id, workspace="a"))
        harness.submit(make_job(make_step(2, estimate_s=5.0), job_id=OTHER, workspace="b"))
        started = [order.task.job for order in harness.step()]
        assert started == [f"{0:016x}"] * 2 + [OTHER] * 2

    def test_jobs_beyond_the_rate_use_spare_capacity(self) -> None:
        harness = self.make()
        for number in range(2):
            harness.submit(make_job(make_step(2), job_id=f"{number:016x}", workspace="a"))
        assert len(harness.step()) == 4

    def test_the_next_leader_decides_the_same(self) -> None:
        harness = self.make()
        for number in range(3):
            job_id = f"{number:016x}"
            job = make_job(make_step(2), job_id=job_id, workspace="a", submitted_at=WALL + number)
            harness.submit(job)
        later = CellScheduler(timings=CellTimings(), fenced_at=harness.now)
        later.set_workspaces([Workspace(name="a", weight=0.1)])
        later.restore(decode_rows(harness.rows), wall=harness.wall)
        judged = [later.jobs_by_id[f"{n:016x}"].is_within_rate for n in range(3)]
        assert judged == [True, False, False]
        assert JOB not in later.jobs_by_id
