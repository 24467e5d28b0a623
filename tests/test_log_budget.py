"""Rate-limited log lines, and a log stream that never blocks."""

import os
from io import BytesIO

import msgspec
import trio

from galenastall.state.timeline_ring import TimelineRing
from galenastall.transport.clock import TrioClock
from galenastall.transport.log_budget import (
    EXPLAINING_LINES_PER_SECOND,
    LINES_PER_SECOND,
    BudgetedRecorder,
    LineBudget,
)
from galenastall.transport.log_stream import BoundedLogStream
from galenastall.transport.metrics import Metrics


class TestBoundedLogStream:
    def test_lines_go_through_whole_and_in_order(self) -> None:
        reader, writer = os.pipe()
        stream = BoundedLogStream(descriptor=writer)
        for number in range(100):
            stream.write(b"line %d\n" % number)
        assert os.read(reader, 100_000) == b"".join(b"line %d\n" % n for n in range(100))
        os.close(reader)
        os.close(writer)

    def test_a_reader_that_stalls_costs_lines_and_never_blocks(self) -> None:
        reader, writer = os.pipe()
        stream = BoundedLogStream(descriptor=writer, capacity_bytes=10_000)
        line = b"x" * 999 + b"\n"
        for _ in range(1_000):
            stream.write(line)
        assert stream.dropped > 0
        taken = 0
        while taken < (1_000 - stream.dropped) * len(line):
            taken += len(os.read(reader, 65_536))
            stream.flush()
        assert taken == (1_000 - stream.dropped) * len(line)
        os.close(reader)
        os.close(writer)


class TestBudgetedRecorder:
    def make(self, out: BytesIO) -> tuple[BudgetedRecorder, Metrics]:
        clock = TrioClock()
        metrics = Metrics()
        recorder = BudgetedRecorder(
            budget=LineBudget(clock=clock),
            metrics=metrics,
            process="p",
            clock=clock,
            ring=TimelineRing(),
            stream=out,
        )
        return recorder, metrics

    async def test_a_burst_of_one_kind_is_limited_and_reported(
        self, autojump_clock: object
    ) -> None:
        out = BytesIO()
        recorder, metrics = self.make(out)
        for _ in range(1_000):
            recorder.record("run.assigned", subjects=("job",))
        recorder.record("leader.claimed")
        recorder.report_suppressed(0)
        lines = [msgspec.json.decode(line) for line in out.getvalue().splitlines()]
        kinds = [line["event"] for line in lines]
        assert kinds.count("run.assigned") == 2 * LINES_PER_SECOND
        assert "leader.claimed" in kinds
        assert lines[-1]["event"] == "log.left_out"
        assert lines[-1]["run.assigned"] == str(int(1_000 - 2 * LINES_PER_SECOND))
        page = (await metrics.page()).decode()
        assert 'galenastall_events_total{kind="run.assigned"} 1000.0' in page

    async def test_lines_that_explain_a_refusal_are_left_out_last(
        self, autojump_clock: object
    ) -> None:
        out = BytesIO()
        recorder, _ = self.make(out)
        for _ in range(1_000):
            recorder.record("job.refused", subjects=("job",))
        assert out.getvalue().count(b"job.refused") == 1_000
        assert EXPLAINING_LINES_PER_SECOND > LINES_PER_SECOND

    async def test_the_budget_fills_again(self, autojump_clock: object) -> None:
        out = BytesIO()
        recorder, _ = self.make(out)
        for _ in range(1_000):
            recorder.record("run.assigned")
        await trio.sleep(1.0)
        for _ in range(1_000):
            recorder.record("run.assigned")
        assert out.getvalue().count(b"run.assigned") == 3 * LINES_PER_SECOND
