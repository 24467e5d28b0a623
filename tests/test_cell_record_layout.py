"""Values that exceed one record of the store.

A job's definition was one record, which the store refuses above 256 KiB. The append was repeated
for ever: no other job was accepted or started, and tasks lost their leases.
"""

from random import Random

import msgspec
import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st

from cell.alone import simulate_isolated
from cell.cluster import Cluster
from cell.scenarios import check_all_end, random_faults, run_scenario, submit_jobs
from cell.simulation import Simulation
from galenastall.coordination.cell.job_runs import JobRun
from galenastall.platform.job_routes import BODY_LIMIT_BYTES
from galenastall.platform.settings import SettingsError, decode_settings
from galenastall.platform.submissions import decode_job
from galenastall.state.cell.job_limits import MAX_TASKS
from galenastall.state.cell.jobs import CellJob, Queue
from galenastall.state.cell.phases import JobPhase, TaskPhase
from galenastall.state.cell.record_layout import PARTS_PREFIX, RecordLayout
from galenastall.state.cell.rows import decode_rows, encode_job, encode_progress

RECORD_BYTES = 262_144
SMALL_RECORD_BYTES = 400
KEYS = ("job/a", "run/a", "run/b")
LARGE_JOB = "00000000000000b1"


def many_steps(count: int, *, queue: Queue) -> CellJob:
    """Return a job of many short steps as a caller submits it."""
    step = {"count": 1, "cpu": 100, "memoryRequestMb": 64, "estimatedMs": 500}
    body = msgspec.json.encode({"specification": "many", "steps": [step] * count})
    assert len(body) <= BODY_LIMIT_BYTES
    decoded = decode_job(body, job_id=LARGE_JOB, queue=queue, wall=1_000.0, peer="caller")
    return decoded.unwrap()


class StoreOfRecords:
    """The newest record of each key; fails on a record above the limit."""

    def __init__(self) -> None:
        self.records: dict[str, bytes] = {}

    def write(self, records: list[tuple[str, bytes]]) -> None:
        for key, record in records:
            assert len(key) + len(record) <= SMALL_RECORD_BYTES
            if record:
                self.records[key] = record
            else:
                self.records.pop(key, None)

    def load(self) -> tuple[RecordLayout, dict[str, bytes]]:
        layout = RecordLayout(max_record_bytes=SMALL_RECORD_BYTES)
        return layout, layout.join(self.records)


VALUES = st.integers(0, 5 * SMALL_RECORD_BYTES).map(lambda size: msgspec.msgpack.encode("v" * size))
BATCHES = st.lists(
    st.tuples(
        st.dictionaries(st.sampled_from(KEYS), st.one_of(st.just(b""), VALUES), min_size=1),
        st.one_of(st.none(), st.integers(0, 30)),
    ),
    min_size=1,
    max_size=8,
)


class TestRecordLayout:
    @given(batches=BATCHES)
    def test_a_write_that_stops_anywhere_leaves_each_value_old_or_new(
        self, batches: list[tuple[dict[str, bytes], int | None]]
    ) -> None:
        """A batch is (values, number of records after which its writer is lost, if it is)."""
        store = StoreOfRecords()
        layout, _ = store.load()
        stored: dict[str, bytes] = {}
        for values, stops_after in batches:
            store.write(list(layout.divide(values).items())[:stops_after])
            if stops_after is None:
                stored.update(values)
                continue
            layout, loaded = store.load()
            for key, value in values.items():
                assert loaded.get(key, b"") in {stored.get(key, b""), value}
                stored[key] = loaded.get(key, b"")
        layout, loaded = store.load()
        assert loaded == {key: value for key, value in stored.items() if value}

    @given(batches=BATCHES)
    def test_no_part_is_left_behind(
        self, batches: list[tuple[dict[str, bytes], int | None]]
    ) -> None:
        store = StoreOfRecords()
        for values, stops_after in batches:
            layout, _ = store.load()
            store.write(list(layout.divide(values).items())[:stops_after])
        layout, _ = store.load()
        store.write(list(layout.divide(dict.fromkeys(KEYS, b"")).items()))
        assert store.records == {}

    def test_a_value_that_fits_is_one_record(self) -> None:
        layout = RecordLayout(max_record_bytes=SMALL_RECORD_BYTES)
        values = {"run/a": b"x" * (SMALL_RECORD_BYTES - len("run/a"))}
        assert layout.divide(values) == values

    def test_a_head_without_all_its_parts_is_an_unreadable_row(self) -> None:
        layout = RecordLayout(max_record_bytes=SMALL_RECORD_BYTES)
        records = layout.divide({"run/a": msgspec.msgpack.encode("v" * 1_000)})
        parts = [key for key in records if key.startswith(PARTS_PREFIX)]
        del records[parts[1]]
        joined = RecordLayout(max_record_bytes=SMALL_RECORD_BYTES).join(records)
        assert decode_rows(joined).unreadable == ("run/a",)


