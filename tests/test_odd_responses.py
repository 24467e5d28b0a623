"""Odd responses and requests over HTTP: a response or a typed error, never an exception."""

from functools import partial
from typing import Any, Final

import msgspec
import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Result

from galenastall.state.errors import Reason, StepError
from galenastall.transport.clock import TrioClock
from galenastall.transport.http_client import BufferedResponse, HttpClient, error_from_response
from galenastall.transport.http_json import error_response
from odd_values import ODD_VALUES, replaced

HEAD: Final = b"HTTP/1.1 200 OK\r\n"
ODD_RESPONSES: Final[dict[str, bytes]] = {
    "a length of 4,400 digits": HEAD + b"content-length: " + b"9" * 4_400 + b"\r\n\r\nx",
    "a length of 20 digits": HEAD + b"content-length: " + b"9" * 20 + b"\r\n\r\nx",
    "a length of superscripts": HEAD + b"content-length: \xb2\r\n\r\nxx",
    "a negative length": HEAD + b"content-length: -1\r\n\r\n",
    "two lengths": HEAD + b"content-length: 1\r\ncontent-length: 2\r\n\r\nxx",
    "a chunk of 30 digits": HEAD + b"transfer-encoding: chunked\r\n\r\n" + b"f" * 30 + b"\r\n",
    "a chunk without a size": HEAD + b"transfer-encoding: chunked\r\n\r\nzz\r\n",
    "another encoding": HEAD + b"transfer-encoding: br\r\n\r\nx",
    "a status of four digits": b"HTTP/1.1 2000 OK\r\ncontent-length: 0\r\n\r\n",
    "a status of 4,400 digits": b"HTTP/1.1 " + b"2" * 4_400 + b" OK\r\n\r\n",
    "a status below 100": b"HTTP/1.1 099 OK\r\ncontent-length: 0\r\n\r\n",
    "another protocol": b"HTTP/1.1 101 Switching\r\nupgrade: x\r\ncontent-length: 1\r\n\r\nx",
    "another version": b"HTTP/9.9 200 OK\r\ncontent-length: 0\r\n\r\n",
    "a header without a name": HEAD + b": x\r\ncontent-length: 0\r\n\r\n",
    "a header that is not ASCII": HEAD + b"x-y: \xff\xfe\x00\r\ncontent-length: 0\r\n\r\n",
    "a head that does not end": HEAD + b"x: " + b"y" * 200_000,
    "no HTTP": b"\x00\xff" * 40,
    "nothing": b"",
    "two responses": (HEAD + b"content-length: 1\r\n\r\nx") * 2,
}
ODD_HEADERS: Final = [
    {"expected-instance": "\uc810\uac80"},
    {"expected-instance": "a\r\nb: c"},
    {"expected-instance": "\ud800"},
    {"expected-instance": "a\x00"},
    {"bad name": "x"},
]
ODD_ADDRESSES: Final = [
    "127.0.0.1:" + "9" * 4_400,
    "127.0.0.1:65536",
    "127.0.0.1:\u00b2",
    "127.0.0.1:\u0661",
    "127.0.0.1:-1",
    "127.0.0.1",
    "a\x00b:80",
    "\ud800:80",
    "." + "a" * 70 + ":80",
    "\uc810" * 70 + ":80",
]


async def request(
    address: str, *, headers: dict[str, str] | None = None, path: str = "/"
) -> Result[BufferedResponse, StepError]:
    client = HttpClient(clock=TrioClock())
    try:
        return await client.request(
            method="POST",
            address=address,
            path=path,
            headers=headers,
            body=b"x",
            timeout_s=5.0,
            on_progress=lambda progress: progress.expected_bytes >= 0,
        )
    finally:
        await client.aclose()


async def respond(sent: bytes, stream: trio.SocketStream) -> None:
    await stream.receive_some(65536)
    try:
        await stream.send_all(sent)
    except trio.BrokenResourceError:
        return
    await stream.aclose()


