"""The HTTP client against misbehaving servers, one case for each kind of error."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass

import pytest
import trio
import trio.testing
from returns.result import Failure, Result, Success

from galenastall.state.errors import Reason, StepError
from galenastall.transport.clock import TrioClock
from galenastall.transport.http_client import BufferedResponse, HttpClient, ResponseProgress
from galenastall.transport.http_exchange import ResponseCutError
from galenastall.transport.http_json import json_response, parse_json
from galenastall.transport.http_messages import HttpRequest, HttpResponse
from galenastall.transport.http_routes import route
from http_support import serving

Behaviour = Callable[[trio.SocketStream, int], Awaitable[None]]
WHOLE = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
FAR_S = 1000.0


class Script:
    """A server that reads requests one by one and runs a scripted behaviour for each."""

    def __init__(self, behave: Behaviour) -> None:
        self._behave = behave
        self.requests = 0
        self.connections = 0
        self.seen = trio.Event()
        self.responded = trio.Event()

    async def __call__(self, stream: trio.SocketStream) -> None:
        self.connections += 1
        async with stream:
            with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
                await self._serve(stream)

    async def _serve(self, stream: trio.SocketStream) -> None:
        while await self._read_request(stream):
            self.requests += 1
            self.seen.set()
            await self._behave(stream, self.requests)
            self.responded.set()

    async def _read_request(self, stream: trio.SocketStream) -> bool:
        data = b""
        while b"\r\n\r\n" not in data:
            chunk = await stream.receive_some()
            if not chunk:
                return False
            data += chunk
        return True


@asynccontextmanager
async def scripted(behave: Behaviour) -> AsyncIterator[tuple[str, Script]]:
    script = Script(behave)
    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(trio.serve_tcp, script, 0)
        port = listeners[0].socket.getsockname()[1]
        yield f"127.0.0.1:{port}", script
        nursery.cancel_scope.cancel()


def sends(data: bytes, *, then_close: bool = False) -> Behaviour:
    async def behave(stream: trio.SocketStream, request: int) -> None:
        await stream.send_all(data)
        if then_close:
            await stream.send_eof()

    return behave


async def get(client: HttpClient, address: str, *, timeout_s: float = FAR_S) -> object:
    result = await client.request(method="GET", address=address, path="/", timeout_s=timeout_s)
    match result:
        case Success(answer):
            return answer.body
        case Failure(error):
            assert error.peer == address
            return error.reason
    raise AssertionError(result)


async def request_with_idle_timeout(
    address: str, answers: list[Result[BufferedResponse, StepError]]
) -> None:
    """Append the answer to a request that has much time, but no more than 1.7 s of silence."""
    answer = await HttpClient(clock=TrioClock()).request(
        method="GET", address=address, path="/", timeout_s=FAR_S, idle_timeout_s=1.7
    )
    answers.append(answer)


class TestErrors:
    @pytest.mark.parametrize(
        ("data", "expected"),
        [
            (WHOLE, b"ok"),
            (b"", Reason.CUT),
            (b"HTTP/1.1 200 OK\r\ncontent-le", Reason.CUT),
            (b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nok", Reason.CUT),
            (b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n", Reason.CUT),
            (b"HTTP/1.1 200 OK\r\n\r\nok", Reason.CUT),
            (b"HTTP/1.0 200 OK\r\n\r\nok", Reason.CUT),
            (b"nonsense\r\n\r\n", Reason.CUT),
            (b"HTTP/1.1 204 No Content\r\n\r\n", b""),
        ],
    )
    async def test_broken_answers_are_cut(self, data: bytes, expected: object) -> None:
        async with scripted(sends(data, then_close=True)) as (address, _):
            assert await get(HttpClient(clock=TrioClock()), address) == expected

    async def test_refused_connection_is_unreachable(self) -> None:
        async with scripted(sends(WHOLE)) as (address, _):
            pass
        assert await get(HttpClient(clock=TrioClock()), address) is Reason.UNREACHABLE

    async def test_malformed_address_is_unreachable(self) -> None:
        assert await get(HttpClient(clock=TrioClock()), "nowhere") is Reason.UNREACHABLE

    @pytest.mark.parametrize("sent_first", [b"", b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nok"])
    async def test_late_answer_is_timeout(
        self, sent_first: bytes, mock_clock: trio.testing.MockClock
    ) -> None:
        reasons: list[object] = []

        async def record_call(address: str) -> None:
            client = HttpClient(clock=TrioClock())
            reasons.append(await get(client, address, timeout_s=5.0))

        async with scripted(sends(sent_first)) as (address, script), trio.open_nursery() as nursery:
            nursery.start_soon(record_call, address)
            await script.seen.wait()
            await trio.testing.wait_all_tasks_blocked(0.01)
            mock_clock.jump(6.0)
        assert reasons == [Reason.TIMEOUT]

    async def test_a_response_that_keeps_arriving_is_not_given_up(
        self, mock_clock: trio.testing.MockClock
    ) -> None:
        chunks = 5
        sent = trio.Event()
        answers: list[Result[BufferedResponse, StepError]] = []

        async def behave(stream: trio.SocketStream, request: int) -> None:
            await stream.send_all(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % chunks)
            for _ in range(chunks):
                await trio.sleep(1.5)
                await stream.send_all(b"x")
            sent.set()

        async with scripted(behave) as (address, script), trio.open_nursery() as nursery:
            nursery.start_soon(request_with_idle_timeout, address, answers)
            await script.seen.wait()
            while not sent.is_set():
                await trio.testing.wait_all_tasks_blocked(0.01)
                mock_clock.jump(1.5)
        assert answers[0].unwrap().body == b"x" * chunks

    @pytest.mark.parametrize(
        ("sent_first", "detail"),
        [
            (b"", "no response in time"),
            (
                b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nok",
                "response stalled: 2 bytes had arrived",
            ),
        ],
    )
    async def test_a_response_that_stops_arriving_is_given_up(
        self, sent_first: bytes, detail: str, mock_clock: trio.testing.MockClock
    ) -> None:
        answers: list[Result[BufferedResponse, StepError]] = []
        async with scripted(sends(sent_first)) as (address, script), trio.open_nursery() as nursery:
            nursery.start_soon(request_with_idle_timeout, address, answers)
            await script.seen.wait()
            await trio.testing.wait_all_tasks_blocked(0.01)
            mock_clock.jump(2.0)
        error = answers[0].failure()
        assert (error.reason, error.detail) == (Reason.TIMEOUT, detail)

    async def test_a_response_that_its_reader_gives_up_frees_its_connection(self) -> None:
        seen: list[tuple[int, int]] = []

        def is_wanted(progress: ResponseProgress) -> bool:
            seen.append((progress.received_bytes, progress.expected_bytes))
            return False

        data = b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\npart"
        async with scripted(sends(data)) as (address, _):
            client = HttpClient(clock=TrioClock(), max_connections=1)
            for _ in range(2):
                answer = await client.request(
                    method="GET",
                    address=address,
                    path="/",
                    timeout_s=FAR_S,
                    on_progress=is_wanted,
                )
                assert answer.failure().reason is Reason.CUT
        assert seen == [(4, 9)] * 2

    async def test_kept_connection_that_dies_under_a_request_is_cut(self) -> None:
        async def behave(stream: trio.SocketStream, request: int) -> None:
            if request == 1:
                await stream.send_all(WHOLE)
            else:
                await stream.aclose()

        async with scripted(behave) as (address, script):
            client = HttpClient(clock=TrioClock())
            assert await get(client, address) == b"ok"
            assert await get(client, address) is Reason.CUT
        assert script.requests == 2

    async def test_kept_connection_seen_closed_is_replaced(self) -> None:
        async with scripted(sends(WHOLE, then_close=True)) as (address, script):
            client = HttpClient(clock=TrioClock())
            assert await get(client, address) == b"ok"
            await script.responded.wait()
            assert await get(client, address) == b"ok"
        assert script.connections == 2

    async def test_source_that_breaks_off_closes_the_connection(self) -> None:
        async def source() -> AsyncIterator[bytes]:
            yield b"part"
            raise OSError("source")

        async with scripted(sends(WHOLE)) as (address, _):
            client = HttpClient(clock=TrioClock(), max_connections=1)
            with pytest.raises(OSError, match="source"):
                async with client.stream(
                    method="POST", address=address, path="/", timeout_s=FAR_S, body=source()
                ):
                    pass
            assert await get(client, address) == b"ok"


class TestPool:
    async def test_reuses_a_connection_and_bounds_their_number(self) -> None:
        async with scripted(sends(WHOLE)) as (address, script):
            client = HttpClient(clock=TrioClock(), max_connections=2)
            async with trio.open_nursery() as nursery:
                for _ in range(20):
                    nursery.start_soon(get, client, address)
        assert script.requests == 20
        assert script.connections <= 2

    async def test_waiting_for_a_connection_past_the_deadline_sends_nothing(
        self, mock_clock: trio.testing.MockClock
    ) -> None:
        reasons: list[object] = []

        async def record_call(client: HttpClient, address: str) -> None:
            reasons.append(await get(client, address, timeout_s=5.0))

        async with scripted(sends(b"")) as (address, script):
            client = HttpClient(clock=TrioClock(), max_connections=1)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(get, client, address)
                await script.seen.wait()
                nursery.start_soon(record_call, client, address)
                await trio.testing.wait_all_tasks_blocked(0.01)
                mock_clock.jump(6.0)
                while not reasons:
                    await trio.testing.wait_all_tasks_blocked()
                nursery.cancel_scope.cancel()
        assert reasons == [Reason.UNREACHABLE]
        assert script.requests == 1

    async def test_after_a_timeout_no_other_kept_connection_is_trusted(
        self, mock_clock: trio.testing.MockClock
    ) -> None:
        both = trio.Event()
        third = trio.Event()
        reasons: list[object] = []

        async def record_call(client: HttpClient, address: str) -> None:
            reasons.append(await get(client, address, timeout_s=5.0))

        async def behave(stream: trio.SocketStream, number: int) -> None:
            if number == 2:
                both.set()
            if number <= 2:
                await both.wait()
            if number == 3:
                third.set()
            else:
                await stream.send_all(WHOLE)

        async with scripted(behave) as (address, script):
            client = HttpClient(clock=TrioClock())
            async with trio.open_nursery() as nursery:
                for _ in range(2):
                    nursery.start_soon(get, client, address)
            assert script.connections == 2
            async with trio.open_nursery() as nursery:
                nursery.start_soon(record_call, client, address)
                await third.wait()
                mock_clock.jump(6.0)
            assert reasons == [Reason.TIMEOUT]
            await get(client, address)
        assert script.requests == 4
        assert script.connections == 3

    async def test_leaving_a_streamed_answer_early_gives_the_place_back(self) -> None:
        async with scripted(sends(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\npart")) as made:
            address, _ = made
            client = HttpClient(clock=TrioClock(), max_connections=1)
            for _ in range(2):
                async with client.stream(
                    method="GET", address=address, path="/", timeout_s=FAR_S
                ) as result:
                    assert await anext(aiter(result.unwrap().body)) == b"part"

    async def test_cut_stream_raises_a_typed_error(self) -> None:
        data = b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\npart"
        async with scripted(sends(data, then_close=True)) as (address, _):
            client = HttpClient(clock=TrioClock())
            async with client.stream(
                method="GET", address=address, path="/", timeout_s=FAR_S, step="upstream.call"
            ) as result:
                for _ in range(2):
                    with pytest.raises(ResponseCutError) as caught:
                        async for _ in result.unwrap().body:
                            pass
        assert caught.value.error.step == "upstream.call"
        assert caught.value.error.reason is Reason.CUT


@dataclass(frozen=True, kw_only=True, slots=True)
class Echo:
    text: str


class EchoHandler:
    @route("POST", "/echo")
    async def echo(self, request: HttpRequest) -> HttpResponse:
        parsed = await parse_json(request, Echo)
        return json_response(200, parsed.unwrap())

    @route("GET", "/refuses")
    async def refuse(self, request: HttpRequest) -> HttpResponse:
        error = StepError(step="jobs.show", peer="", reason=Reason.NOT_OWNER, detail="d")
        return json_response(421, error)

    @route("POST", "/upload")
    async def upload(self, request: HttpRequest) -> HttpResponse:
        return HttpResponse(body=request.body())

    @route("GET", "/odd")
    async def odd(self, request: HttpRequest) -> HttpResponse:
        return json_response(200, {"text": 5})

    @route("GET", "/busy")
    async def busy(self, request: HttpRequest) -> HttpResponse:
        return HttpResponse(status=429, headers={"retry-after": "3"}, body=b"later")


class TestJson:
    async def test_round_trip(self) -> None:
        async with serving(EchoHandler()) as server:
            client = HttpClient(clock=TrioClock())
            result = await client.post_json(
                address=server.address,
                path="/echo",
                message=Echo(text="é"),
                answer_type=Echo,
                timeout_s=FAR_S,
            )
        assert result == Success(Echo(text="é"))

    @pytest.mark.parametrize(
        ("path", "reason", "step", "retry_after_s"),
        [
            ("/refuses", Reason.NOT_OWNER, "jobs.show", None),
            ("/odd", Reason.CUT, "http.get_json", None),
            ("/busy", Reason.OVERLOADED, "http.get_json", 3.0),
        ],
    )
    async def test_errors_come_back_typed(
        self, path: str, reason: Reason, step: str, retry_after_s: float | None
    ) -> None:
        async with serving(EchoHandler()) as server:
            client = HttpClient(clock=TrioClock())
            result = await client.get_json(
                address=server.address, path=path, answer_type=Echo, timeout_s=FAR_S
            )
        error = result.failure()
        assert (error.reason, error.step, error.peer) == (reason, step, server.address)
        assert error.retry_after_s == retry_after_s

    async def test_streams_both_ways(self) -> None:
        chunks = [b"%d" % index * 50_000 for index in range(10)]

        async def source() -> AsyncIterator[bytes]:
            for chunk in chunks:
                yield chunk

        async with serving(EchoHandler()) as server:
            client = HttpClient(clock=TrioClock())
            async with client.stream(
                method="POST", address=server.address, path="/upload", timeout_s=60, body=source()
            ) as result:
                received = [chunk async for chunk in result.unwrap().body]
        assert b"".join(received) == b"".join(chunks)
