"""Odd answers of executors: a listing or an error, whatever the bytes."""

import json
from collections.abc import Iterator
from typing import Any, Final

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Result, Success

from cell.rig import Harness, make_info, make_job, make_step
from galenastall.coordination.cell.listings import Listing
from galenastall.platform.calls import decode_answer
from galenastall.platform.executors import WireAnswer
from galenastall.platform.listings import MAX_CHECKPOINT_CHARS, MAX_ROWS, decode_listing
from galenastall.platform.names import parse_task, task_name
from galenastall.state.cell.jobs import TaskKey
from galenastall.state.errors import Reason, StepError
from galenastall.transport.http_client import BufferedResponse
from odd_values import replaced

TASK: Final = "0123456789abcdef.0.0.0"
LISTING: Final[dict[str, Any]] = {
    "clockMs": 100_000,
    "born": 1_785_827_525_825,
    "running": [[TASK, 1, "saved", 41, 3]],
    "finished": [[1, "00000000000000cd.0.1.9", 1, "done", ""]],
}
ANSWER: Final[dict[str, Any]] = {"clockMs": 5, "reason": "old"}

json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=6) | st.dictionaries(st.text(max_size=4), inner),
    max_leaves=8,
)


def make_answer(body: bytes, status: int = 200) -> BufferedResponse:
    return BufferedResponse(status=status, headers={}, body=body)


def listing_with(**fields: Any) -> bytes:
    return json.dumps({**LISTING, **fields}).encode()


def apply(listing: Listing) -> None:
    """Pass a listing to a leader's core, which decides on it and writes what it decided."""
    harness = Harness(make_info("e1"), make_info("e2"))
    harness.submit(make_job(make_step(2)))
    harness.confirm_starts(harness.step())
    for _ in range(2):
        seq = harness.core.next_seq()
        harness.core.on_listing("e1", listing, asked_seq=seq, now=harness.now, wall=harness.wall)
        harness.now += 0.1
        harness.step()
        harness.core.executors_by_id["e1"].lost_at = harness.now
        harness.now += 0.3
        harness.step()
    for stop in harness.core.take_stops():
        msgspec.json.encode({"task": task_name(stop.task), "run": stop.run})
    clock = harness.core.executors_by_id["e1"].clock
    msgspec.json.encode(clock.deadline_ms(confirmed_at=harness.now, now=harness.now))


def check_listing(body: bytes) -> Result[Any, str]:
    """Decode a body, and use what is accepted."""
    found = decode_listing(body)
    if isinstance(found, Failure):
        assert len(found.failure()) < 1_000
        return found
    listing = found.unwrap().to_listing()
    assert listing == found.unwrap().to_listing()
    msgspec.json.encode(listing)
    apply(listing)
    return found


def bodies() -> Iterator[tuple[str, bytes]]:
    yield from replaced(LISTING)


