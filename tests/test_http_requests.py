"""HTTP routes of the request path: headers, statuses, complete or broken responses."""

import pytest
from trio.testing import MockClock

from galenastall.node.requests.http_requests import RequestRoutes, respond
from galenastall.node.requests.permit_settings import RequestSettings
from galenastall.node.requests.request_types import RequestAnswer, RequestReason
from galenastall.standin.faults import ExecutorFaults
from galenastall.state.ids import DataCentre, HostId, RequestId
from galenastall.state.outcomes import Outcome
from galenastall.transport.http_messages import BodyStream, HttpRequest, HttpResponse
from galenastall.transport.http_routes import route
from http_support import connect, serving
from request_rig import Harness, open_harness


def routes_of(harness: Harness) -> RequestRoutes:
    host = harness.hosts[HostId("e1")]
    return RequestRoutes(
        clock=harness.clock,
        requests=host.requests,
        keyed=host.keyed,
        settings=lambda: harness.settings,
    )


async def post(harness: Harness, headers: dict[str, str], *, body: bytes = b"in") -> HttpResponse:
    named = {f"galenastall-{name}": value for name, value in headers.items()}
    request = HttpRequest(
        method="POST",
        path="/v1/requests/format",
        path_params={"operation": "format"},
        headers={"galenastall-team": "a", "content-length": str(len(body)), **named},
        stream=BodyStream.of(body),
    )
    return await routes_of(harness).submit(request)


class TestHeaders:
    @pytest.mark.parametrize(
        ("header", "value"),
        [
            ("team", ""),
            ("class", "asap"),
            ("deadline-ms", "0"),
            ("deadline-ms", "300001"),
            ("deadline-ms", "1.5"),
            ("idempotent", "yes"),
            ("request-id", "a#b"),
            ("request-id", "x" * 129),
        ],
    )
    async def test_a_bad_header_is_named_with_what_is_allowed(
        self, autojump_clock: MockClock, header: str, value: str
    ) -> None:
        async with open_harness() as harness:
            response = await post(harness, {header: value})
            assert (response.status, response.headers["galenastall-outcome"]) == (400, "not_run")
            assert isinstance(response.body, bytes)
            assert f"galenastall-{header}".encode() in response.body
            assert b"allowed" in response.body
            assert harness.runs == 0

    async def test_an_answer_names_the_callers_request(self, autojump_clock: MockClock) -> None:
        async with open_harness() as harness:
            response = await post(harness, {"request-id": "mine", "deadline-ms": "2000"})
            assert response.status == 200
            assert response.headers["galenastall-request-id"] == "mine"
            assert response.headers["galenastall-outcome"] == "done"
            status = await routes_of(harness).status(
                HttpRequest(method="GET", path="", path_params={"id": "mine"})
            )
            assert isinstance(status.body, bytes)
            assert b'"outcome":"done"' in status.body

    async def test_a_body_too_large_for_a_key_runs_nothing(self, autojump_clock: MockClock) -> None:
        async with open_harness() as harness:
            harness.settings = RequestSettings(keyed_body_bytes=10)
            response = await post(harness, {"idempotency-key": "1-a"}, body=b"x" * 11)
            assert (response.status, response.headers["galenastall-outcome"]) == (413, "not_run")

    async def test_a_large_body_is_streamed_through(self, autojump_clock: MockClock) -> None:
        async with open_harness() as harness:
            harness.settings = RequestSettings(replay_bytes=10)
            response = await post(harness, {}, body=b"x" * 1_000)
            assert (response.status, harness.runs) == (200, 1)


class TestStatuses:
    @pytest.mark.parametrize(
        ("outcome", "reason", "status"),
        [
            (Outcome.DONE, RequestReason.NONE, 200),
            (Outcome.DONE, RequestReason.REPEAT, 200),
            (Outcome.DONE, RequestReason.ANSWER_NOT_KEPT, 410),
            (Outcome.NOT_RUN, RequestReason.QUEUE_FULL, 429),
            (Outcome.NOT_RUN, RequestReason.DEADLINE_PASSED, 429),
            (Outcome.NOT_RUN, RequestReason.DRAINING, 503),
            (Outcome.NOT_RUN, RequestReason.UNREACHABLE, 503),
            (Outcome.NOT_RUN, RequestReason.KEY_HOME_ELSEWHERE, 421),
            (Outcome.NOT_RUN, RequestReason.KEY_MISMATCH, 422),
            (Outcome.NOT_RUN, RequestReason.KEY_REFUSED, 400),
            (Outcome.FAILED, RequestReason.FAILED_BY_UPSTREAM, 502),
            (Outcome.UNKNOWN, RequestReason.NO_ANSWER, 504),
            (Outcome.UNKNOWN, RequestReason.UNREACHABLE, 504),
            (Outcome.UNKNOWN, RequestReason.REPEAT, 504),
            (Outcome.UNKNOWN, RequestReason.IN_PROGRESS, 409),
        ],
    )
    def test_each_outcome_has_its_status(
        self, outcome: Outcome, reason: RequestReason, status: int
    ) -> None:
        answer = RequestAnswer(
            request_id=RequestId("r"),
            outcome=outcome,
            reason=reason,
            retry_after_s=0.25,
            home=DataCentre("mapo"),
        )
        response = respond(answer)
        assert response.status == status
        assert response.headers["galenastall-outcome"] == outcome.value
        assert response.headers["retry-after"] == "1"
        assert response.headers["galenastall-retry-after-ms"] == "250"
        assert response.headers["galenastall-home"] == "mapo"


class Caller:
    """A route that needs no headers, for the raw client."""

    def __init__(self, harness: Harness) -> None:
        self._harness = harness

    @route("GET", "/ask")
    async def ask(self, _request: HttpRequest) -> HttpResponse:
        return respond(await self._harness.submit("e1", self._harness.call(idempotent=True)))


class TestOverSockets:
    @pytest.mark.parametrize("cut", [0.0, 1.0])
    async def test_a_streamed_answer_is_whole_or_its_connection_breaks(self, cut: float) -> None:
        async with open_harness() as harness, serving(Caller(harness)) as server:
            harness.set_faults(ExecutorFaults(answer_bytes=3_000_000, cut=cut))
            client = await connect(server.address)
            answer = await client.request("GET", "/ask")
            assert answer.status == 200
            assert answer.is_complete is (cut == 0.0)
            assert (len(answer.body) == 3_000_000) is (cut == 0.0)
            assert harness.hosts[HostId("e1")].permits.held == 0

    async def test_a_small_answer_that_breaks_is_an_error_status(self) -> None:
        async with open_harness() as harness, serving(Caller(harness)) as server:
            harness.set_faults(ExecutorFaults(cut=1.0))
            answer = await (await connect(server.address)).request("GET", "/ask")
            assert (answer.status, answer.is_complete) == (504, True)
            assert answer.headers["galenastall-outcome"] == "unknown"
