"""Failures injected on the mock clock; nothing may run twice."""

from dataclasses import replace
from typing import Any

import pytest
import trio

from galenastall.node.jobs.job_intake import Durability
from galenastall.node.jobs.job_link import CALL_TIMEOUT_S
from galenastall.node.jobs.job_timings import JobTimings
from galenastall.protocol.job_messages import TaskAssign
from galenastall.standin.faults import LogFaults, WorkerFaults
from galenastall.state.errors import Reason
from galenastall.state.ids import HostId, JobId
from galenastall.state.resources import Resources
from galenastall.state.work import TaskPhase, Workload
from job_cluster import Cluster, make_spec, open_cluster

A, B, C = HostId("a"), HostId("b"), HostId("c")


def set_all_workers(cluster: Cluster, faults: WorkerFaults) -> None:
    for worker in cluster.worker_names():
        cluster.platform.workers.set_faults(worker, faults)


def done_count(cluster: Cluster, job: str) -> int:
    host = next(iter(cluster.hosts.values()))
    state = host.fold.get(JobId(job))
    return state.count(TaskPhase.DONE) if state else 0


class TestLostAnswers:
    async def test_lost_start_answers_never_make_two_runs(self, autojump_clock: Any) -> None:
        async with open_cluster() as cluster:
            set_all_workers(cluster, WorkerFaults(drop_after=0.3, drop_before=0.2))
            await cluster.submit(make_spec("j", tasks=40))
            await cluster.until(lambda: cluster.ended("j"), limit_s=600)
            cluster.assert_no_violations()
            assert done_count(cluster, "j") == 40
            assert all(cluster.starts_of(f"j/{index}") == 1 for index in range(40))

    async def test_lost_answers_between_hosts_never_make_two_runs(
        self, autojump_clock: Any
    ) -> None:
        async with open_cluster() as cluster:
            calls = 0

            def lose_every_third(_sender: HostId, _peer: HostId, _message: Any) -> bool:
                nonlocal calls
                calls += 1
                return calls % 3 == 0

            cluster.net.lose_answer = lose_every_third
            await cluster.submit(make_spec("j", tasks=60, idempotent=False))
            await cluster.submit(make_spec("g", tasks=10, workload=Workload.GANG))
            await cluster.until(lambda: cluster.ended("j") and cluster.ended("g"), limit_s=600)
            cluster.assert_no_violations()
            assert done_count(cluster, "j") == 60


