"""Random faults, one or two at a time, on the mock clock; the seeds are fixed."""

import random
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
import trio

from galenastall.standin.faults import LogFaults, WorkerFaults
from galenastall.state.ids import JobId
from galenastall.state.work import TaskPhase, Urgency, Workload
from job_cluster import Cluster, make_spec, open_cluster

JOBS = ("batch", "once", "gang-one", "gang-two", "urgent")


class Chaos:
    """Injects and heals faults one after the other."""

    def __init__(self, *, cluster: Cluster, seed: int) -> None:
        self.cluster = cluster
        self.rng = random.Random(seed)
        self.replacements = 0

    async def run(self, steps: int) -> None:
        faults: list[Callable[[], Awaitable[None]]] = [
            self.replace_host,
            self.move_ownership,
            self.isolate_host,
            self.make_worker_unresponsive,
            self.lose_worker_answers,
            self.lose_peer_answers,
            self.log_outage,
        ]
        for _ in range(steps):
            for fault in self.rng.sample(faults, self.rng.randint(1, 2)):
                await fault()
            await trio.sleep(self.rng.uniform(0.5, 8.0))

    async def heal(self) -> None:
        self.cluster.net.cut.clear()
        self.cluster.net.lose_answer = lambda _a, _b, _m: False
        self.cluster.platform.log.set_faults(LogFaults())
        for worker in self.cluster.worker_names():
            self.cluster.platform.workers.set_faults(worker, WorkerFaults())

    async def replace_host(self) -> None:
        old = self.rng.choice(sorted(self.cluster.hosts))
        self.cluster.kill(old)
        self.cluster.platform.log.set_faults(LogFaults())
        self.cluster.owners.roster.discard(old)
        self.replacements += 1
        await self.cluster.start(f"n{self.replacements}")
        self.cluster.spread()

    async def move_ownership(self) -> None:
        names = sorted(self.cluster.hosts)
        for worker in self.cluster.worker_names():
            self.cluster.assign_worker(worker, self.rng.choice(names))
        for shard in range(self.cluster.shards):
            self.cluster.assign_shard(shard, self.rng.choice(names))

    async def isolate_host(self) -> None:
        if self.cluster.net.cut:
            self.cluster.net.cut.clear()
            return
        self.cluster.net.isolate(self.rng.choice(sorted(self.cluster.hosts)), self.cluster.hosts)

    async def make_worker_unresponsive(self) -> None:
        worker = self.rng.choice(self.cluster.worker_names())
        faults = self.rng.choice(
            [WorkerFaults(unreachable=True), WorkerFaults(paused=True), WorkerFaults()]
        )
        self.cluster.platform.workers.set_faults(worker, faults)

    async def lose_worker_answers(self) -> None:
        worker = self.rng.choice(self.cluster.worker_names())
        faults = WorkerFaults(drop_after=0.5, drop_before=0.2, delay_s=0.05)
        self.cluster.platform.workers.set_faults(worker, faults)

    async def lose_peer_answers(self) -> None:
        rng = random.Random(self.rng.random())
        self.cluster.net.lose_answer = lambda _a, _b, _m: rng.random() < 0.3

    async def log_outage(self) -> None:
        self.cluster.platform.log.set_faults(LogFaults(outage=self.rng.random() < 0.5))


class TestChaos:
    # Seed 183 ended an attempt elsewhere while an isolated host still had the task queued.
    @pytest.mark.parametrize("seed", [*range(8), 183])
    async def test_nothing_runs_twice_and_no_job_is_lost(
        self, autojump_clock: Any, seed: int
    ) -> None:
        async with open_cluster(names="abc", workers=6, shards=3) as cluster:
            await cluster.submit(make_spec("batch", tasks=80, run_s=6.0))
            await cluster.submit(make_spec("once", tasks=30, run_s=6.0, idempotent=False))
            for name in ("gang-one", "gang-two"):
                await cluster.submit(make_spec(name, tasks=10, workload=Workload.GANG))
            await cluster.submit(make_spec("urgent", tasks=10, urgency=Urgency.URGENT))
            chaos = Chaos(cluster=cluster, seed=seed)
            await chaos.run(steps=8)
            cluster.assert_no_violations()
            await chaos.heal()
            await cluster.until(lambda: all(cluster.ended(name) for name in JOBS), limit_s=900)
            cluster.assert_no_violations()
            assert cluster.running() == {}
            fold = next(iter(cluster.hosts.values())).fold
            for name in ("batch", "urgent", "gang-one", "gang-two"):
                job = fold.get(JobId(name))
                assert job is not None
                assert job.count(TaskPhase.DONE) == job.spec.tasks, name
            once = fold.get(JobId("once"))
            assert once is not None
            assert once.count(TaskPhase.DONE) + once.count(TaskPhase.UNKNOWN) == 30