LEAST_STEP = {"count": 1}
FULL_STEP = {
    "count": 1,
    "cpu": 500,
    "memoryRequestMb": 64,
    "gpus": 1,
    "estimatedMs": 500,
    "gangScheduled": True,
    "sameRack": True,
    "requirements": "a",
    "dataRack": "r",
    "antiAffinity": 1,
    "checkpointing": True,
    "longRunning": True,
    "image": "i",
    "targetMs": 10,
    "fills": True,
    "allowMiss": 1,
}


class TestDefinitionRows:
    """A row named every field of every step, and was up to nineteen times its body."""

    def decode(self, step: dict[str, object], count: int) -> tuple[bytes, CellJob]:
        body = msgspec.json.encode({"specification": "s", "steps": [step] * count})
        queue = Queue(name="q", service="s")
        decoded = decode_job(body, job_id=LARGE_JOB, queue=queue, wall=1.0, peer="caller")
        return body, decoded.unwrap()

    @pytest.mark.parametrize(("step", "count"), [(LEAST_STEP, 4_000), (FULL_STEP, 900)])
    def test_a_definition_is_at_most_twice_as_long_as_its_body(
        self, step: dict[str, object], count: int
    ) -> None:
        body, job = self.decode(step, count)
        assert len(encode_job(job)) <= 2 * len(body)

    @pytest.mark.parametrize("step", [LEAST_STEP, FULL_STEP])
    def test_no_field_is_lost(self, step: dict[str, object]) -> None:
        _, job = self.decode(step, 3)
        assert decode_rows({f"job/{LARGE_JOB}": encode_job(job)}).jobs_by_id[LARGE_JOB] == job

    def test_a_row_that_names_every_field_is_read(self) -> None:
        _, job = self.decode(FULL_STEP, 3)
        row = msgspec.msgpack.encode(job)
        assert decode_rows({f"job/{LARGE_JOB}": row}).jobs_by_id[LARGE_JOB] == job


class TestDefinitionsAboveTheRecordLimit:
    """The steps of one body can make up several records."""

    @pytest.mark.parametrize("hosts", [1, 3])
    async def test_a_job_of_many_steps_stops_no_other_work(
        self, autojump_clock: object, hosts: int
    ) -> None:
        async def scenario(cluster: Cluster, world: Simulation, rng: Random) -> None:
            world.fail_share = 0.0
            world.store.record_bytes = 5_000
            job = many_steps(300, queue=world.queue)
            assert len(encode_job(job)) > world.store.record_bytes
            await cluster.wait_for_leader()
            assert await cluster.submit(job)
            await submit_jobs(cluster, world, rng, 10, 0.1)
            await check_all_end(cluster)
            assert len(cluster.accepted) == 11
            assert world.store.refused_records == 0
            assert len(world.store.claims) == 1

        await run_scenario(scenario, seed=11, hosts=hosts)

    async def test_a_leader_lost_at_any_moment_leaves_the_job_whole(
        self, autojump_clock: object
    ) -> None:
        async def scenario(cluster: Cluster, world: Simulation, rng: Random) -> None:
            world.fail_share = 0.0
            world.store.record_bytes = world.store.append_bytes = 2_000
            await cluster.wait_for_leader()
            cluster.nursery.start_soon(cluster.submit, many_steps(80, queue=world.queue), 20)
            for _ in range(4):
                await trio.sleep(rng.uniform(0.02, 0.3))
                leader = await cluster.wait_for_leader()
                cluster.kill(leader)
                await cluster.start(leader)
            await trio.sleep(20.0)
            assert cluster.accepted == {LARGE_JOB}
            assert await cluster.wait_ended(LARGE_JOB) is JobPhase.COMPLETED
            await trio.sleep(200.0)
            assert not [key for key in world.store.values if key.startswith(PARTS_PREFIX)]

        for seed in range(20, 22):
            await run_scenario(scenario, seed=seed)