class TestOwnerDies:
    @pytest.mark.parametrize("idempotent", [True, False])
    async def test_workers_and_shards_go_to_a_peer(
        self, autojump_clock: Any, idempotent: bool
    ) -> None:
        async with open_cluster(names="abc") as cluster:
            await cluster.submit(make_spec("j", tasks=60, idempotent=idempotent))
            await trio.sleep(3)
            running = cluster.running()
            cluster.kill("b")
            await trio.sleep(3)
            cluster.owners.roster.discard(B)
            cluster.spread()
            await cluster.until(lambda: cluster.ended("j"), limit_s=300)
            cluster.assert_no_violations()
            assert done_count(cluster, "j") == 60
            assert all(cluster.starts_of(task) == 1 for task in running)

    async def test_dead_host_that_stays_in_the_roster_does_not_block(
        self, autojump_clock: Any
    ) -> None:
        async with open_cluster(names="abc") as cluster:
            await cluster.submit(make_spec("j", tasks=60))
            await trio.sleep(3)
            cluster.kill("b")
            cluster.spread()
            await cluster.until(lambda: cluster.ended("j"), limit_s=300)
            cluster.assert_no_violations()
            assert done_count(cluster, "j") == 60

    async def test_restarted_host_of_the_same_name_is_another_process(
        self, autojump_clock: Any
    ) -> None:
        async with open_cluster(names="ab", shards=1) as cluster:
            await trio.sleep(3)  # Until the shard's owner knows of b's workers.
            await cluster.submit(make_spec("j", tasks=60))
            await trio.sleep(2)
            assert cluster.hosts[B].workers.assigned.queued_of(0)
            cluster.kill("b")
            await cluster.start("b")
            for worker in ("w1", "w3"):
                cluster.assign_worker(worker, "b")
            await cluster.until(lambda: cluster.ended("j"), limit_s=300)
            cluster.assert_no_violations()
            assert done_count(cluster, "j") == 60

    async def test_all_entry_hosts_replaced_recovers_from_log_and_workers(
        self, autojump_clock: Any
    ) -> None:
        async with open_cluster(names="ab") as cluster:
            await cluster.submit(make_spec("g", tasks=4, workload=Workload.GANG, run_s=20.0))
            await cluster.submit(make_spec("s", tasks=2, workload=Workload.SERVICE, run_s=None))
            await cluster.until(lambda: len(cluster.running()) == 6)
            await cluster.submit(make_spec("j", tasks=80))
            await cluster.until(lambda: len(cluster.running()) == 16)
            running = cluster.running()
            for name in "ab":
                cluster.kill(name)
            cluster.owners.roster.clear()
            await trio.sleep(2)
            for name in "cd":
                await cluster.start(name)
            cluster.spread()
            await cluster.until(lambda: cluster.ended("j") and cluster.ended("g"), limit_s=300)
            cluster.assert_no_violations()
            assert done_count(cluster, "j") == 80
            assert all(cluster.starts_of(task) == 1 for task in running)
            assert {"s/0", "s/1"} <= cluster.running().keys()

    async def test_tasks_of_a_worker_lost_meanwhile_are_unknown_and_the_rest_runs(
        self, autojump_clock: Any
    ) -> None:
        async with open_cluster(names="ab") as cluster:
            await cluster.submit(make_spec("once", tasks=40, run_s=40.0, idempotent=False))
            await cluster.until(lambda: len(cluster.running()) == 16)
            await trio.sleep(3)
            lost = {task for task, places in cluster.running().items() if places == ["w0"]}
            for name in "ab":
                cluster.kill(name)
            cluster.owners.roster.clear()
            cluster.platform.remove_host(HostId("w0"))
            for name in "cd":
                await cluster.start(name)
            cluster.spread()
            await cluster.until(lambda: cluster.ended("once"), limit_s=400)
            cluster.assert_no_violations()
            job = cluster.hosts[HostId("c")].fold.get(JobId("once"))
            assert job is not None
            assert len(lost) == job.count(TaskPhase.UNKNOWN) == 4
            assert job.count(TaskPhase.DONE) == 36

    async def test_peer_renews_leases_while_nobody_takes_over(self, autojump_clock: Any) -> None:
        async with open_cluster(names="ab") as cluster:
            await cluster.submit(make_spec("j", tasks=16, run_s=150.0))
            await cluster.until(lambda: len(cluster.running()) == 16)
            cluster.kill("b")
            await trio.sleep(120)
            assert len(cluster.running()) == 16
            cluster.owners.roster.discard(B)
            cluster.spread()
            await cluster.until(lambda: cluster.ended("j"), limit_s=300)
            cluster.assert_no_violations()
            assert all(cluster.starts_of(f"j/{index}") == 1 for index in range(16))


class TestAssigneeOutOfTheRoster:
    """Tasks assigned to a host that is briefly out of the roster must not be lost.

    A paused host resumed, and its summary showed much free capacity before the roster listed it
    again, so tasks were assigned to it. The loop that sends an assignment ends once its host is not
    in the roster, and left it to the next heartbeat to mark the tasks unconfirmed. By then the host
    was back: two jobs of twelve never ran, and no log line named them again.
    """

    @pytest.mark.parametrize("idempotent", [True, False])
    async def test_tasks_assigned_before_its_return_run(
        self, autojump_clock: Any, idempotent: bool
    ) -> None:
        async with open_cluster(names="abc") as cluster:
            await trio.sleep(3)
            cluster.owners.roster.discard(B)
            await cluster.submit(make_spec("j", tasks=60, idempotent=idempotent))
            await trio.sleep(0.1)
            cluster.owners.roster.add(B)
            await cluster.until(lambda: cluster.ended("j"), limit_s=120)
            cluster.assert_no_violations()
            assert done_count(cluster, "j") == 60

    async def test_tasks_sent_to_it_without_an_answer_run(self, autojump_clock: Any) -> None:
        """The call is lost, and its host is out of the roster when it would be sent again."""
        async with open_cluster(names="abc") as cluster:
            await trio.sleep(3)
            cluster.net.lose_call = lambda _sender, peer, message: (
                peer == B and isinstance(message, TaskAssign)
            )
            await cluster.submit(make_spec("j", tasks=60))
            await trio.sleep(CALL_TIMEOUT_S + 0.2)
            cluster.owners.roster.discard(B)
            cluster.net.lose_call = lambda _sender, _peer, _message: False
            await trio.sleep(0.5)
            cluster.owners.roster.add(B)
            await cluster.until(lambda: cluster.ended("j"), limit_s=120)
            cluster.assert_no_violations()
            assert done_count(cluster, "j") == 60


