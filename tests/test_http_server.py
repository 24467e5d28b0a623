"""The HTTP server: routes, errors, truncated bodies and draining."""

from collections.abc import AsyncIterator
from dataclasses import dataclass

import msgspec
import pytest
import trio
import trio.testing
from returns.result import Failure

from client_crowds import connect as connect_with_small_buffer
from galenastall.state.errors import Reason
from galenastall.transport.http_json import json_response, parse_json
from galenastall.transport.http_messages import BodyStream, HttpRequest, HttpResponse
from galenastall.transport.http_routes import RouteTable, route
from galenastall.transport.http_server import KEEP_ALIVE_S
from http_support import RawResponse, connect, serving


@dataclass(frozen=True, kw_only=True, slots=True)
class Submit:
    name: str
    sizes: list[int]


class Handlers:
    def __init__(self) -> None:
        self.entered = trio.Event()
        self.release = trio.Event()
        self.was_disconnected = trio.Event()
        self.answered = 0

    @route("GET", "/v1/jobs/{job_id}")
    async def show(self, request: HttpRequest) -> HttpResponse:
        return json_response(200, {"job": request.path_params["job_id"], "q": dict(request.query)})

    @route("POST", "/v1/call/{operation*}")
    async def call(self, request: HttpRequest) -> HttpResponse:
        body = (await request.read_body(100)).unwrap()
        return HttpResponse(headers={"x-operation": request.path_params["operation"]}, body=body)

    @route("POST", "/ignores-body")
    async def ignore(self, request: HttpRequest) -> HttpResponse:
        return HttpResponse(status=413)

    @route("GET", "/broken")
    async def broken(self, request: HttpRequest) -> HttpResponse:
        raise KeyError("defect")

    @route("GET", "/cut/chunked")
    async def cut_chunked(self, request: HttpRequest) -> HttpResponse:
        return HttpResponse(body=self._cut_body())

    @route("GET", "/cut/length")
    async def cut_length(self, request: HttpRequest) -> HttpResponse:
        return HttpResponse(headers={"content-length": "100"}, body=self._cut_body())

    @route("GET", "/short")
    async def short(self, request: HttpRequest) -> HttpResponse:
        return HttpResponse(headers={"content-length": "100"}, body=self._whole_body())

    @route("GET", "/stream")
    async def stream(self, request: HttpRequest) -> HttpResponse:
        return HttpResponse(body=self._whole_body())

    @route("GET", "/held")
    async def held(self, request: HttpRequest) -> HttpResponse:
        self.entered.set()
        await self.release.wait()
        return HttpResponse(body=b"late but whole")

    @route("GET", "/empty")
    async def empty(self, request: HttpRequest) -> HttpResponse:
        self.answered += 1
        return HttpResponse()

    @route("GET", "/until-gone")
    async def until_gone(self, request: HttpRequest) -> HttpResponse:
        self.entered.set()
        await request.wait_disconnected()
        self.was_disconnected.set()
        return HttpResponse()

    async def _cut_body(self) -> AsyncIterator[bytes]:
        yield b"part"
        raise OSError("the source broke off")

    async def _whole_body(self) -> AsyncIterator[bytes]:
        yield b"one"
        yield b"two"


