from typing import Any

from galenastall.state.ids import HostId, JobId
from galenastall.state.work import TaskPhase, Workload
from job_cluster import make_spec, open_cluster


class TestBatch:
    async def test_all_tasks_run_once_and_the_job_ends(self, autojump_clock: Any) -> None:
        async with open_cluster() as cluster:
            await cluster.submit(make_spec("j", tasks=40))
            await cluster.until(lambda: cluster.ended("j"))
            cluster.assert_no_violations()
            job = cluster.hosts[HostId("a")].fold.get(JobId("j"))
            assert job is not None
            assert job.count(TaskPhase.DONE) == 40
            assert all(cluster.starts_of(f"j/{index}") == 1 for index in range(40))


class TestGang:
    async def test_gang_over_two_owners_starts_completely(self, autojump_clock: Any) -> None:
        async with open_cluster() as cluster:
            await cluster.submit(make_spec("g", tasks=12, workload=Workload.GANG))
            await cluster.until(lambda: len(cluster.running()) == 12)
            await cluster.until(lambda: cluster.ended("g"))
            cluster.assert_no_violations()
