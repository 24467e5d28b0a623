"""What the time line and `explain` report on requests, jobs, settings and owners."""

from typing import Any

import pytest
from returns.result import Failure

from galenastall.coordination.timeline.explain import SENTENCES, explain, explanation_text
from galenastall.coordination.timeline.timeline_merge import merge_timelines
from galenastall.node import http_ops
from galenastall.node.requests.request_table import RequestTable
from galenastall.node.requests.request_trace import RequestTrace
from galenastall.node.requests.request_types import RequestAnswer, RequestCall
from galenastall.node.timeline.present_state import PresentState
from galenastall.standin.faults import ExecutorFaults
from galenastall.state.ids import HostId, RequestId, TeamPath
from galenastall.state.outcomes import Outcome
from galenastall.state.resources import Resources
from galenastall.state.timeline import HybridTime, TimelineEvent
from galenastall.state.timeline_ring import TimelineRing
from galenastall.state.work import Workload
from galenastall.transport.clock import TrioClock
from galenastall.transport.logs import Level, Recorder
from job_cluster import make_spec, open_cluster
from request_rig import open_harness


def explain_events(ring: TimelineRing, subject: str, present: tuple[str, ...] = ()) -> str:
    events = ring.about(subject, with_parts=True)
    return explanation_text(explain(merge_timelines([events], subject=subject), present=present))


class TestRequests:
    async def test_a_retried_request(self, autojump_clock: Any) -> None:
        async with open_harness() as harness:
            harness.set_faults(ExecutorFaults(drop_after=1.0, call_timeout_s=0.5), HostId("x0"))
            await harness.submit("e1", harness.call("r1", idempotent=True))
            text = explain_events(harness.ring, "r1")
        lines = text.splitlines()
        assert "e1 queued the request for" in lines[0]
        assert "with nothing ahead of it" in lines[0]
        assert "e1 sent attempt 1 to x0 under" in lines[1]
        assert "the attempt at x0 came out as unknown because of" in lines[2]
        assert "e1 tried once more after x0 because of no answer" in lines[3]
        assert "e1 sent attempt 2 to x1 under" in text
        assert "answered the caller: done, after 2 attempts" in lines[-2]

    async def test_refused_request_states_not_run_and_retry_time(self, autojump_clock: Any) -> None:
        async with open_harness() as harness:
            harness.hosts[HostId("e1")].requests.begin_drain()
            answer = await harness.submit("e1", harness.call("r1"))
            assert answer.outcome is Outcome.NOT_RUN
            text = explain_events(harness.ring, "r1")
        assert "e1 refused the request because of draining, and it was not run;" in text
        assert f"may come again after {answer.retry_after_s:.2f} s" in text