class TestRoutes:
    async def test_decodes_placeholders_and_query(self) -> None:
        async with serving(Handlers()) as server:
            answer = await (await connect(server.address)).request("GET", "/v1/jobs/a%2Fb?x=1&y=")
        assert msgspec.json.decode(answer.body) == {"job": "a/b", "q": {"x": "1", "y": ""}}

    async def test_rest_of_path_and_body_come_through(self) -> None:
        async with serving(Handlers()) as server:
            client = await connect(server.address)
            answers = [
                await client.request("POST", "/v1/call/a/b%20c", body=b"x") for _ in range(3)
            ]
        assert [answer.body for answer in answers] == [b"x"] * 3
        assert answers[0].headers["x-operation"] == "a/b c"

    @pytest.mark.parametrize(
        ("method", "path", "status", "reason"),
        [
            ("GET", "/v1/nothing", 404, "not_found"),
            ("GET", "/v1/jobs/a/b", 404, "not_found"),
            ("DELETE", "/v1/jobs/a", 405, "invalid"),
        ],
    )
    async def test_unknown_routes_are_typed_errors(
        self, method: str, path: str, status: int, reason: str
    ) -> None:
        async with serving(Handlers()) as server:
            answer = await (await connect(server.address)).request(method, path)
        assert answer.status == status
        assert msgspec.json.decode(answer.body)["reason"] == reason

    def test_refuses_two_handlers_of_one_route(self) -> None:
        with pytest.raises(ValueError, match="claimed twice"):
            RouteTable(handlers=[Handlers.__new__(Handlers), Handlers.__new__(Handlers)])


class TestFailures:
    async def test_handler_exception_is_a_typed_500_and_the_connection_lives(self) -> None:
        async with serving(Handlers()) as server:
            client = await connect(server.address)
            answer = await client.request("GET", "/broken")
            after = await client.request("GET", "/stream")
        error = msgspec.json.decode(answer.body)
        assert (answer.status, error["step"], error["reason"]) == (500, "http.handle", "cut")
        assert error["peer"].startswith("127.0.0.1:")
        assert after.body == b"onetwo"

    @pytest.mark.parametrize("path", ["/cut/chunked", "/cut/length", "/short"])
    async def test_cut_body_is_never_whole(self, path: str) -> None:
        async with serving(Handlers()) as server:
            answer = await (await connect(server.address)).request("GET", path)
        assert answer.status == 200
        assert not answer.is_complete

    async def test_large_unread_body_does_not_hold_the_answer(self) -> None:
        async with serving(Handlers()) as server:
            client = await connect(server.address)
            answer = await client.request("POST", "/ignores-body", body=b"x" * 2_000_000)
        assert answer.status == 413

    async def test_body_over_its_limit_is_refused(self) -> None:
        request = HttpRequest(method="POST", path="/", stream=BodyStream.of(b"x" * 11))
        result = await request.read_body(10)
        assert isinstance(result, Failure)
        assert result.failure().reason is Reason.INVALID

    async def test_parse_json_names_field_and_value(self) -> None:
        body = b'{"name": "n", "sizes": [1, "two"]}'
        request = HttpRequest(method="POST", path="/", stream=BodyStream.of(body))
        result = await parse_json(request, Submit)
        assert isinstance(result, Failure)
        assert "$.sizes[1]" in result.failure().detail
        assert '"two"' in result.failure().detail

    async def test_client_that_leaves_is_noticed(self) -> None:
        handlers = Handlers()
        async with serving(handlers) as server:
            client = await connect(server.address)
            await client.send("GET", "/until-gone")
            await handlers.entered.wait()
            await client.stream.aclose()
            await handlers.was_disconnected.wait()


class TestRequestsSentAhead:
    async def test_the_next_one_waits_until_an_empty_response_is_written(self) -> None:
        """Else each unread response would keep a task and its memory."""
        handlers = Handlers()
        async with serving(handlers) as server, trio.open_nursery() as nursery:
            client = await connect_with_small_buffer(server.address)
            requests = b"GET /empty HTTP/1.1\r\nhost: a\r\n\r\n" * 100_000
            nursery.start_soon(client.send_all, requests)
            before = -1
            while handlers.answered > before:
                before = handlers.answered
                await trio.sleep(0.5)
            assert handlers.answered < 100_000
            assert trio.lowlevel.current_statistics().tasks_living < 20
            nursery.cancel_scope.cancel()