class TestProgressAboveTheRecordLimit:
    """Progress grows after a job was accepted, when no refusal helps."""

    def test_the_progress_of_the_largest_job_fits_into_records(self) -> None:
        queue = Queue(name="q", service="s")
        body = msgspec.json.encode({"steps": [{"count": MAX_TASKS}]})
        job = decode_job(body, job_id=LARGE_JOB, queue=queue, wall=0.0, peer="caller").unwrap()
        run = JobRun(job=job)
        run.open_due(0.0)
        for task in run.tasks():
            task.phase, task.run, task.failures = TaskPhase.ASSIGNED, 70_000, 300
            task.executor_id = task.unanswered_by = "executor-" + "0" * 40
            task.checkpoint = "0" * 40
        values = {f"run/{LARGE_JOB}": encode_progress(run.row())}
        assert len(values[f"run/{LARGE_JOB}"]) > RECORD_BYTES
        records = RecordLayout(max_record_bytes=RECORD_BYTES).divide(values)
        assert max(len(key) + len(record) for key, record in records.items()) <= RECORD_BYTES
        assert RecordLayout(max_record_bytes=RECORD_BYTES).join(records) == values

    async def test_jobs_whose_progress_outgrows_a_record_end(self, autojump_clock: object) -> None:
        async def scenario(cluster: Cluster, world: Simulation, rng: Random) -> None:
            world.fail_share = 0.0
            world.store.record_bytes = 1_000
            await cluster.wait_for_leader()
            assert await cluster.submit(many_steps(60, queue=world.queue))
            for _ in range(3):
                await trio.sleep(1.0)
                leader = await cluster.wait_for_leader()
                cluster.kill(leader)
                await cluster.start(leader)
            await check_all_end(cluster)
            assert await cluster.phase(LARGE_JOB) is JobPhase.COMPLETED
            assert world.store.refused_records == 0

        await run_scenario(scenario, seed=31)


class TestRandomTrouble:
    """Random trouble while most rows take several records."""

    @pytest.mark.parametrize("seed", range(7000, 7004))
    def test_no_rule_is_broken(self, seed: int) -> None:
        async def scenario(cluster: Cluster, world: Simulation, rng: Random) -> None:
            world.store.record_bytes = 300
            await random_faults(cluster, world, rng)
            assert world.store.refused_records == 0

        simulate_isolated(scenario, seed=seed)


class TestRefusalsForGood:
    async def test_an_append_that_is_always_refused_is_not_repeated(
        self, autojump_clock: object
    ) -> None:
        """With one host, no other can lead, and the append was repeated for ever."""

        async def scenario(cluster: Cluster, world: Simulation, rng: Random) -> None:
            world.fail_share = 0.0
            await cluster.wait_for_leader()
            await submit_jobs(cluster, world, rng, 5, 0.1)
            await trio.sleep(1.0)
            world.store.refuses_keys = (f"job/{LARGE_JOB}",)
            assert not await cluster.submit(many_steps(5, queue=world.queue), tries=1)
            await trio.sleep(4.0)
            assert world.store.refused_records <= 3
            await submit_jobs(cluster, world, rng, 5, 0.1, first=100)
            await check_all_end(cluster)
            assert len(cluster.accepted) == 10

        cluster = await run_scenario(scenario, seed=41, hosts=1)
        causes = [
            event.cause
            for recorder in cluster.all_recorders
            for event in recorder.ring
            if event.step == "leader.lost"
        ]
        assert any(f"job/{LARGE_JOB}" in cause for cause in causes)


class TestRecordLimitSetting:
    @pytest.mark.parametrize("value", [0, -1, 511])
    def test_a_limit_in_which_no_key_fits_is_an_error_that_names_it(self, value: int) -> None:
        table = {
            "ipAddress": "127.0.0.1",
            "internalPortRange": [7000, 7010],
            "nodeName": "entry-1",
            "zone": "a",
            "listenAddresses": {"front": "127.0.0.1:1", "readiness": "127.0.0.1:2"},
            "platform": {"address": "127.0.0.1:3", "recordBytes": value},
        }
        with pytest.raises(SettingsError, match=rf"platform.recordBytes: .* got {value}$"):
            decode_settings(table)
