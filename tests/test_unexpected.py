"""Unexpected errors: each is an event that names the place where it arose."""

import pytest
import trio

from galenastall.protocol.addresses import split_address
from galenastall.state.timeline_ring import TimelineRing
from galenastall.transport.clock import TrioClock
from galenastall.transport.http_messages import HttpRequest, HttpResponse
from galenastall.transport.http_routes import route
from galenastall.transport.http_server import HttpServer
from galenastall.transport.log_budget import BudgetedRecorder, LineBudget
from galenastall.transport.logs import Recorder
from galenastall.transport.metrics import Metrics
from galenastall.transport.unexpected import counted_error_log, unexpected_recorded
from http_support import connect


def make_recorder() -> Recorder:
    return Recorder(process="p", clock=TrioClock(), ring=TimelineRing(capacity=100))


async def read_address() -> None:
    split_address("nowhere")


async def read_nothing() -> None:
    raise KeyError("nothing")


async def fail_in_nested_tasks(recorder: Recorder) -> None:
    with unexpected_recorded(recorder, "host.failed"):
        async with trio.open_nursery() as outer, trio.open_nursery() as inner:
            outer.start_soon(read_nothing)
            inner.start_soon(read_address)


class TestEvents:
    async def test_each_error_of_a_nested_group_names_its_place(self) -> None:
        recorder = make_recorder()
        with pytest.raises(ExceptionGroup):
            await fail_in_nested_tasks(recorder)
        events = {event.fields["place"].split(":")[0]: event for event in recorder.ring}
        assert set(events) == {"protocol/addresses.py", "outside this package"}
        address = events["protocol/addresses.py"]
        assert address.step == "host.failed"
        assert address.cause.startswith("ValueError: must be IP:port")
        assert address.fields["place"].endswith(" split_address")
        assert "split_address" in address.fields["stack"]

    async def test_a_long_message_is_shortened(self) -> None:
        recorder = make_recorder()
        with pytest.raises(ValueError, match="x"), unexpected_recorded(recorder, "host.failed"):
            raise ValueError("x" * 100_000)
        (event,) = recorder.ring
        assert len(event.cause) < 300
        assert len(event.fields["stack"]) <= 4_000

    async def test_a_cancelled_block_is_no_error(self) -> None:
        recorder = make_recorder()
        with trio.move_on_after(0.01), unexpected_recorded(recorder, "host.failed"):
            await trio.sleep_forever()
        assert list(recorder.ring) == []


class Failing:
    """A handler that has a defect."""

    @route("GET", "/failing")
    async def fail(self, request: HttpRequest) -> HttpResponse:
        split_address("nowhere")
        return HttpResponse()


class TestRequests:
    async def test_a_defect_in_a_handler_is_answered_and_counted_with_its_place(self) -> None:
        clock, metrics = TrioClock(), Metrics()
        recorder = BudgetedRecorder(
            budget=LineBudget(clock=clock),
            metrics=metrics,
            process="p",
            clock=clock,
            ring=TimelineRing(capacity=100),
        )
        server = HttpServer(
            handlers=[Failing()], clock=clock, log_error=counted_error_log(recorder)
        )
        async with trio.open_nursery() as nursery:
            await nursery.start(server.run)
            client = await connect(server.address)
            assert (await client.request("GET", "/failing")).status == 500
            assert (await client.request("GET", "/failing")).status == 500
            nursery.cancel_scope.cancel()
        page = (await metrics.page()).decode()
        counted = [line for line in page.splitlines() if 'kind="http.handle"' in line]
        assert [line.split()[-1] for line in counted if "_total" in line] == ["2.0"]
        event = next(iter(recorder.ring))
        assert event.fields["place"].endswith(" split_address")
        assert event.subjects == ("GET /failing: ValueError",)
