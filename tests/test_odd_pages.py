"""Answers of the store with odd content: a failure of that call, whatever they hold."""

import base64
import struct
from typing import Any, Final

import msgspec
import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Success

from galenastall.node.cell.state_loader import StateLoader
from galenastall.platform.calls import PlatformCalls, decode_answer
from galenastall.platform.log_wire import (
    AppendAnswer,
    AppendRefusal,
    NewestPage,
    WireError,
    decode_read,
    frame_record,
)
from galenastall.platform.newest_records import NewestReader, decode_page
from galenastall.platform.store import PlatformStore
from galenastall.state.errors import Reason
from galenastall.transport.clock import TrioClock
from galenastall.transport.http_client import BufferedResponse, HttpClient
from galenastall.transport.http_messages import HttpRequest, HttpResponse
from galenastall.transport.http_routes import route
from galenastall.transport.http_server import HttpServer
from odd_values import replaced

ITEM: Final[dict[str, Any]] = {"key": "a", "value": base64.b64encode(b"v").decode(), "offset": 3}
PAGE: Final[dict[str, Any]] = {"items": [ITEM], "hasMore": True, "endOffset": 4}
CLAIM: Final[dict[str, Any]] = {"host_id": "a", "address": "10.0.0.1:1", "weight": 1.0}


def decode(body: bytes, wanted: type[Any]) -> Any:
    response = BufferedResponse(status=200, headers={}, body=body)
    return decode_answer(response, wanted, step="store.test", peer="store")


def check_page(body: bytes, name: str = "") -> None:
    page = decode(body, NewestPage)
    if isinstance(page, Failure):
        assert page.failure().reason is Reason.CUT, name
        return
    found = decode_page(page.unwrap())
    for number in [found.end_offset, *(record.offset for record in found.records)]:
        assert 0 <= number <= 2**53, name
    assert all(len(problem) < 400 for problem in found.problems), name


class TestPages:
    @given(st.binary(max_size=200))
    def test_any_bytes_are_a_page_or_an_error(self, body: bytes) -> None:
        check_page(body)
        try:
            page = decode_read(body)
        except WireError:
            return
        assert 0 <= page.end <= 2**53

    def test_an_odd_field_is_usable_or_an_error(self) -> None:
        for name, body in replaced(PAGE):
            check_page(body, name)

    def test_a_value_with_letters_outside_ascii_is_left_out(self) -> None:
        body = msgspec.json.encode({"items": [{**ITEM, "value": "\u00e9\u00e9"}, ITEM]})
        page = decode_page(decode(body, NewestPage).unwrap())
        assert [record.key for record in page.records] == ["a"]
        assert len(page.problems) == 1

    @pytest.mark.parametrize(("end", "first"), [(2**64 - 1, 0), (0, 2**63), (2**53 + 1, 0)])
    def test_a_read_with_offsets_out_of_range_is_an_error(self, end: int, first: int) -> None:
        with pytest.raises(WireError, match="expected offsets"):
            decode_read(struct.pack(">QQ", end, first) + frame_record(b"x"))

    @pytest.mark.parametrize("wanted", [AppendAnswer, AppendRefusal])
    def test_an_odd_answer_to_an_append_is_usable_or_an_error(self, wanted: type[Any]) -> None:
        document = {"offset": 1, "endOffset": 2, "reason": "seq", "sequence": 3}
        for name, body in replaced(document):
            found = decode(body, wanted)
            assert isinstance(found, Failure) or msgspec.msgpack.encode(found.unwrap()), name


class OddStore:
    """Answers each call with the next of some bodies, and the last of them from then on."""

    def __init__(self, *bodies: bytes) -> None:
        self.bodies = list(bodies)

    def _next(self) -> HttpResponse:
        body = self.bodies.pop(0) if len(self.bodies) > 1 else self.bodies[0]
        return HttpResponse(status=200, body=body)

    @route("GET", "/log-newest")
    async def newest(self, request: HttpRequest) -> HttpResponse:
        return self._next()

    @route("POST", "/log-append")
    async def append(self, request: HttpRequest) -> HttpResponse:
        return self._next()


async def open_store(nursery: trio.Nursery, *bodies: bytes) -> tuple[PlatformStore, NewestReader]:
    server = HttpServer(handlers=[OddStore(*bodies)], clock=TrioClock())
    await nursery.start(server.run)
    calls = PlatformCalls(client=HttpClient(clock=TrioClock()))
    store = PlatformStore(calls=calls, address=lambda: server.address)
    return store, NewestReader(calls=calls, address=lambda: server.address)


def page_of(key: str) -> bytes:
    return msgspec.json.encode({**PAGE, "items": [{**ITEM, "key": key}]})


class TestCalls:
    @pytest.mark.parametrize("keys", [("a",), ("a", "b", "a", "b", "a")])
    async def test_pages_without_progress_end_the_reading(
        self, nursery: trio.Nursery, keys: tuple[str, ...]
    ) -> None:
        pages = [page_of(key) for key in keys]
        with trio.fail_after(10):
            store, reader = await open_store(nursery, *pages)
            assert (await reader.all("keyed.x")).failure().reason is Reason.CUT
            store, _ = await open_store(nursery, *pages)
            loaded = await StateLoader(state=store, page_timeout_s=5.0).load()
        assert loaded.failure().reason is Reason.CUT

    @pytest.mark.parametrize("offset", [0, 8, -1, 2**53, 2**64, 1.5, "7", None])
    async def test_a_claim_at_another_offset_than_the_end_is_not_made(
        self, nursery: trio.Nursery, offset: object
    ) -> None:
        store, _ = await open_store(nursery, msgspec.json.encode({"offset": offset}))
        made = await store.claim(host_id="a", address="10.0.0.1:1", weight=1.0, log_end=7)
        assert made.failure().reason is Reason.CUT

    async def test_a_claim_that_cannot_be_read_keeps_its_token(self, nursery: trio.Nursery) -> None:
        names = [name for name, _ in replaced(CLAIM)]
        items = [
            {"key": "~leader", "value": base64.b64encode(claim).decode(), "offset": 9}
            for _, claim in replaced(CLAIM)
        ]
        pages = [msgspec.json.encode({"items": [item], "endOffset": 12}) for item in items]
        store, _ = await open_store(nursery, *pages)
        for name in names:
            view = (await store.poll()).unwrap()
            assert view.leader is not None, name
            assert (view.leader.token, view.log_end) == (10, 12), name
            assert 0.0 <= view.leader.weight <= 2**53, name

    async def test_a_claim_at_the_end_gets_its_token(self, nursery: trio.Nursery) -> None:
        store, _ = await open_store(nursery, msgspec.json.encode({"offset": 7}))
        assert await store.claim(host_id="a", address="x", weight=1.0, log_end=7) == Success(8)
