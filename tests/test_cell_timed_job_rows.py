"""Progress of timed jobs with many occurrences.

Occurrences that are done out of order were listed one by one: while one of them went on, 80,000
others made up a row of 269 KB, which was longer than a record and written at each change.
"""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from cell.rig import JOB, WALL, make_job, make_step
from galenastall.coordination.cell.job_runs import MAX_OPEN_TASKS, JobRun
from galenastall.state.cell.jobs import Recurrence
from galenastall.state.cell.number_ranges import NumberRanges
from galenastall.state.cell.phases import JobPhase
from galenastall.state.cell.rows import ProgressRow, encode_progress

RECORD_BYTES = 262_144
TIMES = 1_000_000


def timed_run() -> JobRun:
    recurrence = Recurrence(first_due=WALL, interval_s=1.0, times=TIMES)
    return JobRun(job=make_job(make_step(1), recurrence=recurrence))


def restored(row: ProgressRow) -> JobRun:
    run = timed_run()
    encoded = encode_progress(row)
    run.restore(msgspec.msgpack.decode(encoded, type=ProgressRow), wall=WALL)
    return run


class TestNumberRanges:
    @given(numbers=st.lists(st.integers(0, 30)), end=st.integers(0, 40))
    def test_they_hold_what_was_added(self, numbers: list[int], end: int) -> None:
        ranges = NumberRanges()
        for number in numbers:
            ranges.add(number)
        assert [number for number in range(40) if number in ranges] == sorted(set(numbers))
        assert list(ranges.missing_below(end)) == [n for n in range(end) if n not in numbers]
        edges = [edge for one in ranges for edge in one]
        assert edges == sorted(edges)
        assert all(last + 1 < first for last, first in zip(edges[1::2], edges[2::2], strict=False))
        assert list(NumberRanges(ranges)) == list(ranges)


class TestOccurrencesDoneOutOfOrder:
    @pytest.mark.parametrize("count", [80_000, TIMES])
    def test_many_behind_one_that_goes_on_are_a_short_row(self, count: int) -> None:
        run = timed_run()
        run.open_due(WALL)
        run.occurrences_opened = count
        run.done_occurrences = NumberRanges([(1, count - 1)])
        assert len(encode_progress(run.row())) < 1_000
        assert list(restored(run.row()).occurrences_by_number) == [0]

    def test_with_every_second_one_open_they_fit_into_a_record(self) -> None:
        run = timed_run()
        run.open_due(WALL)
        run.occurrences_opened = 2 * MAX_OPEN_TASKS
        for number in range(1, 2 * MAX_OPEN_TASKS, 2):
            run.done_occurrences.add(TIMES - 2 * MAX_OPEN_TASKS + number)
        assert len(encode_progress(run.row())) < RECORD_BYTES

    def test_a_new_leader_opens_those_that_are_not_done(self) -> None:
        run = timed_run()
        run.open_due(WALL + 9.0)
        for number in (0, 1, 4, 5, 8):
            run.done_occurrences.add(number)
            del run.occurrences_by_number[number]
        again = restored(run.row())
        assert list(again.occurrences_by_number) == [2, 3, 6, 7, 9]
        assert again.occurrences_by_number[6].begins_at == WALL + 6.0
        assert again.next_due() == WALL + 10.0
        assert again.row() == run.row()

    def test_a_row_that_lists_them_one_by_one_is_read(self) -> None:
        row = ProgressRow(
            phase=JobPhase.QUEUED,
            queue_name="q",
            occurrences_opened=7,
            done_before=2,
            done_occurrences=(3, 4, 6),
        )
        again = restored(row)
        assert list(again.occurrences_by_number) == [2, 5]
        assert again.row().done_ranges == ((3, 4), (6, 6))
        assert again.job.job_id == JOB
