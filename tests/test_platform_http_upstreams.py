"""How the HTTP adapter interprets unexpected responses of executors."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
import trio
from returns.result import Failure, Result
from trio.testing import MockClock

from galenastall.protocol.platform import UpstreamAnswer, UpstreamCutError
from galenastall.standin.lean_http import LeanRequest, LeanResponse, LeanServer
from galenastall.state.errors import Reason, StepError
from galenastall.state.outcomes import Outcome
from galenastall.transport.clock import TrioClock
from galenastall.transport.http_client import HttpClient
from galenastall.transport.platform_http import build_http_platform
from standin_cases import make_call, one_chunk

OWN = "galenastall-attempt-id: request-1#1\r\n"
OTHER = "galenastall-attempt-id: request-2#1\r\n"
NOT_RUN = "galenastall-outcome: not_run\r\n"


@pytest.fixture
def jumping_clock() -> MockClock:
    return MockClock(autojump_threshold=0.005)


@asynccontextmanager
async def answer_to_call(
    data: bytes | None, *, not_after_s: float = 5.0
) -> AsyncIterator[Result[UpstreamAnswer, StepError]]:
    """Call a server that responds with `data`, or never if that is None."""

    async def answer(request: LeanRequest) -> LeanResponse:
        if data is None:
            await trio.sleep_forever()
        return LeanResponse(data=data or b"", keeps_connection=False)

    clock = TrioClock(wall_at_start=1e9)
    server = LeanServer(answer=answer)
    client = HttpClient(clock=clock)
    services = build_http_platform(address=server.address, client=client, clock=clock)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.run)
        async with services.upstreams.call(
            address=server.address,
            call=make_call(not_after=clock.wall() + not_after_s, length=1),
            body=one_chunk(b"x"),
        ) as answered:
            yield answered
        await client.aclose()
        nursery.cancel_scope.cancel()


def answer_of(status: int, headers: str, body: str = "") -> bytes:
    return f"HTTP/1.1 {status} X\r\n{headers}content-length: {len(body)}\r\n\r\n{body}".encode()


class TestRefusals:
    @pytest.mark.parametrize(
        ("status", "headers", "reason"),
        [
            (503, OWN + NOT_RUN, Reason.OVERLOADED),
            (429, OWN + NOT_RUN, Reason.OVERLOADED),
            (403, OWN + NOT_RUN, Reason.REFUSED),
            (409, OWN + NOT_RUN, Reason.CONFLICT),
            (500, OWN + NOT_RUN, Reason.REFUSED),
            (503, "", Reason.CUT),
            (503, NOT_RUN, Reason.CUT),
            (503, OTHER + NOT_RUN, Reason.CUT),
            (200, OTHER, Reason.CUT),
            (200, "", Reason.CUT),
        ],
    )
    async def test_only_the_executors_own_answer_proves_not_run(
        self, status: int, headers: str, reason: Reason, jumping_clock: MockClock
    ) -> None:
        async with answer_to_call(answer_of(status, headers)) as answered:
            assert isinstance(answered, Failure)
            assert answered.failure().reason is reason

    async def test_retry_hint_is_kept(self, jumping_clock: MockClock) -> None:
        data = answer_of(503, OWN + NOT_RUN + "retry-after: 7\r\n")
        async with answer_to_call(data) as answered:
            assert answered.failure().retry_after_s == 7.0


class TestOutcomes:
    @pytest.mark.parametrize(
        ("status", "headers", "outcome"),
        [
            (200, OWN, Outcome.DONE),
            (500, OWN + "galenastall-outcome: failed\r\n", Outcome.FAILED),
            (500, OWN, Outcome.UNKNOWN),
            (503, OWN, Outcome.UNKNOWN),
            (200, OWN + "galenastall-outcome: unknown\r\n", Outcome.UNKNOWN),
            (500, OWN + "galenastall-outcome: perhaps\r\n", Outcome.UNKNOWN),
        ],
    )
    async def test_a_status_alone_says_little(
        self, status: int, headers: str, outcome: Outcome, jumping_clock: MockClock
    ) -> None:
        async with answer_to_call(answer_of(status, headers, "text")) as answered:
            answer = answered.unwrap()
            assert answer.outcome is outcome
            assert b"".join([chunk async for chunk in answer.body]) == b"text"

    async def test_unmet_length_is_a_cut(self, jumping_clock: MockClock) -> None:
        data = answer_of(200, OWN, "whole text")[:-4]
        async with answer_to_call(data) as answered:
            with pytest.raises(UpstreamCutError):
                [chunk async for chunk in answered.unwrap().body]

    async def test_unmet_chunk_is_a_cut(self, jumping_clock: MockClock) -> None:
        data = f"HTTP/1.1 200 X\r\n{OWN}transfer-encoding: chunked\r\n\r\n4\r\ntext\r\n".encode()
        async with answer_to_call(data) as answered:
            with pytest.raises(UpstreamCutError):
                [chunk async for chunk in answered.unwrap().body]

    async def test_body_without_a_checked_end_is_a_cut(self, jumping_clock: MockClock) -> None:
        data = f"HTTP/1.1 200 X\r\n{OWN}\r\ntext".encode()
        async with answer_to_call(data) as answered:
            assert answered.failure().reason is Reason.CUT

    async def test_unanswered_call_times_out_at_not_after(self, jumping_clock: MockClock) -> None:
        started = trio.current_time()
        async with answer_to_call(None, not_after_s=3.0) as answered:
            assert answered.failure().reason is Reason.TIMEOUT
            assert 3.0 <= trio.current_time() - started < 3.5
