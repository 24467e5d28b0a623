"""Recorder, log lines, metrics page and operators' routes, on the components of real processes."""

import io
import logging
from typing import Any

import msgspec
import pytest
import trio
from prometheus_client.parser import text_string_to_metric_families

from galenastall.node.http_ops import HttpOps
from galenastall.node.timeline.timeline_service import TimelineService
from galenastall.state.errors import Reason, StepError
from galenastall.state.ids import HostId, Incarnation
from galenastall.state.timeline_ring import TimelineRing
from galenastall.transport.clock import TrioClock
from galenastall.transport.logs import Level, Recorder, configure_logging
from galenastall.transport.metrics import MAX_SERIES, Metrics
from galenastall.transport.peer_link import ZmqPeerLink
from http_support import connect, serving


def lines_of(stream: io.BytesIO) -> list[Any]:
    return [msgspec.json.decode(line) for line in stream.getvalue().splitlines()]


class TestRecorder:
    async def test_event_and_log_line_match(self) -> None:
        stream, ring = io.BytesIO(), TimelineRing()
        recorder = Recorder(
            process="entry-a", clock=TrioClock(wall_at_start=1000.0), ring=ring, stream=stream
        )
        recorder.record(
            "job.placed", peer="worker-1", subjects=("j/0",), cause="fits", fields={"cores": "2"}
        )
        recorder.record("request.sent", subjects=("r",), level=Level.DETAIL)
        (event,) = ring.about("j/0")
        (line,) = lines_of(stream)
        assert line["event"] == event.step == "job.placed"
        assert (line["peer"], line["subjects"], line["cause"]) == ("worker-1", ["j/0"], "fits")
        assert (line["process"], line["cores"], line["level"]) == ("entry-a", "2", "info")
        assert line["at"] == f"{event.at.wall_ms}.{event.at.counter}"
        assert len(ring.about("r")) == 1

    async def test_details_of_an_id_are_sampled_consistently_across_processes(self) -> None:
        recorders = [
            Recorder(process=name, clock=TrioClock(), ring=TimelineRing(), detail_share=0.5)
            for name in ("entry-a", "entry-b")
        ]
        for number in range(400):
            for recorder in recorders:
                recorder.record("request.sent", subjects=(f"r{number}",), level=Level.DETAIL)
        kept = [{event.subjects for event in recorder.ring} for recorder in recorders]
        assert kept[0] == kept[1]
        assert 150 < len(kept[0]) < 250

    async def test_error_keeps_step_and_peer_and_its_traceback(self) -> None:
        stream, ring = io.BytesIO(), TimelineRing()
        recorder = Recorder(process="entry-a", clock=TrioClock(), ring=ring, stream=stream)
        error = StepError(step="http.handle", peer="10.0.0.1:5", reason=Reason.CUT, detail="d")
        try:
            raise KeyError("defect")
        except KeyError as exception:
            recorder.record_error(error, exception)
        (line,) = lines_of(stream)
        assert (line["event"], line["peer"], line["reason"]) == ("http.handle", "10.0.0.1:5", "cut")
        assert "KeyError" in line["exception"]
        assert ring.latest(1)[0].cause == "d"

    async def test_unwritable_log_stream_does_not_stop_recording(self) -> None:
        class FullDisk(io.BytesIO):
            def write(self, _: Any) -> int:
                raise OSError("no space left")

        ring = TimelineRing()
        recorder = Recorder(process="a", clock=TrioClock(), ring=ring, stream=FullDisk())
        recorder.record("job.placed")
        recorder.record("job.placed")
        assert len(ring) == 2

    def test_library_lines_are_json_too(self) -> None:
        root = logging.getLogger()
        before, level = root.handlers, root.level
        stream = io.BytesIO()
        try:
            configure_logging(stream=stream)
            logging.getLogger("hypercorn").warning("odd %s", "thing")
        finally:
            root.handlers = before
            root.setLevel(level)
        (line,) = lines_of(stream)
        assert (line["event"], line["logger"]) == ("odd thing", "hypercorn")


class TestMetrics:
    async def test_page_shows_sums_buckets_and_readings(self) -> None:
        metrics = Metrics()
        starts = metrics.counter("task_starts", "Task starts.", labels=("team",))
        waits = metrics.histogram("wait_seconds", "Waits.", labels=("team",), bounds=(0.1, 1.0))
        metrics.gauge("owned", "Owned hosts.", lambda: 3)
        metrics.gauge("queued", "Queued.", lambda: {("a",): 1.0, ("b",): 2.0}, labels=("team",))
        metrics.histogram("plain", "No labels.").record(1.0)
        starts.add(2, "board")
        starts.add(1, "board")
        for value in (0.05, 0.1, 0.5, 7.0):
            waits.record(value, "board")
        page = (await metrics.page()).decode()
        for line in (
            'task_starts_total{team="board"} 3.0',
            "# TYPE wait_seconds histogram",
            'wait_seconds_bucket{team="board",le="0.1"} 2',
            'wait_seconds_bucket{team="board",le="+Inf"} 4',
            'wait_seconds_sum{team="board"} 7.65',
            'wait_seconds_count{team="board"} 4',
            'plain_bucket{le="+Inf"} 1',
            "plain_count 1",
            "owned 3.0",
            'queued{team="b"} 2.0',
        ):
            assert line in page.splitlines()

    async def test_two_registries_do_not_mix(self) -> None:
        first, second = Metrics(), Metrics()
        first.counter("starts", "Starts.").add(5)
        second.counter("starts", "Starts.").add(7)
        assert "starts_total 5.0" in (await first.page()).decode()
        assert "starts_total 7.0" in (await second.page()).decode()

    async def test_page_is_parsed_by_the_prometheus_client(self) -> None:
        metrics = Metrics()
        odd = 'a"b\\c\nd'
        metrics.histogram("waits", "Waits.", labels=("team",)).record(0.3, odd)
        metrics.counter("starts", "Starts.", labels=("team",)).add(1, odd)
        families = list(text_string_to_metric_families((await metrics.page()).decode()))
        samples = {sample.name: sample for family in families for sample in family.samples}
        assert samples["waits_count"].labels == samples["starts_total"].labels == {"team": odd}
        assert {family.type for family in families} == {"histogram", "counter"}

    def test_label_sets_are_bounded_and_nothing_is_lost(self) -> None:
        metrics = Metrics()
        counter = metrics.counter("starts", "Starts.", labels=("team",))
        waits = metrics.histogram("waits", "Waits.", labels=("team",))
        for number in range(MAX_SERIES + 50):
            counter.add(1, f"team-{number}")
            waits.record(1.0, f"team-{number}")
        assert counter.value("other") == 50
        assert waits.count("other") == 50

    def test_wrong_number_of_labels_is_refused(self) -> None:
        with pytest.raises(ValueError, match="expected 1 values"):
            Metrics().counter("starts", "Starts.", labels=("team",)).add(1)