class TestStaleOwner:
    async def test_isolated_shard_owner_and_its_queue_start_nothing_twice(
        self, autojump_clock: Any
    ) -> None:
        async with open_cluster(names="ab", shards=1) as cluster:
            cluster.assign_shard(0, "a")
            await cluster.submit(make_spec("j", tasks=100, run_s=4.0))
            await trio.sleep(2)
            cluster.net.isolate(A, cluster.hosts)
            cluster.assign_shard(0, "b")
            await trio.sleep(30)
            cluster.assert_no_violations()
            cluster.net.cut.clear()
            await cluster.until(lambda: cluster.ended("j"), limit_s=300)
            cluster.assert_no_violations()
            assert done_count(cluster, "j") == 100
            assert all(cluster.starts_of(f"j/{index}") == 1 for index in range(100))

    async def test_owner_paused_between_deciding_and_sending_sends_nothing(
        self, autojump_clock: Any
    ) -> None:
        async with open_cluster(names="ab") as cluster:
            await cluster.submit(make_spec("j", tasks=8))
            workers = cluster.hosts[A].workers
            queued: set[tuple[str, int]] = set()
            for _ in range(5000):
                queued = {
                    (task.task_id, task.attempt)
                    for shard in range(cluster.shards)
                    for task in workers.assigned.queued_of(shard)
                }
                if queued:
                    break
                await trio.sleep(0.001)
            assert queued
            decision = workers.core.decide(cluster.clock.wall(), 100)
            assert decision.by_worker
            # No other task runs during the jump, as in a paused process, nor before the check.
            autojump_clock.jump(30.0)
            for commands in decision.by_worker:
                await workers._starter.start(commands)
            await cluster.until(lambda: cluster.ended("j"), limit_s=120)
            cluster.assert_no_violations()
            records = cluster.platform.workers.ledger.records
            assert queued.isdisjoint((each.task_id, each.attempt) for each in records)

    async def test_start_delayed_past_the_takeover_finds_its_capacity_free(
        self, autojump_clock: Any
    ) -> None:
        async with open_cluster(names="abc") as cluster:
            await trio.sleep(3)  # Until the workers are adopted and the shards' owners know them.
            for worker in cluster.platform.workers.by_address:
                cluster.platform.workers.set_faults(worker, WorkerFaults(delay_s=12.0))
            await cluster.submit(make_spec("j", tasks=60, run_s=20.0))
            await trio.sleep(1)
            for worker in cluster.platform.workers.by_address:
                cluster.platform.workers.set_faults(worker, WorkerFaults())
            assert cluster.hosts[B].workers.core.on_worker(HostId("w1"))
            assert cluster.running() == {}
            cluster.kill("b")
            cluster.owners.roster.discard(B)
            cluster.spread()
            await cluster.until(lambda: cluster.ended("j"), limit_s=600)
            cluster.assert_no_violations()
            assert done_count(cluster, "j") == 60

    async def test_fenced_owner_starts_nothing(self, autojump_clock: Any) -> None:
        async with open_cluster(names="ab") as cluster:
            for host in cluster.hosts.values():
                host.view.is_fenced = True
            await cluster.submit(make_spec("j", tasks=4))
            await trio.sleep(10)
            assert cluster.running() == {}
            for host in cluster.hosts.values():
                host.view.is_fenced = False
            await cluster.until(lambda: cluster.ended("j"))
            cluster.assert_no_violations()


