"""Settings file of a process: accepted, or rejected with all problems listed."""

from pathlib import Path

import pytest
from returns.result import Failure, Success

from galenastall.protocol.process_settings import ProcessSettings, load_process_settings

GOOD = """
host_id: entry-1
data_centre: gangnam
http_bind: 10.1.0.1:8080
peer_bind: 10.1.0.1:9090
platform: {adapter: standin, address: 10.1.0.9:7000}
seeds: {entry-2: 10.1.0.2:9090}
"""


def problems_of(tmp_path: Path, text: str) -> list[str]:
    path = tmp_path / "entry.yaml"
    path.write_text(text)
    match load_process_settings(path):
        case Failure(problems):
            assert problems.source == str(path)
            return [str(problem) for problem in problems.problems]
        case Success(settings):
            raise AssertionError(f"accepted: {settings}")
    raise AssertionError("unreachable")


class TestProcessSettings:
    def test_good_file(self, tmp_path: Path) -> None:
        path = tmp_path / "entry.yaml"
        path.write_text(GOOD)
        settings = load_process_settings(path).unwrap()
        assert isinstance(settings, ProcessSettings)
        assert settings.seeds == {"entry-2": "10.1.0.2:9090"}
        assert settings.drain_timeout_seconds == 30.0

    @pytest.mark.parametrize(
        ("line", "expected"),
        [
            ("host_idd: x", "host_idd: unknown key: did you mean 'host_id'?"),
            ("log_level: loud", "log_level: 'loud': Input should be 'debug', 'info'"),
            ("drain_timeout_seconds: '5'", "drain_timeout_seconds: '5': Input should be a valid"),
            ("drain_timeout_seconds: -1", "drain_timeout_seconds: -1: Input should be greater"),
            ("memory: {totl_mb: 9}", "memory.totl_mb: unknown key: did you mean 'total_mb'?"),
            ("timeline_ring_events: 1.5", "timeline_ring_events: 1.5: Input should be a valid int"),
            ("peer_address: example.org:9", "peer_address: 'example.org:9': must start with an IP"),
            ("rack: {a: b}", "rack: {'a': 'b'}: Input should be a valid string"),
        ],
    )
    def test_one_problem(self, tmp_path: Path, line: str, expected: str) -> None:
        (problem,) = problems_of(tmp_path, f"{GOOD}{line}\n")
        assert problem.startswith(expected)

    def test_all_problems_at_once(self, tmp_path: Path) -> None:
        text = GOOD.replace("host_id: entry-1", "host_id: UPPER").replace("10.1.0.9:7000", "x:1")
        found = problems_of(tmp_path, f"{text}colour: red\nseeds2: {{}}\n")
        assert [problem.split(":")[0] for problem in found] == [
            "host_id",
            "platform.address",
            "colour",
            "seeds2",
        ]

    def test_missing_keys(self, tmp_path: Path) -> None:
        found = problems_of(tmp_path, "host_id: a\n")
        assert "platform: required, but missing" in found

    @pytest.mark.parametrize(
        "text", ["host_id: a\nhost_id: b\n", "a: [", "- a\n", "1: x\n", "a: .inf"]
    )
    def test_unusable_yaml(self, tmp_path: Path, text: str) -> None:
        assert len(problems_of(tmp_path, text)) == 1

    def test_wildcard_bind_needs_an_address(self, tmp_path: Path) -> None:
        (problem,) = problems_of(tmp_path, GOOD.replace("10.1.0.1:9090", "0.0.0.0:9090"))
        assert "set peer_address" in problem

    def test_secret_keys_are_not_shown(self, tmp_path: Path) -> None:
        curve = "curve: {public_key: short, secret_key: sesame}\n"
        found = problems_of(tmp_path, GOOD + curve)
        assert len(found) == 2
        assert not any("sesame" in problem for problem in found)

    def test_missing_file(self, tmp_path: Path) -> None:
        failed = load_process_settings(tmp_path / "none.yaml").failure()
        assert "can't be read" in str(failed)
