"""Queries without a result leave a line from which their cause can be told."""

from typing import Any

import pytest
from returns.result import Failure, Result, Success

from galenastall.coordination.cell.explain_logs import explain_job, parse_lines
from galenastall.protocol.cell.config import CellConfig
from galenastall.state.cell.phases import JobPhase
from galenastall.state.errors import Reason, StepError
from galenastall.state.timeline import TimelineEvent
from galenastall.state.timeline_ring import TimelineRing
from test_platform_access import (
    JOB,
    KEY,
    NEW_KEY,
    FakeConfigSource,
    FakeLeader,
    decode,
    make_table,
    make_tenant,
    send_request,
)

OLD = decode(make_table(make_tenant("a", KEY))).to_config()
NEW = decode(make_table(make_tenant("a", NEW_KEY), version=2)).to_config()


class QueryHandler(FakeLeader):
    """Answers queries with a fixed result."""

    def __init__(self, result: Result[Any, StepError], leader_config: CellConfig) -> None:
        super().__init__(leader_config)
        self.result = result

    async def phase(self, job_id: str, **_: object) -> Result[Any, StepError]:
        return self.result

    async def cancel(self, job_id: str, **_: object) -> Result[Any, StepError]:
        return self.result


def failure(reason: Reason) -> Result[Any, StepError]:
    return Failure(StepError(step="peer.call", peer="entry-1", reason=reason, detail="no answer"))


async def events_of(
    result: Result[Any, StepError],
    *,
    method: str = "GET",
    newer: bool = False,
    key: str = KEY,
    step: str = "job.unanswered",
) -> tuple[int, list[TimelineEvent]]:
    ring = TimelineRing(capacity=10)
    status, _ = await send_request(
        FakeConfigSource(OLD, newer=NEW if newer else None),
        QueryHandler(result, NEW if newer else OLD),  # type: ignore[arg-type]
        key=key,
        method=method,
        ring=ring,
    )
    return status, [event for event in ring if event.step == step]


class TestUnansweredQueries:
    @pytest.mark.parametrize("method", ["GET", "DELETE"])
    @pytest.mark.parametrize("reason", [Reason.TIMEOUT, Reason.UNREACHABLE, Reason.CONFLICT])
    async def test_a_failed_query_leaves_a_line_with_its_cause(
        self, method: str, reason: Reason
    ) -> None:
        status, (event,) = await events_of(failure(reason), method=method)
        assert status == 503
        assert event.subjects == (JOB,)
        assert event.cause == f"peer.call at entry-1: {reason.value}: no answer"
        assert event.fields["method"] == method
        assert event.fields["caller_waits_ms"] == "3000"
        assert event.fields["version"] == "1"

    async def test_a_query_that_a_newer_configuration_refuses_leaves_a_line(self) -> None:
        status, (event,) = await events_of(failure(Reason.CONFLICT), newer=True)
        assert status == 401
        assert event.fields["status"] == "401"
        assert KEY not in repr(event)

    @pytest.mark.parametrize("phase", [JobPhase.RUNNING, None])
    async def test_an_answered_query_leaves_none(self, phase: JobPhase | None) -> None:
        status, events = await events_of(Success(phase))
        assert status == (410 if phase is None else 200)
        assert events == []


class TestRefusedQueries:
    @pytest.mark.parametrize("method", ["GET", "DELETE"])
    async def test_a_refusal_is_not_counted_as_unanswered(self, method: str) -> None:
        result = Success(JobPhase.RUNNING)
        status, (event,) = await events_of(
            result, method=method, key=NEW_KEY, step="job.not_admitted"
        )
        assert status == 401
        assert event.subjects == (JOB,)
        assert event.cause == "x-api-key: no workspace of version 1 has this key"
        assert NEW_KEY not in repr(event)
        assert (await events_of(result, method=method, key=NEW_KEY))[1] == []


class TestExplanation:
    LINES = (
        '{"at":"1000.0","process":"entry-1/x","event":"job.accepted","subjects":["j"]}',
        '{"at":"5000.0","process":"entry-5/x","event":"config.lost","cause":"timed out"}',
        '{"at":"6000.0","process":"entry-5/x","event":"job.unanswered","subjects":["j"],'
        '"cause":"version 14 of the configuration is outdated"}',
    )

    def test_the_verdict_counts_unanswered_queries_and_names_the_last(self) -> None:
        summary = explain_job(parse_lines(self.LINES), "j")
        assert summary.verdict.endswith(
            "; 1 queries unanswered, the last at entry-5: "
            "version 14 of the configuration is outdated"
        )

    def test_the_lines_show_that_the_configuration_could_not_be_read(self) -> None:
        events = [line.event for line in explain_job(parse_lines(self.LINES), "j").lines]
        assert events == ["job.accepted", "config.lost", "job.unanswered"]
