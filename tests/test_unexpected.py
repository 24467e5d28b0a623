"""Unexpected errors: each is an event that names the place where it arose."""

import pytest
import trio

from galenastall.protocol.addresses import split_address
from galenastall.state.timeline_ring import TimelineRing
from galenastall.transport.clock import TrioClock
from galenastall.transport.logs import Recorder
from galenastall.transport.unexpected import unexpected_recorded


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
