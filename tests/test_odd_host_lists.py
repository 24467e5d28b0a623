"""Lists of machines without an end, and waves that are rewritten."""

from typing import Any

import msgspec
import trio
from returns.result import Result, Success

from galenastall.platform.hosts import PlatformHosts
from galenastall.state.errors import StepError
from galenastall.state.timeline_ring import TimelineRing
from galenastall.transport.clock import TrioClock
from galenastall.transport.http_client import BufferedResponse
from galenastall.transport.logs import Recorder


class Pages:
    """A list of machines whose pages name ever new ones."""

    def __init__(self) -> None:
        self.calls = 0

    async def get(self, **_: Any) -> Result[BufferedResponse, StepError]:
        self.calls += 1
        await trio.lowlevel.checkpoint()
        body = msgspec.json.encode({"machines": [], "nextPageToken": f"t{self.calls}"})
        return Success(BufferedResponse(status=200, headers={}, body=body))


class TestPlatform:
    def make(self, calls: Any, values: dict[str, bytes]) -> PlatformHosts:
        store: Any = None
        return PlatformHosts(
            calls=calls,
            address=lambda: "c:1",
            store=store,
            operator_values=lambda: values,
            recorder=Recorder(process="p", clock=TrioClock(), ring=TimelineRing(capacity=10)),
        )

    async def test_a_list_without_an_end_ends(self) -> None:
        pages = Pages()
        with trio.move_on_after(3.0):
            await self.make(pages, {}).list_hosts()
        assert pages.calls <= 1_000

    async def test_a_wave_that_is_rewritten_leaves_nothing_behind(self) -> None:
        values: dict[str, bytes] = {}
        hosts = self.make(None, values)
        for number in range(1_000):
            values["wave/1"] = msgspec.json.encode({"wave": 1, "durationS": number})
            assert len(hosts.waves()) == 1
        assert len(hosts._waves_by_value) <= 10