async def ask(sent: bytes) -> Result[BufferedResponse, StepError]:
    """Return what a server's bytes are taken for."""
    async with trio.open_nursery() as nursery:
        serve = partial(trio.serve_tcp, partial(respond, sent), 0, host="127.0.0.1")
        listeners: Any = await nursery.start(serve)
        port = listeners[0].socket.getsockname()[1]
        answer = await request(f"127.0.0.1:{port}")
        nursery.cancel_scope.cancel()
    return answer


class TestResponses:
    @pytest.mark.parametrize("name", ODD_RESPONSES)
    async def test_an_odd_response_is_a_response_or_cut(self, name: str) -> None:
        answer = await ask(ODD_RESPONSES[name])
        assert not isinstance(answer, Failure) or answer.failure().reason is Reason.CUT

    @pytest.mark.parametrize(
        "text", ["9" * 4_400, "9" * 400, "\u00b2", "\u0661", "-1", "1e308", "", "soon"]
    )
    def test_an_odd_time_to_retry_is_no_time(self, text: str) -> None:
        # Superscripts are digits to `isdigit`, and `float` reads thousands of them as infinity.
        answer = BufferedResponse(status=503, headers={"retry-after": text}, body=b"")
        error = error_from_response(answer, step="s", peer="p")
        assert error.retry_after_s is None
        assert error_response(error).status == 503

    def test_a_time_to_retry_is_read(self) -> None:
        answer = BufferedResponse(status=503, headers={"retry-after": "3"}, body=b"")
        assert error_from_response(answer, step="s", peer="p").retry_after_s == 3.0

    @given(st.binary(max_size=60), st.integers(min_value=200, max_value=599))
    def test_any_body_is_a_typed_error(self, body: bytes, status: int) -> None:
        answer = BufferedResponse(status=status, headers={}, body=body)
        msgspec.json.encode(error_from_response(answer, step="s", peer="p"))

    @pytest.mark.parametrize("value", ODD_VALUES.values(), ids=list(ODD_VALUES))
    def test_an_odd_body_is_a_typed_error(self, value: bytes) -> None:
        # Deep nesting raises RecursionError.
        for body in (value, b'{"x":' + value + b"}"):
            answer = BufferedResponse(status=500, headers={}, body=body)
            assert error_from_response(answer, step="s", peer="p").reason is Reason.CUT

    def test_an_odd_field_of_a_typed_error_is_a_typed_error(self) -> None:
        sent = {"step": "s", "peer": "", "reason": "cut", "detail": "d", "retry_after_s": 1.5}
        for _, body in replaced(sent):
            answer = BufferedResponse(status=500, headers={}, body=body)
            error = error_from_response(answer, step="s", peer="p")
            assert error_response(error).status >= 400


class TestRequests:
    @pytest.mark.parametrize("headers", ODD_HEADERS, ids=repr)
    async def test_a_header_that_cannot_be_sent_is_a_failure(self, headers: dict[str, str]) -> None:
        # Encoding the head raised UnicodeEncodeError, and h11 an error about our own side.
        async with trio.open_nursery() as nursery:
            serve = partial(trio.serve_tcp, partial(respond, b""), 0, host="127.0.0.1")
            listeners: Any = await nursery.start(serve)
            address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
            for path, sent in (("/", headers), ("/\uc810", {})):
                error = (await request(address, headers=sent, path=path)).failure()
                assert error.reason is Reason.UNREACHABLE, "nothing was sent"
            nursery.cancel_scope.cancel()

    @pytest.mark.parametrize("address", ODD_ADDRESSES, ids=lambda address: ascii(address)[:30])
    async def test_an_odd_address_is_unreachable(self, address: str) -> None:
        error = (await request(address)).failure()
        assert error.reason is Reason.UNREACHABLE
        assert len(error.detail) < 1_000
