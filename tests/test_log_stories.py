"""Outcomes of jobs, explained from captured log lines of several processes."""

import re
from pathlib import Path

import pytest
from typer.testing import CliRunner

from galenastall.cli.app import app
from galenastall.coordination.cell.explain_logs import explain_job, parse_lines

ROOT = Path(__file__).parent.parent
LINES = (ROOT / "tests" / "data" / "three_jobs.log").read_text()


class TestJobSummaries:
    def test_a_refused_job(self) -> None:
        summary = explain_job(parse_lines(LINES.splitlines()), "5aaef4c568bb7c5b")
        assert summary.verdict == "refused 1 times, not run: the store is away"
        assert [line.event for line in summary.lines] == ["store.lost", "job.refused"]

    def test_a_job_shown_as_failed(self) -> None:
        summary = explain_job(parse_lines(LINES.splitlines()), "b26dec3770259b18")
        assert summary.verdict.startswith("failed 0.724 s after acceptance: 1 of 1 runs failed")
        assert "0.0.0 run 1 on i-1" in summary.verdict

    def test_a_job_that_was_late(self) -> None:
        summary = explain_job(parse_lines(LINES.splitlines()), "52b970c5ea38398b")
        assert summary.verdict == "completed 2.900 s after acceptance: all tasks are done"
        assert summary.delays[0].startswith("1.500 s between run.assigned and run.ended")
        assert "leader.claimed on two" in summary.delays[0]
        assert summary.delays[-1] == "0.0.0 run 1 ended as lapsed"

    def test_an_id_that_no_line_is_about(self) -> None:
        summary = explain_job(parse_lines(LINES.splitlines()), "0" * 16)
        assert summary.verdict.startswith("no line is about")

    def test_all_incarnations_of_an_executor_are_found_by_its_name(self) -> None:
        line = '{"at":"1.0","process":"p","event":"executor.lost","subjects":["i-1@5"]}'
        assert len(explain_job(parse_lines([line]), "i-1").lines) == 1
        assert len(explain_job(parse_lines([line]), "i-1@5").lines) == 1
        assert explain_job(parse_lines([line]), "i").lines == ()

    def test_events_of_one_millisecond_keep_their_order(self) -> None:
        lines = parse_lines(LINES.splitlines())
        events = [line.event for line in lines if line.at_s == 1003.6]
        assert events == ["run.ended", "run.assigned"]


class TestLogCommands:
    def test_explain_reads_folders(self, tmp_path: Path) -> None:
        (tmp_path / "one.log").write_text(LINES)
        arguments = ["explain", "b26dec3770259b18", "--logs", str(tmp_path)]
        answer = CliRunner().invoke(app, arguments)
        assert answer.exit_code == 0
        assert answer.stdout.startswith("failed 0.724 s")

    def test_timeline_reads_standard_input(self) -> None:
        arguments = ["timeline", "5aaef4c568bb7c5b", "--logs", "-"]
        answer = CliRunner().invoke(app, arguments, input=LINES)
        assert "job.refused" in answer.stdout

    @pytest.mark.parametrize("command", ["explain", "timeline"])
    def test_neither_a_host_nor_files_is_an_error(
        self, command: str, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.delenv("GALENASTALL_ENTRY", raising=False)
        answer = CliRunner().invoke(app, [command, "5aaef4c568bb7c5b"])
        assert answer.exit_code == 2
        assert "--entry: missing" in answer.output

    def test_a_missing_file_is_named(self, tmp_path: Path) -> None:
        gone = tmp_path / "gone.log"
        answer = CliRunner().invoke(app, ["explain", "x", "--logs", str(gone)])
        assert answer.exit_code == 2
        assert "gone.log" in answer.output


class TestOperationsPage:
    FOLDERS = ("coordination/cell", "node/cell", "platform")
    PAGE = ROOT / "docs" / "OPERATIONS.md"

    def source(self) -> str:
        files = [
            file
            for folder in self.FOLDERS
            for file in sorted((ROOT / "src" / "galenastall" / folder).glob("*.py"))
        ]
        transport = ROOT / "src" / "galenastall" / "transport"
        files += [transport / "limited_clients.py", transport / "log_budget.py"]
        return "\n".join(file.read_text() for file in files)

    def rows(self) -> set[str]:
        return set(re.findall(r"^\| `([a-z_.]+)` \|", self.PAGE.read_text(), re.MULTILINE))

    def test_its_table_has_all_events_and_no_others(self) -> None:
        source = self.source()
        events = set(re.findall(r'\.(?:note|record)\(\s*"([a-z_]+\.[a-z_]+)"', source))
        events |= set(re.findall(r'unexpected(?:_recorded)?\([^"()]*"([a-z_]+\.[a-z_]+)"', source))
        events |= set(re.findall(r'^STEP: Final = "([a-z_]+\.[a-z_]+)"', source, re.MULTILINE))
        kinds = re.findall(r'\.record\([^"()]*kind="([a-z_]+)"', source)
        events |= {f"{kind}.{end}" for kind in kinds for end in ("unreadable", "unexpected")}
        assert events == {row for row in self.rows() if "." in row}

    def test_its_table_has_all_metrics_and_no_others(self) -> None:
        metrics = set(re.findall(r'"(galenastall_[a-z_]+)"', self.source()))
        assert metrics == {row for row in self.rows() if row.startswith("galenastall_")}