class TestIdleConnections:
    async def test_one_that_the_client_closes_is_freed_at_once(
        self, mock_clock: trio.testing.MockClock
    ) -> None:
        async with serving(Handlers()) as server:
            client = await connect(server.address)
            assert (await client.request("GET", "/stream")).is_complete
            assert server.open_connections == 1
            await client.stream.aclose()
            while server.open_connections:
                await trio.testing.wait_all_tasks_blocked(0.001)

    async def test_one_is_closed_after_its_time_and_not_before(
        self, mock_clock: trio.testing.MockClock
    ) -> None:
        async with serving(Handlers()) as server:
            client = await connect(server.address)
            assert (await client.request("GET", "/stream")).is_complete
            for _ in range(2):
                await trio.testing.wait_all_tasks_blocked(0.01)
                mock_clock.jump(KEEP_ALIVE_S - 1)
                assert (await client.request("GET", "/stream")).is_complete
            await trio.testing.wait_all_tasks_blocked(0.01)
            mock_clock.jump(KEEP_ALIVE_S + 1)
            assert await client.stream.receive_some() == b""

    async def test_a_long_request_is_no_idle_time(self, mock_clock: trio.testing.MockClock) -> None:
        handlers = Handlers()
        async with serving(handlers) as server:
            client = await connect(server.address)
            await client.send("GET", "/held")
            await handlers.entered.wait()
            mock_clock.jump(KEEP_ALIVE_S * 2)
            await trio.testing.wait_all_tasks_blocked(0.01)
            handlers.release.set()
            assert (await client.receive()).is_complete


class TestDrain:
    async def test_finishes_what_is_in_progress_and_closes_keep_alive(self) -> None:
        handlers = Handlers()
        async with serving(handlers) as server:
            busy, idle = await connect(server.address), await connect(server.address)
            assert (await idle.request("GET", "/stream")).is_complete
            await busy.send("GET", "/held")
            await handlers.entered.wait()
            still_open: list[int] = []
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_drain_into, server, still_open)
                assert await idle.stream.receive_some() == b""
                with pytest.raises(OSError, match="all attempts to connect"):
                    await connect(server.address)
                handlers.release.set()
                answer = await busy.receive()
        assert answer.is_complete
        assert answer.headers["connection"] == "close"
        assert still_open == [0]

    async def test_lingering_server_answers_and_tells_to_close(self, mock_clock: object) -> None:
        async with serving(Handlers(), linger_s=5.0) as server, trio.open_nursery() as nursery:
            client = await connect(server.address)
            nursery.start_soon(server.drain, 10.0)
            await trio.testing.wait_all_tasks_blocked()
            answer = await client.request("GET", "/stream")
            assert answer.is_complete
            assert answer.headers["connection"] == "close"
            nursery.cancel_scope.cancel()

    async def test_clients_that_heed_the_close_lose_nothing(
        self, mock_clock: trio.testing.MockClock
    ) -> None:
        answers: list[RawResponse] = []

        async def ask_until_told_to_close(address: str) -> None:
            client = await connect(address)
            while True:
                answers.append(await client.request("GET", "/stream"))
                if answers[-1].headers.get("connection") == "close":
                    return

        async with serving(Handlers(), linger_s=5.0) as server:
            still_open: list[int] = []
            async with trio.open_nursery() as nursery:
                async with trio.open_nursery() as clients:
                    for _ in range(20):
                        clients.start_soon(ask_until_told_to_close, server.address)
                    while len(answers) < 100:
                        await trio.lowlevel.checkpoint()
                    nursery.start_soon(_drain_into, server, still_open)
                mock_clock.jump(6.0)
        assert all(answer.is_complete for answer in answers)
        assert still_open == [0]

    async def test_reports_what_the_timeout_cut_off(self) -> None:
        handlers = Handlers()
        async with serving(handlers) as server:
            client = await connect(server.address)
            await client.send("GET", "/held")
            await handlers.entered.wait()
            assert await server.drain(0.0) == 1
            assert not (await client.receive()).is_complete


async def _drain_into(server: object, counts: list[int]) -> None:
    from galenastall.transport.http_server import HttpServer

    assert isinstance(server, HttpServer)
    counts.append(await server.drain(30.0))