class TestWorkers:
    async def test_unresponsive_worker_keeps_its_tasks_until_it_is_back(
        self, autojump_clock: Any
    ) -> None:
        async with open_cluster() as cluster:
            await cluster.submit(make_spec("j", tasks=16, run_s=60.0))
            await cluster.until(lambda: len(cluster.running()) == 16)
            cluster.platform.workers.set_faults("w0", WorkerFaults(unreachable=True))
            await trio.sleep(20)
            assert len(cluster.running()) == 16
            cluster.platform.workers.set_faults("w0", WorkerFaults())
            await cluster.until(lambda: cluster.ended("j"), limit_s=300)
            cluster.assert_no_violations()
            assert all(cluster.starts_of(f"j/{index}") == 1 for index in range(16))

    async def test_tasks_of_a_failed_worker_run_again_after_their_leases(
        self, autojump_clock: Any
    ) -> None:
        async with open_cluster() as cluster:
            await cluster.submit(make_spec("j", tasks=16, run_s=60.0))
            await cluster.submit(make_spec("once", tasks=4, run_s=60.0, idempotent=False))
            await cluster.until(lambda: len(cluster.running()) == 16)
            cluster.platform.workers.set_faults("w0", WorkerFaults(down=True))
            await cluster.until(lambda: cluster.ended("j") and cluster.ended("once"), limit_s=400)
            cluster.assert_no_violations()
            assert done_count(cluster, "j") == 16

    async def test_non_idempotent_task_of_a_failed_worker_is_unknown(
        self, autojump_clock: Any
    ) -> None:
        async with open_cluster(workers=2) as cluster:
            await cluster.submit(make_spec("once", tasks=8, run_s=60.0, idempotent=False))
            await cluster.until(lambda: len(cluster.running()) == 8)
            cluster.platform.workers.set_faults("w0", WorkerFaults(down=True))
            await cluster.until(lambda: cluster.ended("once"), limit_s=400)
            cluster.assert_no_violations()
            job = cluster.hosts[A].fold.get(JobId("once"))
            assert job is not None
            assert job.end is not None
            assert job.end.verdict.value == "unknown"
            assert (job.count(TaskPhase.DONE), job.count(TaskPhase.UNKNOWN)) == (4, 4)

    async def test_bad_job_is_stopped_with_its_history(self, autojump_clock: Any) -> None:
        async with open_cluster() as cluster:
            await cluster.submit(make_spec("bad", tasks=20, payload='{"run_s":1,"fail":true}'))
            await cluster.submit(make_spec("good", tasks=20))
            await cluster.until(lambda: cluster.ended("bad") and cluster.ended("good"), limit_s=300)
            bad = cluster.hosts[A].fold.get(JobId("bad"))
            assert bad is not None
            assert bad.end is not None
            assert bad.end.verdict.value == "failed"
            assert "failed on w" in bad.end.detail
            assert done_count(cluster, "good") == 20


class TestGangFailures:
    async def test_no_part_of_a_gang_stays_when_one_owner_can_start_nothing(
        self, autojump_clock: Any
    ) -> None:
        async with open_cluster(workers=4) as cluster:
            for worker in ("w1", "w3"):  # Both are owned by b.
                cluster.platform.workers.set_faults(worker, WorkerFaults(fail_starts=True))
            await cluster.submit(make_spec("g", tasks=12, workload=Workload.GANG, run_s=30.0))
            longest_part = 0
            since: float | None = None
            for _ in range(400):
                await trio.sleep(0.05)
                is_part = 0 < len(cluster.running()) < 12
                since = (since or trio.current_time()) if is_part else None
                if since is not None:
                    longest_part = max(longest_part, int(trio.current_time() - since))
            assert longest_part < 5
            set_all_workers(cluster, WorkerFaults())
            await cluster.until(lambda: len(cluster.running()) == 12, limit_s=120)
            await cluster.until(lambda: cluster.ended("g"), limit_s=120)
            cluster.assert_no_violations()

    async def test_competing_gangs_all_run(self, autojump_clock: Any) -> None:
        async with open_cluster(names="abc", workers=6) as cluster:
            for index in range(6):
                await cluster.submit(
                    make_spec(f"g{index}", tasks=14, workload=Workload.GANG, run_s=3.0)
                )
            await cluster.until(
                lambda: all(cluster.ended(f"g{index}") for index in range(6)), limit_s=300
            )
            cluster.assert_no_violations()
            assert all(done_count(cluster, f"g{index}") == 14 for index in range(6))


