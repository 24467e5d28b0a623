"""Writes of a leader that exceed the store's limit for one append.

All changes since the last append went into one, and a failed append was retried unchanged. A store
always refuses an append above its limit, so after an outage in which changes had accumulated the
leader retried forever and accepted and started nothing more. With 22 hosts of callers and jobs of
150 tasks, some 150 changed jobs make up the 2 MB that a store accepts.
"""

from random import Random

import msgspec
import trio
from returns.result import Result

from cell.cluster import Cluster, make_job
from cell.scenarios import check_all_end, run_scenario, submit_jobs
from cell.simulation import Simulation
from galenastall.coordination.cell.job_runs import JobRun
from galenastall.platform.submissions import decode_job
from galenastall.state.cell.jobs import CellJob, Queue
from galenastall.state.cell.phases import JobPhase, TaskPhase
from galenastall.state.cell.rows import encode_progress
from galenastall.state.errors import Reason, StepError

FEW_BYTES = 1_200
"""A limit of the store that the rows of one job stay below, and those of ten exceed."""
JOBS = 30
RECORD_BYTES = 262_144
QUEUE = Queue(name="q", service="s")


class TestAppendsAboveTheLimit:
    async def test_changes_that_gathered_are_written_in_parts(self, autojump_clock: object) -> None:
        async def scenario(cluster: Cluster, world: Simulation, rng: Random) -> None:
            world.fail_share = 0.0
            world.store.append_bytes = FEW_BYTES
            await cluster.wait_for_leader()
            await submit_jobs(cluster, world, rng, JOBS, 0.0)
            await trio.sleep(2.0)
            await check_all_end(cluster)
            assert len(cluster.accepted) == JOBS
            phases = {await cluster.phase(job) for job in cluster.accepted}
            assert phases == {JobPhase.COMPLETED}
            assert world.store.largest_append <= FEW_BYTES
            assert len(world.store.claims) == 1

        await run_scenario(scenario, seed=1)

    async def test_a_leader_lost_between_two_parts_leaves_nothing_behind(
        self, autojump_clock: object
    ) -> None:
        async def scenario(cluster: Cluster, world: Simulation, rng: Random) -> None:
            world.fail_share = 0.0
            world.store.append_bytes = FEW_BYTES
            await cluster.wait_for_leader()
            for turn in range(4):
                for number in range(turn * JOBS, (turn + 1) * JOBS):
                    cluster.nursery.start_soon(cluster.submit, make_job(world, rng, number))
                await trio.sleep(rng.uniform(0.01, 0.06))
                leader = cluster.leader
                if leader is not None:
                    cluster.kill(leader)
                    await cluster.start(leader)
                await trio.sleep(3.0)
            await check_all_end(cluster)
            assert len(cluster.accepted) > JOBS

        await run_scenario(scenario, seed=3)


class TestRowsAboveTheLimit:
    """A job's progress is one row, and a store limits the size of a row."""

    def decode(self, *counts: int) -> Result[CellJob, StepError]:
        body = msgspec.json.encode({"steps": [{"count": count} for count in counts]})
        return decode_job(body, job_id="0" * 16, queue=QUEUE, wall=0.0, peer="caller")

    def test_the_largest_job_that_is_taken_fits_into_a_row(self) -> None:
        run = JobRun(job=self.decode(2_000, 2_000).unwrap())
        run.open_due(0.0)
        for task in run.tasks():
            task.phase, task.run, task.failures = TaskPhase.ASSIGNED, 30_000, 100
            task.executor_id, task.checkpoint = "i-" + "0" * 16, "0" * 16
        assert len(encode_progress(run.row())) < RECORD_BYTES

    def test_a_larger_one_is_refused_with_its_number_of_tasks(self) -> None:
        error = self.decode(2_000, 2_001).failure()
        assert error.reason is Reason.INVALID
        assert "steps" in error.detail
        assert "4001" in error.detail
