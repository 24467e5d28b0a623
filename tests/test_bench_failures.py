import msgspec
import pytest

from galenastall.bench.report import ScenarioResult
from galenastall.bench.scenarios.placement_failures import (
    add_recovery,
    affected_workers,
    read_owners,
)
from galenastall.proof.history import Fault, HistoryRecorder, TaskStarted
from galenastall.state.ids import HostId, TaskId
from galenastall.state.resources import Resources

W1, W2 = HostId("w1"), HostId("w2")
OWNERS = {W1: "a", W2: "b"}


def log_line(at: str, process: str, worker: str, event: str = "worker.adopted") -> bytes:
    return msgspec.json.encode({"at": at, "process": process, "peer": worker, "event": event})


def make_history(*faults: tuple[str, str, float]) -> HistoryRecorder:
    recorder = HistoryRecorder()
    for host, kind, at in faults:
        recorder.record(Fault(at=at, host=host, kind=kind, until=at + 5))
    return recorder


class TestRecoveryFigures:
    def test_owner_is_the_last_adopter_before_the_fault(self) -> None:
        lines = [
            log_line("2000.1", "b", "w1"),
            log_line("1000.0", "a", "w1"),
            log_line("9000.0", "c", "w1"),
            log_line("2500.0", "c", "w1", event="worker.start"),
            b"no json",
        ]
        assert read_owners(lines, before=5.0) == {W1: "b"}

    @pytest.mark.parametrize(
        ("faults", "expected"),
        [
            ([("a", "pause", 10.0)], (10.0, [W1])),
            ([("log", "log-outage", 10.0), ("b", "kill", 30.0)], (30.0, [W2])),
            ([("a", "kill", 10.0), ("b", "kill", 10.0)], (10.0, [W1, W2])),
            ([("a,b", "cut", 10.0)], (10.0, [W1, W2])),
            ([("all", "lost-start-answers", 10.0)], (10.0, [W1, W2])),
        ],
    )
    def test_workers_affected_by_a_fault(
        self, faults: list[tuple[str, str, float]], expected: tuple[float, list[HostId]]
    ) -> None:
        assert affected_workers(make_history(*faults).history(), OWNERS) == expected

    def test_first_starts_and_gaps_after_the_fault(self) -> None:
        recorder = make_history(("a,b", "cut", 10.0))
        for worker, at in ((W1, 9.0), (W1, 12.0), (W1, 20.0), (W2, 15.0)):
            recorder.record(
                TaskStarted(
                    at=at,
                    worker=worker,
                    task_id=TaskId("j/0"),
                    attempt=int(at),
                    reserved=Resources(),
                    real=Resources(),
                )
            )
        result = ScenarioResult(scenario="x", seed=1, command="x")
        add_recovery(result, recorder.history(), OWNERS)
        assert [figure.value for figure in result.figures] == [2, 2.0, 3.5, 5.0, 8.0]