class TestCancellation:
    async def test_many_cancellations_stop_all_running_tasks(self, autojump_clock: Any) -> None:
        async with open_cluster() as cluster:
            for index in range(30):
                await cluster.submit(make_spec(f"j{index}", tasks=10, run_s=30.0))
            await cluster.until(lambda: len(cluster.running()) == 16)
            intake = cluster.hosts[A].intake
            async with trio.open_nursery() as nursery:
                for index in range(30):
                    nursery.start_soon(intake.cancel, JobId(f"j{index}"))
            await cluster.until(
                lambda: all(cluster.ended(f"j{index}") for index in range(30)), limit_s=60
            )
            cluster.assert_no_violations()
            assert cluster.running() == {}
            started = sum(cluster.starts_of(f"j{j}/{i}") for j in range(30) for i in range(10))
            assert started == 16

    async def test_counts_add_up(self, autojump_clock: Any) -> None:
        async with open_cluster() as cluster:
            await cluster.submit(make_spec("j", tasks=1000, run_s=2.0))
            await trio.sleep(7)
            cancelled = (await cluster.hosts[B].intake.cancel(JobId("j"))).unwrap()
            assert cancelled.counts is not None
            counts = cancelled.counts
            assert counts.never_started + counts.stopping + counts.already_done == 1000
            assert min(counts.never_started, counts.stopping, counts.already_done) > 0
            again = await cluster.hosts[B].intake.cancel(JobId("absent"))
            assert again.failure().reason is Reason.NOT_FOUND


class TestLogOutage:
    async def test_task_that_must_not_run_twice_waits_for_its_record(
        self, autojump_clock: Any
    ) -> None:
        async with open_cluster() as cluster:
            await cluster.submit(make_spec("first"))
            await cluster.until(lambda: cluster.ended("first"))
            cluster.platform.log.set_faults(LogFaults(outage=True))
            intake = cluster.hosts[A].intake
            for name, idempotent in (("once", False), ("often", True)):
                spec = make_spec(name, tasks=2, idempotent=idempotent)
                held = await intake.submit(spec, durability=Durability.DATA_CENTRE)
                assert held.unwrap().durability is Durability.DATA_CENTRE
            await trio.sleep(20)
            assert (cluster.starts_of("once/0"), cluster.starts_of("often/0")) == (0, 1)
            cluster.platform.log.set_faults(LogFaults())
            await cluster.until(lambda: cluster.ended("once") and cluster.ended("often"))
            cluster.assert_no_violations()

    async def test_submit_in_an_outage_reports_its_durability(self, autojump_clock: Any) -> None:
        async with open_cluster() as cluster:
            await trio.sleep(2)
            cluster.platform.log.set_faults(LogFaults(outage=True))
            await trio.sleep(2)
            intake = cluster.hosts[A].intake
            refused = await intake.submit(make_spec("no"))
            assert refused.failure().reason is Reason.UNAVAILABLE
            assert refused.failure().retry_after_s
            held = await intake.submit(make_spec("yes", tasks=4), durability=Durability.DATA_CENTRE)
            assert held.unwrap().durability is Durability.DATA_CENTRE
            await cluster.until(lambda: cluster.starts_of("yes/3") == 1)
            await trio.sleep(30)
            cluster.platform.log.set_faults(LogFaults())
            await cluster.until(lambda: cluster.ended("yes"), limit_s=60)
            cluster.assert_no_violations()
            assert cluster.starts_of("no/0") == 0
            assert [cluster.starts_of(f"yes/{index}") for index in range(4)] == [1, 1, 1, 1]

    async def test_ends_in_an_outage_are_kept_by_the_workers(self, autojump_clock: Any) -> None:
        async with open_cluster() as cluster:
            await cluster.submit(make_spec("j", tasks=16, idempotent=False))
            await cluster.until(lambda: len(cluster.running()) == 16)
            cluster.platform.log.set_faults(LogFaults(outage=True))
            await trio.sleep(20)
            for name in "ab":
                cluster.kill(name)
            cluster.owners.roster.clear()
            cluster.platform.log.set_faults(LogFaults())
            for name in "cd":
                await cluster.start(name)
            cluster.spread()
            await cluster.until(lambda: cluster.ended("j"), limit_s=120)
            cluster.assert_no_violations()
            assert done_count(cluster, "j") == 16


