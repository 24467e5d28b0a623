"""What callers may send as a job: refused with the field's name, or stored, restored and run."""

import json
from typing import Any, Final

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Result, Success

from cell.rig import QUEUE, WALL, Harness, make_info
from galenastall.platform.store import RECORD_BYTES
from galenastall.platform.submissions import WireJob, count_objects, decode_job
from galenastall.state.cell.job_limits import MAX_TASKS
from galenastall.state.cell.jobs import CellJob
from galenastall.state.cell.record_layout import RecordLayout
from galenastall.state.cell.rows import decode_rows
from galenastall.state.errors import Reason, StepError
from galenastall.transport.http_json import decode_json
from odd_values import replaced

JOB: Final = "0123456789abcdef"
FULL_STEP: Final[dict[str, Any]] = {
    "count": 2,
    "cpu": 500,
    "memoryRequestMb": 256,
    "gpus": 1,
    "estimatedMs": 900,
    "after": [],
    "gangScheduled": True,
    "sameRack": True,
    "requirements": "a",
    "dataRack": "r1",
    "antiAffinity": 2,
    "checkpointing": True,
    "longRunning": True,
    "image": "i",
    "targetMs": 20,
    "fills": False,
    "allowMiss": 1,
    "speculative": True,
}
FULL_JOB: Final[dict[str, Any]] = {
    "specification": "text",
    "steps": [FULL_STEP, {"count": 1, "after": [0]}],
    "repetitions": 3,
    "firstRunMs": 990_000,
    "intervalMs": 250,
}
STEPS_TAKEN: Final = 4
NUMBERS: Final = st.one_of(
    st.integers(-3, 5),
    st.integers(-(2**70), 2**70),
    st.floats(),
    st.sampled_from([2**53, 2**53 + 1, 2**63, 2**64, 10**200, 1e308]),
)
JSON_VALUES: Final = st.recursive(
    st.one_of(st.none(), st.booleans(), NUMBERS, st.text(max_size=10)),
    lambda inner: st.one_of(
        st.lists(inner, max_size=3),
        st.dictionaries(st.sampled_from([*FULL_JOB, *FULL_STEP, "other"]), inner, max_size=4),
    ),
    max_leaves=12,
)


def like(value: Any) -> st.SearchStrategy[Any]:
    """Return values of the type of a field's value, sound and odd ones."""
    if isinstance(value, bool):
        return st.booleans()
    if isinstance(value, str):
        return st.text(max_size=5)
    if isinstance(value, list):
        return st.lists(st.integers(-1, 3), max_size=3)
    return NUMBERS


ANY_STEPS: Final = st.fixed_dictionaries(
    {"count": st.integers(0, 5)},
    optional={name: like(value) for name, value in FULL_STEP.items() if name != "count"},
)
OTHER_FIELDS: Final = st.fixed_dictionaries(
    {}, optional={name: like(value) for name, value in FULL_JOB.items() if name != "steps"}
)


def decode(body: bytes) -> Result[CellJob, StepError]:
    return decode_job(body, job_id=JOB, queue=QUEUE, wall=WALL, peer="caller")


def check_is_refused_or_runs(body: bytes) -> None:
    decoded = decode(body)
    if isinstance(decoded, Failure):
        assert decoded.failure().reason is Reason.INVALID
        assert 0 < len(decoded.failure().detail) < 400
        msgspec.json.encode(decoded.failure())
        return
    check_runs(decoded.unwrap())


def check_runs(job: CellJob) -> None:
    """Store the job in records of the least size, decide on it, and restore it in a new leader."""
    infos = (make_info("a@1"), make_info("b@1"))
    leader = Harness(*infos)
    leader.submit(job)
    for _ in range(STEPS_TAKEN):
        leader.confirm_starts(leader.step())
        leader.now += 1.0
    records = RecordLayout(max_record_bytes=RECORD_BYTES).divide(leader.rows)
    assert all(len(key.encode()) + len(value) <= RECORD_BYTES for key, value in records.items())
    rows = RecordLayout(max_record_bytes=RECORD_BYTES).join(records)
    assert decode_rows(rows).jobs_by_id[JOB] == job
    successor = Harness(*infos, rows=rows)
    for _ in range(STEPS_TAKEN):
        successor.step()
        successor.now += 1.0


def odd_submissions() -> list[Any]:
    return [pytest.param(body, id=name) for name, body in replaced(FULL_JOB)]


class TestDecodedBodies:
    @pytest.mark.parametrize(
        "body",
        [
            pytest.param(b"[" * 100_000, id="a list of 100,000 levels"),
            pytest.param(b'{"steps":' + b"[" * 100_000, id="steps of 100,000 levels"),
            pytest.param(b'{"x":' + b"[" * 100_000, id="an unknown field of 100,000 levels"),
            pytest.param(
                b'{"steps":[{"count":1,"targetMs":100000000000000000000,"x":' + b"[" * 100_000,
                id="a number above 64 bits before deep nesting",
            ),
            pytest.param(b'{"repetitions":1e400}', id="a float above the largest"),
            pytest.param(b'{"steps":' + b"9" * 4_400 + b"}", id="a number of 4,400 digits"),
            pytest.param(b'{"steps":1' + b"0" * 20 + b"}", id="a number above 64 bits"),
        ],
    )
    def test_numbers_and_levels_that_the_decoder_can_not_take(self, body: bytes) -> None:
        decoded = decode_json(body, WireJob, step="s", peer="p")
        assert decoded.failure().reason is Reason.INVALID
        assert len(decoded.failure().detail) < 400