class TestListings:
    @given(st.binary(max_size=80))
    def test_any_bytes_are_a_listing_or_an_error(self, body: bytes) -> None:
        check_listing(body)

    @given(json_values, json_values)
    def test_any_rows_are_a_listing_or_an_error(self, running: Any, finished: Any) -> None:
        check_listing(msgspec.json.encode({**LISTING, "running": running, "finished": finished}))

    @given(st.lists(json_values, max_size=6), st.lists(json_values, max_size=6))
    def test_any_row_is_a_listing_or_an_error(self, run: list[Any], end: list[Any]) -> None:
        check_listing(msgspec.json.encode({**LISTING, "running": [run], "finished": []}))
        check_listing(msgspec.json.encode({**LISTING, "running": [], "finished": [end]}))

    def test_an_odd_value_in_any_place_is_a_listing_or_an_error(self) -> None:
        # `int` of a cell that is no number, or has too many digits, ended the leader.
        accepted = [name for name, body in bodies() if isinstance(check_listing(body), Success)]
        assert "running.0.0: a word" in accepted, "rows of unknown tasks are skipped"
        assert "running.0.1: a text of 5,000 digits" not in accepted

    @pytest.mark.parametrize("kept", range(4))
    def test_a_row_that_is_too_short_is_an_error_that_names_it(self, kept: int) -> None:
        rows = [LISTING["running"][0], LISTING["running"][0][:kept]]
        assert "running[1]" in check_listing(listing_with(running=rows)).failure()
        ends = [LISTING["finished"][0], LISTING["finished"][0][:kept]]
        assert "finished[1]" in check_listing(listing_with(finished=ends)).failure()

    @pytest.mark.parametrize(
        ("name", "column", "value", "named"),
        [
            ("running", 1, "many", "running[0].run"),
            ("running", 1, -1, "running[0].run"),
            ("running", 1, 2**54, "running[0].run"),
            ("running", 2, None, "running[0].saved"),
            ("running", 2, "s" * (MAX_CHECKPOINT_CHARS + 1), "running[0].saved"),
            ("running", 3, "many", "running[0].percent"),
            ("running", 4, 1e300, "running[0].figure"),
            ("finished", 0, -1, "finished[0].position"),
            ("finished", 2, 1.5, "finished[0].run"),
        ],
    )
    def test_an_odd_cell_is_named(self, name: str, column: int, value: Any, named: str) -> None:
        row = list(LISTING[name][0])
        row[column] = value
        assert named in check_listing(listing_with(**{name: [row]})).failure()

    def test_more_rows_than_an_executor_can_run_are_an_error(self) -> None:
        rows = [LISTING["running"][0]] * (MAX_ROWS + 1)
        assert "running" in check_listing(listing_with(running=rows)).failure()

    @pytest.mark.parametrize(
        ("row", "percent", "figure"),
        [
            ([TASK, 1, "s", 41], 41, 0),
            ([TASK, 1, "s", 41, 3, "more"], 41, 3),
            ([TASK, 1, "s", 41.9, 3.9], 41, 3),
            ([TASK, 1, "s", 250, -1], 100, -1),
        ],
    )
    def test_fractions_and_further_elements_stay_readable(
        self, row: list[Any], percent: int, figure: int
    ) -> None:
        found = check_listing(listing_with(running=[row])).unwrap().to_listing().running[0]
        assert (found.saved, found.percent, found.figure) == ("s", percent, figure)


class TestTaskNames:
    @given(st.text(max_size=40))
    def test_any_text_is_a_task_or_none(self, name: str) -> None:
        parse_task(name)

    @given(
        st.text(alphabet="0123456789abcdef", min_size=16, max_size=16),
        st.tuples(*[st.integers(min_value=0, max_value=10**15 - 1)] * 3),
    )
    def test_each_name_of_a_task_is_read_back(self, job: str, rest: tuple[int, int, int]) -> None:
        key = TaskKey(job, *rest)
        assert parse_task(task_name(key)) == key

    @pytest.mark.parametrize(
        "number", ["9" * 4_400, "9" * 16, "\u0661", "\u00b2", "-1", "", " 1", "1\n"]
    )
    def test_a_number_that_is_odd_is_no_task(self, number: str) -> None:
        # `int` raises ValueError above 4,300 digits, and reads digits of other scripts.
        for place in range(1, 4):
            parts = TASK.split(".")
            parts[place] = number
            assert parse_task(".".join(parts)) is None


class TestAnswers:
    def decode(self, body: bytes) -> Result[WireAnswer, StepError]:
        return decode_answer(make_answer(body), WireAnswer, step="executor.start", peer="e")

    @given(st.binary(max_size=80))
    def test_any_bytes_are_an_answer_or_cut(self, body: bytes) -> None:
        found = self.decode(body)
        assert isinstance(found, Success) or found.failure().reason is Reason.CUT

    def test_an_odd_value_in_any_place_is_an_answer_or_cut(self) -> None:
        for _, body in replaced(ANSWER):
            found = self.decode(body)
            if isinstance(found, Success):
                msgspec.json.encode(found.unwrap())
            else:
                assert found.failure().reason is Reason.CUT

    def test_an_answer_that_nests_deeply_is_cut(self) -> None:
        # The decoder raises RecursionError, which is no error of its own kind.
        body = b'{"x":' + b"[" * 100_000 + b"]" * 100_000 + b"}"
        assert self.decode(body).failure().reason is Reason.CUT