class TestCompaction:
    async def test_live_job_outlasts_the_trimming_of_its_records(self, autojump_clock: Any) -> None:
        timings = JobTimings(compact_after_s=30.0, compact_every_s=5.0)
        async with open_cluster(job_timings=timings) as cluster:
            cluster.platform.log.set_faults(LogFaults(keep_s=60.0))
            await cluster.submit(make_spec("j", tasks=48, run_s=70.0, idempotent=False))
            await trio.sleep(190)
            assert 0 < done_count(cluster, "j") < 48
            for name in "ab":
                cluster.kill(name)
            cluster.owners.roster.clear()
            for name in "cd":
                await cluster.start(name)
            cluster.spread()
            await cluster.until(lambda: cluster.ended("j"), limit_s=400)
            cluster.assert_no_violations()
            assert done_count(cluster, "j") == 48


class TestDrain:
    async def test_drained_host_returns_queued_tasks(self, autojump_clock: Any) -> None:
        async with open_cluster(names="ab") as cluster:
            await cluster.submit(make_spec("j", tasks=200, run_s=3.0))
            await trio.sleep(4)
            running = cluster.running()
            host = cluster.hosts[B]
            await host.jobs.drain()
            await host.workers.drain()
            cluster.owners.roster.discard(B)
            for worker in cluster.worker_names():
                cluster.assign_worker(worker, "a")
            for shard in range(cluster.shards):
                cluster.assign_shard(shard, "a")
            cluster.kill("b")
            await cluster.until(lambda: cluster.ended("j"), limit_s=300)
            cluster.assert_no_violations()
            assert done_count(cluster, "j") == 200
            assert all(cluster.starts_of(task) == 1 for task in running)


class TestServices:
    async def test_ended_replicas_are_replaced(self, autojump_clock: Any) -> None:
        async with open_cluster() as cluster:
            spec = make_spec("s", tasks=3, workload=Workload.SERVICE, run_s=None)
            await cluster.submit(replace(spec, payload='{"run_s":5}'))
            await trio.sleep(60)
            assert all(cluster.starts_of(f"s/{index}") >= 3 for index in range(3))
            cluster.assert_no_violations()
            assert not cluster.ended("s")

    async def test_larger_tasks_than_any_worker_are_refused(self, autojump_clock: Any) -> None:
        async with open_cluster() as cluster:
            await trio.sleep(2)
            spec = make_spec("big", resources=Resources(cores_milli=64_000))
            refused = await cluster.hosts[A].intake.submit(spec)
            assert refused.failure().reason is Reason.REFUSED
            assert "largest worker" in refused.failure().detail


class TestOverruns:
    @pytest.mark.parametrize("workload", [Workload.BATCH, Workload.GANG])
    async def test_tasks_larger_than_every_worker_end_with_the_reason(
        self, workload: Workload, autojump_clock: Any
    ) -> None:
        async with open_cluster() as cluster:
            payload = '{"run_s":60,"peak_mb":9000}'
            await cluster.submit(make_spec("j", tasks=2, workload=workload, payload=payload))
            await cluster.until(lambda: cluster.ended("j"), limit_s=120)
            state = next(iter(cluster.hosts.values())).fold.get(JobId("j"))
            assert state is not None
            assert state.end is not None
            assert "9000 MB; the largest worker has 4 cores and 8192 MB" in state.end.detail
            assert max(cluster.starts_of(f"j/{index}") for index in range(2)) <= 2

    @pytest.mark.parametrize("workload", [Workload.BATCH, Workload.GANG])
    async def test_overrunning_tasks_end_after_few_attempts(
        self, workload: Workload, autojump_clock: Any
    ) -> None:
        async with open_cluster() as cluster:
            payload = '{"run_s":10,"peak_mb":4000}'
            await cluster.submit(make_spec("j", tasks=5, workload=workload, payload=payload))
            await cluster.until(lambda: cluster.ended("j"), limit_s=300)
            assert done_count(cluster, "j") == 5
            assert max(cluster.starts_of(f"j/{index}") for index in range(5)) <= 4

    async def test_tasks_that_must_not_run_twice_start_once(self, autojump_clock: Any) -> None:
        async with open_cluster() as cluster:
            payload = '{"run_s":10,"peak_mb":4000}'
            await cluster.submit(make_spec("j", tasks=12, idempotent=False, payload=payload))
            await cluster.until(lambda: cluster.ended("j"), limit_s=300)
            assert max(cluster.starts_of(f"j/{index}") for index in range(12)) == 1
            state = next(iter(cluster.hosts.values())).fold.get(JobId("j"))
            assert state is not None
            assert state.count(TaskPhase.DONE) + state.count(TaskPhase.FAILED) == 12
