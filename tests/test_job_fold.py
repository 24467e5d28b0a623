import itertools
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from galenastall.protocol.codec import decode_record, encode_record
from galenastall.state.ids import JobId, Offset, RecordId, StreamName, TeamPath
from galenastall.state.job_fold import JobFold
from galenastall.state.job_records import (
    EndedRanges,
    IndexRange,
    JobAccepted,
    JobCancelled,
    JobEnded,
    JobVerdict,
    TasksEnded,
    ranges_of,
)
from galenastall.state.records import LoggedRecord
from galenastall.state.resources import Resources
from galenastall.state.work import JobSpec, TaskPhase, Workload

STREAM = StreamName("data-centre.mapo")
PHASES = [TaskPhase.DONE, TaskPhase.FAILED, TaskPhase.UNKNOWN, TaskPhase.CANCELLED]


def make_spec(name: str, tasks: int = 8) -> JobSpec:
    return JobSpec(
        job_id=JobId(name),
        team=TeamPath("board/packs"),
        workload=Workload.BATCH,
        tasks=tasks,
        resources=Resources(cores_milli=500, memory_mb=256),
    )


def logged(record: object, offset: int) -> LoggedRecord:
    text = encode_record(record, record_id=RecordId(f"r{offset}"))
    return decode_record(text, stream=STREAM, offset=Offset(offset)).unwrap()


def fold_of(records: list[LoggedRecord]) -> JobFold:
    fold = JobFold()
    for record in records:
        fold.apply(record)
    return fold


def picture(fold: JobFold) -> dict[str, tuple[bool, bytes]]:
    return {id_: (job.cancelled, bytes(job.codes)) for id_, job in fold.live_by_id.items()}


names = st.sampled_from(["a", "b", "c"])
steps = st.one_of(
    st.tuples(st.just("accept"), names),
    st.tuples(st.just("cancel"), names),
    st.tuples(st.just("end"), names),
    st.tuples(
        st.just("tasks"), names, st.sampled_from(PHASES), st.sets(st.integers(0, 7), min_size=1)
    ),
    st.tuples(st.just("compact"), names),
    st.tuples(st.just("compact_late"), names),
)


class TestRanges:
    @given(st.sets(st.integers(0, 60)))
    def test_ranges_hold_exactly_the_indices_and_are_fewest(self, indices: set[int]) -> None:
        ranges = ranges_of(list(indices))
        assert [i for r in ranges for i in range(r.start, r.stop)] == sorted(indices)
        assert all(a.stop < b.start for a, b in itertools.pairwise(ranges))


class TestRecovery:
    @given(st.lists(steps, max_size=30), st.integers(0, 30))
    def test_compacted_and_tail_equal_the_full_history(
        self, drawn: list[tuple[object, ...]], cut: int
    ) -> None:
        history: list[LoggedRecord] = []
        full = JobFold()
        late: list[object] = []

        def write(record: object) -> None:
            history.append(logged(record, len(history)))
            full.apply(history[-1])

        def play(step: tuple[object, ...]) -> None:
            name = JobId(str(step[1]))
            job = full.live_by_id.get(name)
            match step[0]:
                case "accept" if full.get(name) is None:
                    write(JobAccepted(spec=make_spec(name)))
                case "cancel" if job:
                    write(JobCancelled(job_id=name))
                case "end" if job:
                    write(JobEnded(job_id=name, verdict=JobVerdict.DONE))
                case "tasks" if job:
                    assert isinstance(step[3], set)
                    end = EndedRanges(
                        job_id=name,
                        phase=TaskPhase(str(step[2])),
                        ranges=ranges_of(list(step[3])),
                    )
                    write(TasksEnded(shard=0, ends=(end,)))
                case "compact" if job:
                    write(job.compacted(at=9.0))
                case "compact_late" if job:
                    late.append(job.compacted(at=9.0))

        for step in drawn[:cut]:
            play(step)
        trimmed_at = Offset(len(history))
        late += [job.compacted(at=9.0) for job in full.due_for_compaction(before=trimmed_at)]
        for step in drawn[cut:]:
            play(step)
        for record in late:
            write(record)
        recovered = fold_of(history[trimmed_at:])
        assert picture(recovered) == picture(full)

    def test_ended_job_is_not_revived_by_a_late_compacted_record(self) -> None:
        fold = fold_of([logged(JobAccepted(spec=make_spec("a")), 0)])
        compacted = fold.live_by_id[JobId("a")].compacted(at=9.0)
        fold.apply(logged(JobEnded(job_id=JobId("a"), verdict=JobVerdict.DONE), 1))
        fold.apply(logged(compacted, 2))
        assert fold.live_by_id == {}
        assert fold.ended_by_id[JobId("a")].end is not None

    def test_done_overrides_unknown(self) -> None:
        fold = fold_of([logged(JobAccepted(spec=make_spec("a")), 0)])
        for offset, phase in enumerate([TaskPhase.UNKNOWN, TaskPhase.DONE, TaskPhase.UNKNOWN], 1):
            end = EndedRanges(job_id=JobId("a"), phase=phase, ranges=(IndexRange(start=2, stop=4),))
            fold.apply(logged(TasksEnded(shard=0, ends=(end,)), offset))
        job = fold.live_by_id[JobId("a")]
        assert job.phase_of(2) is TaskPhase.DONE
        assert job.count(TaskPhase.UNKNOWN) == 0
        assert list(job.open_indices()) == [0, 1, 4, 5, 6, 7]

    @pytest.mark.parametrize(("start", "stop"), [(-3, 2), (6, 900)])
    def test_ranges_beyond_the_job_are_ignored(self, start: int, stop: int) -> None:
        fold = fold_of([logged(JobAccepted(spec=make_spec("a")), 0)])
        ranges = (IndexRange(start=start, stop=stop),)
        end = EndedRanges(job_id=JobId("a"), phase=TaskPhase.DONE, ranges=ranges)
        fold.apply(logged(TasksEnded(shard=0, ends=(end,)), 1))
        assert fold.live_by_id[JobId("a")].count(TaskPhase.DONE) == 2


class TestRecordSize:
    def test_ends_of_ten_thousand_tasks_in_order_take_one_range(self) -> None:
        end = EndedRanges(
            job_id=JobId("a"), phase=TaskPhase.DONE, ranges=ranges_of(list(range(10_000)))
        )
        text = encode_record(TasksEnded(shard=0, ends=(end,)), record_id=RecordId("r"))
        assert len(json.loads(text)["body"]["ends"][0]["ranges"]) == 1