class TestSubmissions:
    @pytest.mark.parametrize("body", odd_submissions())
    def test_one_odd_field(self, body: bytes) -> None:
        check_is_refused_or_runs(body)

    @pytest.mark.parametrize(
        "field", ["cpu", "memoryRequestMb", "gpus", "antiAffinity", "allowMiss"]
    )
    @pytest.mark.parametrize("value", [2**53 + 1, 2**63, 2**64, 10**20])
    def test_a_whole_number_that_no_row_can_hold(self, field: str, value: int) -> None:
        body = f'{{"steps":[{{"count":1}},{{"count":1,"{field}":{value}}}]}}'.encode()
        detail = decode(body).failure().detail
        assert detail.startswith(f"steps[1].{field}: expected ")
        assert detail.endswith(f" or less, got {value}")

    @pytest.mark.parametrize("field", ["targetMs", "estimatedMs"])
    def test_a_time_above_64_bits(self, field: str) -> None:
        body = f'{{"steps":[{{"count":1,"{field}":1.7e308}}]}}'.encode()
        detail = decode(body).failure().detail
        assert detail == f"steps[0].{field}: expected {2**53} or less, got 1.7e308"

    @pytest.mark.parametrize("field", ["firstRunMs", "intervalMs"])
    def test_a_due_time_above_64_bits(self, field: str) -> None:
        body = f'{{"steps":[{{"count":1}}],"repetitions":9,"{field}":1.7e308}}'.encode()
        detail = decode(body).failure().detail
        assert detail == f"{field}: expected {2**53} or less, got 1.7e308"

    @pytest.mark.parametrize("field", ["requirements", "dataRack", "image"])
    def test_a_name_that_is_too_long(self, field: str) -> None:
        body = msgspec.json.encode({"steps": [{"count": 1, field: "x" * 1_001}]})
        detail = decode(body).failure().detail
        assert detail.startswith(f"steps[0].{field}: expected `str` of length <= 1000, got ")

    @pytest.mark.parametrize(
        "step",
        [
            {"estimatedMs": 0},
            {"estimatedMs": 10**15},
            {"estimatedMs": 2.0**53},
            {"targetMs": 10**15, "longRunning": True},
            {"cpu": 2**40, "memoryRequestMb": 2**40, "gpus": 2**40},
            {"antiAffinity": 2**53, "allowMiss": 2**53},
            {"count": 4_000, "cpu": 2**40, "estimatedMs": 10**15},
            {"count": 3, "gangScheduled": True, "longRunning": True},
            {"fills": True, "cpu": 2**40},
            {"requirements": "\u0000", "dataRack": "\uc810", "image": "\u20ac" * 1_000},
            {"unknown": [[[1e308]]]},
        ],
    )
    def test_odd_but_legal_steps_run(self, step: dict[str, Any]) -> None:
        body = msgspec.json.encode({"steps": [{"count": 1, **step}, {"count": 1, "after": [0]}]})
        if step.get("count") == 4_000:
            body = msgspec.json.encode({"steps": [step]})
        check_runs(decode(body).unwrap())

    @pytest.mark.parametrize("times", [-1, 0, 1, 1_000_000])
    @pytest.mark.parametrize("interval_ms", [0, 0.001, 2.0**53])
    @pytest.mark.parametrize("first_ms", [-(2.0**53), 0, WALL * 1_000, 2.0**53])
    def test_odd_but_legal_times_run(self, times: int, interval_ms: float, first_ms: float) -> None:
        body = {
            "steps": [{"count": 1_000}],
            "repetitions": times,
            "firstRunMs": first_ms,
            "intervalMs": interval_ms,
        }
        check_runs(decode(msgspec.json.encode(body)).unwrap())

    @given(body=st.binary(max_size=300))
    def test_any_bytes(self, body: bytes) -> None:
        check_is_refused_or_runs(body)

    @given(value=JSON_VALUES)
    def test_any_json(self, value: Any) -> None:
        check_is_refused_or_runs(json.dumps(value).encode())

    @given(steps=st.lists(ANY_STEPS, max_size=3), others=OTHER_FIELDS)
    def test_any_values_in_the_fields(self, steps: list[Any], others: dict[str, Any]) -> None:
        body = json.dumps({"steps": steps, **others}).encode()
        check_is_refused_or_runs(body)


class TestManyObjects:
    MOST = MAX_TASKS + 1

    def decode(self, body: bytes) -> Result[CellJob, StepError]:
        return decode_job(body, job_id=JOB, queue=QUEUE, wall=WALL, peer="")

    def test_more_than_a_job_may_have_are_refused_undecoded(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr("galenastall.platform.submissions.decode_json", None)
        body = b'{"steps":[' + b",".join([b"{}"] * self.MOST) + b"]}"
        refused = self.decode(body).failure()
        assert refused.reason is Reason.INVALID
        assert refused.detail == f"body: at most {self.MOST} objects, got {self.MOST + 1}"

    @pytest.mark.parametrize("text", ["{" * 4_000, '\\"{' * 1_300, "{\\\\" * 1_300])
    def test_braces_in_texts_are_no_objects(self, text: str) -> None:
        step = {"count": 1, "image": "{" * 900, "dataRack": "{" * 900}
        body = msgspec.json.encode({"specification": text, "steps": [step] * 3})
        assert count_objects(body) == 4
        assert isinstance(self.decode(body), Success)

    @pytest.mark.parametrize("end", [b"", b"\\", b'"'])
    def test_a_text_without_end_is_scanned_once(self, end: bytes) -> None:
        """Scans that began again at each quote would take hours."""
        body = b'"' + b'\\"{' * 80_000 + end
        assert count_objects(body) <= 1
