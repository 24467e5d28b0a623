from collections.abc import Sequence
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from galenastall.protocol.listing_changes import apply_changes, changes_since
from galenastall.protocol.platform import WorkerListing
from galenastall.state.resources import Resources
from galenastall.state.work import RunningTask
from standin_cases import SIZE, make_task

EMPTY_LISTING = WorkerListing(running=(), finished=())
Row = tuple[int, int, int, int]


def listing_of(rows: Sequence[Row], cursor: str) -> WorkerListing:
    running = (
        RunningTask(
            task=replace(make_task(index), attempt=attempt),
            reserved=SIZE,
            epoch=1,
            lease_until=float(lease),
            used=Resources(memory_mb=used),
        )
        for index, attempt, lease, used in rows
    )
    return WorkerListing(running=tuple(running), finished=(), cursor=cursor)


def rows_of(listing: WorkerListing) -> list[RunningTask]:
    return sorted(listing.running, key=lambda row: (row.task.task_id, row.task.attempt))


SMALL = st.integers(0, 2)
ROWS = st.lists(st.tuples(st.integers(0, 5), SMALL, SMALL, SMALL), max_size=6)


class TestListingChanges:
    @given(before=ROWS, after=ROWS)
    def test_applied_changes_reproduce_the_listing(
        self, before: list[Row], after: list[Row]
    ) -> None:
        """Also with duplicate runs of a task, whose rows can't be distinguished."""
        base, listing = listing_of(before, "1"), listing_of(after, "2")
        answer = changes_since(base, listing)
        merged = apply_changes(base, answer)
        assert merged is not None
        assert rows_of(merged) == rows_of(listing)
        assert replace(merged, running=()) == replace(listing, running=())

    @pytest.mark.parametrize(
        "known",
        [
            pytest.param(EMPTY_LISTING, id="nothing is known"),
            pytest.param(listing_of([(1, 0, 1, 1)], "0"), id="another listing is known"),
            pytest.param(listing_of([(2, 0, 1, 1)], "1"), id="a changed task is not known"),
        ],
    )
    def test_changes_to_another_listing_are_rejected(self, known: WorkerListing) -> None:
        """Read as a complete listing, they would make running tasks count as lost."""
        base = listing_of([(1, 0, 1, 1)], "1")
        answer = changes_since(base, listing_of([(1, 0, 1, 2), (3, 0, 1, 1)], "2"))
        assert apply_changes(known, answer) is None