class Node:
    """The parts of one process that the time line needs."""

    def __init__(self, name: str) -> None:
        self.clock = TrioClock()
        self.ring = TimelineRing()
        self.recorder = Recorder(process=name, clock=self.clock, ring=self.ring)
        self.link = ZmqPeerLink(
            host_id=HostId(name),
            incarnation=Incarnation("1"),
            clock=self.clock,
            hybrid=self.recorder.hybrid,
        )
        self.peers: list[HostId] = []
        self.reasons: list[str] = []
        self.service = TimelineService(
            link=self.link, ring=self.ring, peers=lambda: self.peers, timeout_s=60.0
        )
        self.ops = HttpOps(
            metrics=Metrics(),
            timeline=self.service,
            not_ready_reasons=lambda: self.reasons,
        )


class TestOps:
    async def test_merged_timeline_names_unreachable_processes(self) -> None:
        a, b = Node("entry-a"), Node("entry-b")
        async with trio.open_nursery() as nursery:
            await nursery.start(a.link.run)
            await nursery.start(b.link.run)
            a.link.set_peers({HostId("entry-b"): b.link.address})
            a.peers = [HostId("entry-b"), HostId("entry-gone")]
            a.recorder.record("job.accepted", subjects=("j/1",))
            b.recorder.record("job.placed", subjects=("j/1",), peer="worker-1", cause="fits")
            b.recorder.record("job.placed", subjects=("k",))
            async with serving(a.ops) as server:
                client = await connect(server.address)
                line = msgspec.json.decode((await client.request("GET", "/v1/timeline/j/1")).body)
                text = (await client.request("GET", "/v1/timeline/j/1?format=text")).body.decode()
                explained = msgspec.json.decode(
                    (await client.request("GET", "/v1/explain/j%2F1")).body
                )
                image = await client.request("GET", "/v1/timeline/j/1?format=svg")
                odd = await client.request("GET", "/v1/timeline/j/1?format=gif")
            nursery.cancel_scope.cancel()
        assert {event["step"] for event in line["events"]} == {"job.accepted", "job.placed"}
        assert line["unreachable"] == ["entry-gone"]
        assert "! entry-gone could not be asked" in text
        assert len(explained["sentences"]) == 2
        assert "entry-gone could not be asked" in explained["caveats"][0]
        assert image.headers["content-type"] == "image/svg+xml"
        assert b"<svg" in image.body
        assert odd.status == 400
        assert "'gif'" in msgspec.json.decode(odd.body)["detail"]

    async def test_hybrid_clocks_advance_with_messages(self) -> None:
        a, b = Node("entry-a"), Node("entry-b")
        b.recorder.hybrid.observe(int(b.clock.wall() * 1000) + 30_000, 0, wall_s=b.clock.wall())
        async with trio.open_nursery() as nursery:
            await nursery.start(a.link.run)
            await nursery.start(b.link.run)
            a.link.set_peers({HostId("entry-b"): b.link.address})
            a.peers = [HostId("entry-b")]
            b.recorder.record("before.answer", subjects=("j",))
            await a.service.gather("j")
            a.recorder.record("after.answer", subjects=("j",))
            merged = await a.service.gather("j")
            nursery.cancel_scope.cancel()
        assert [event.step for event in merged.events] == ["before.answer", "after.answer"]

    async def test_readiness_gives_reasons_and_health_does_not_depend_on_it(self) -> None:
        node = Node("entry-a")
        async with serving(node.ops) as server:
            client = await connect(server.address)
            ready = await client.request("GET", "/readyz")
            node.reasons = ["the settings were not read yet"]
            waiting = await client.request("GET", "/readyz")
            health = await client.request("GET", "/healthz")
            metrics = await client.request("GET", "/metrics")
        assert (ready.status, waiting.status, health.status) == (200, 503, 200)
        assert msgspec.json.decode(waiting.body)["reasons"] == ["the settings were not read yet"]
        assert metrics.headers["content-type"].startswith("text/plain")

    async def test_gather_without_peers_returns_the_own_ring(self) -> None:
        node = Node("entry-a")
        node.recorder.record("job.accepted", subjects=("j",))
        merged = await node.service.gather("j")
        assert [event.step for event in merged.events] == ["job.accepted"]
        assert merged.unreachable == ()
