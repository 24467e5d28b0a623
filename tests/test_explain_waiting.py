"""Wait times of jobs, computed from log lines alone."""

from pathlib import Path

import msgspec
import pytest
from typer.testing import CliRunner

from galenastall.cli.app import app
from galenastall.coordination.cell.explain_logs import LogLine, parse_lines
from galenastall.coordination.cell.explain_waiting import JobWait, format_waits, waits_of

START_S = 1_000.0


def line(at_s: float, event: str, *subjects: str, **fields: str) -> str:
    at_ms = round((START_S + at_s) * 1000)
    value = {"at": f"{at_ms}.0", "process": "entry-1/x", "event": event, "subjects": subjects}
    return msgspec.json.encode({**value, **fields}).decode()


def waits(*texts: str) -> dict[str, JobWait]:
    lines: list[LogLine] = parse_lines(texts)
    return {wait.job_id: wait for wait in waits_of(lines)}


GANG = (
    line(1.0, "job.accepted", "a", queue="gangs"),
    line(2.2, "advice.answered", "a", took_ms="1100"),
    line(2.3, "advice.answered", "a", took_ms="1200"),
    line(6.0, "advice.answered", "a", took_ms="1000"),
    line(6.0, "run.assigned", "a", "0.0.0", run="1"),
)


class TestWaits:
    def test_concurrent_calls_count_once_and_the_rest_is_capacity(self) -> None:
        wait = waits(*GANG)["a"]
        assert wait.has_started
        assert wait.advice_s == pytest.approx(2.2)
        assert wait.capacity_s == pytest.approx(2.8)
        assert wait.store_s == 0.0

    def test_an_outage_takes_precedence_over_advice_and_capacity(self) -> None:
        outage = (line(3.0, "store.lost"), line(5.5, "store.regained"))
        wait = waits(*GANG, *outage)["a"]
        assert wait.store_s == pytest.approx(2.5)
        assert wait.advice_s == pytest.approx(1.7)
        assert wait.total_s == pytest.approx(5.0)

    def test_a_time_without_a_leader_is_an_outage(self) -> None:
        takeover = (line(3.0, "leader.lost"), line(4.0, "leader.loaded"))
        assert waits(*GANG, *takeover)["a"].store_s == pytest.approx(1.0)

    @pytest.mark.parametrize(("event", "waited_s"), [("job.ended", 3.0), ("cell.load", 3.0)])
    def test_a_job_that_never_started_waits_until_its_end_or_the_log_s(
        self, event: str, waited_s: float
    ) -> None:
        wait = waits(line(1.0, "job.accepted", "a", queue="q"), line(4.0, event, "a"))["a"]
        assert not wait.has_started
        assert wait.total_s == pytest.approx(waited_s)

    def test_jobs_that_were_not_accepted_are_left_out(self) -> None:
        assert waits(line(1.0, "job.refused", "a")) == {}
        assert waits() == {}

    def test_queues_are_summed_and_the_longest_waits_named(self) -> None:
        short = (
            line(1.0, "job.accepted", "b", queue="gangs"),
            line(1.0, "run.assigned", "b", "0.0.0"),
        )
        lines = format_waits(waits_of(parse_lines([*GANG, *short])), longest=1)
        assert lines[0].startswith("gangs: 2 jobs accepted, 2 started; ")
        assert "for capacity 1.400 s" in lines[0]
        assert len(lines) == 2
        assert lines[1].startswith("  a of gangs: 5.000 s, first start; ")


class TestCommand:
    def test_it_reads_a_folder_of_logs(self, tmp_path: Path) -> None:
        (tmp_path / "one.log").write_text("\n".join(GANG))
        result = CliRunner().invoke(app, ["explain", "--logs", str(tmp_path), "--waiting"])
        assert result.exit_code == 0, result.output
        assert "gangs: 1 jobs accepted" in result.output

    @pytest.mark.parametrize(
        ("arguments", "message"),
        [(["explain", "--waiting"], "--waiting: needs --logs"), (["explain"], "SUBJECT: missing")],
    )
    def test_what_is_missing_is_named(self, arguments: list[str], message: str) -> None:
        result = CliRunner().invoke(app, arguments)
        assert result.exit_code == 2
        assert message in result.output