class TestJobs:
    async def test_a_batch_and_one_of_its_tasks(self, autojump_clock: Any) -> None:
        async with open_cluster() as cluster:
            host = cluster.hosts[HostId("a")]
            await host.intake.submit(make_spec("j", tasks=3))
            await host.intake.submit(make_spec("k", tasks=3))
            await cluster.until(lambda: cluster.ended("j") and cluster.ended("k"))
            present = PresentState(jobs=host.intake, requests=RequestTable())
            job = explain_events(cluster.ring, "j", await present.describe("j"))
            task = explain_events(cluster.ring, "j/0", await present.describe("j/0"))
            assert await present.describe("nobody") == ()
        assert "a accepted job j, durable in the log" in job
        assert "because policy leftover of class batch chose it among the workers" in job
        assert job.splitlines()[-1] == "Now: j of board/packs has 3 done. It ended as done."
        assert "task j/0 was placed on w" in task
        assert "task j/0 started on w" in task
        assert "task j/0 ended on w" in task
        assert "j/1" not in task
        assert "k/" not in job
        assert "gave tasks j/0, j/1 and j/2 to" in job
        assert "  " not in job

    async def test_infeasible_job_is_refused_with_the_missing_resource(
        self, autojump_clock: Any
    ) -> None:
        async with open_cluster() as cluster:
            host = cluster.hosts[HostId("a")]
            huge = make_spec("huge", resources=Resources(cores_milli=9_000_000, memory_mb=1))
            assert isinstance(await host.intake.submit(huge), Failure)
            text = explain_events(cluster.ring, "huge")
        assert "a refused job huge because" in text
        assert "because it can never run: needs 9000 cores" in text
        assert "9000" in text

    async def test_explanation_of_a_waiting_task_ends_with_its_state(
        self, autojump_clock: Any
    ) -> None:
        async with open_cluster() as cluster:
            host = cluster.hosts[HostId("a")]
            await host.intake.submit(make_spec("full", tasks=500, run_s=500.0))
            await cluster.until(lambda: len(cluster.running()) > 10)
            placed = cluster.running()
            waiting = next(f"full/{n}" for n in range(500) if f"full/{n}" not in placed)
            present = PresentState(jobs=host.intake, requests=RequestTable())
            text = explain_events(cluster.ring, waiting, await present.describe(waiting))
        assert text.splitlines()[-1].startswith(f"Now: {waiting} is waiting")

    async def test_a_gang(self, autojump_clock: Any) -> None:
        async with open_cluster() as cluster:
            host = cluster.hosts[HostId("a")]
            await host.intake.submit(make_spec("g", tasks=6, workload=Workload.GANG))
            await cluster.until(lambda: cluster.ended("g"))
            text = explain_events(cluster.ring, "g")
        assert "because all of its gang fit at once" in text


def an_event(step: str, **fields: str) -> TimelineEvent:
    return TimelineEvent(
        at=HybridTime(wall_ms=1),
        process="e1",
        step=step,
        peer="w1",
        subjects=("j/0", "j/1", "k/0", "w1"),
        cause="so it is",
        fields=fields,
    )


class TestSentences:
    @pytest.mark.parametrize("step", [step for step in SENTENCES.names() if "test." not in step])
    def test_each_step_renders_one_sentence_with_or_without_fields(self, step: str) -> None:
        for event in (an_event(step), an_event(step, outcome="not_run", owner="e2", offset="7")):
            sentence = SENTENCES.get(step)(event)
            assert sentence == " ".join(sentence.split())
            assert not sentence.endswith(".")

    def test_tasks_of_other_jobs_in_the_batch_are_not_named(self) -> None:
        line = merge_timelines([[an_event("worker.start")]], subject="j")
        assert explain(line).sentences == (
            "After 0.000 s tasks j/0 and j/1 were placed on w1 by e1 because so it is.",
        )
        line = merge_timelines([[an_event("worker.start")]], subject="w1")
        assert "k/0" in explain(line).sentences[0]

    def test_every_module_of_sentences_is_loaded_with_the_route(self) -> None:
        assert http_ops.SENTENCE_MODULES
        for step in ("request.refused", "job.accepted", "settings.stale", "ownership.lost"):
            assert step in SENTENCES


class TestDetails:
    async def test_unknown_outcomes_are_recorded_for_unsampled_requests(self) -> None:
        ring = TimelineRing()
        recorder = Recorder(process="e1", clock=TrioClock(), ring=ring, detail_share=0.0)
        trace = RequestTrace(events=recorder)
        call = RequestCall(
            request_id=RequestId("r"), team=TeamPath("t"), operation="x", deadline=1.0
        )
        trace.queued(call, ahead=0)
        for outcome in Outcome:
            answer = RequestAnswer(request_id=call.request_id, outcome=outcome)
            trace.ended(call, answer, attempts=1)
        kept = [event.fields["outcome"] for event in ring.about("r")]
        assert sorted(kept) == ["failed", "unknown"]

    def test_the_level_that_settings_call_debug(self) -> None:
        assert Level["DEBUG"] is Level.DETAIL
