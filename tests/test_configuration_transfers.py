"""Large configurations: none is transferred twice, and no caller ends a begun transfer."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from random import Random
from typing import Any

import msgspec
import pytest
import trio
import trio.testing
from returns.result import Failure

from galenastall.platform.config import KEY, TOPIC, PlatformConfig
from galenastall.platform.standin.log_store import StandinStore
from galenastall.state.errors import Reason
from galenastall.transport.http_messages import HttpRequest, HttpResponse
from galenastall.transport.http_routes import route
from galenastall.transport.logs import Recorder
from test_http_client import scripted
from test_large_configurations import CHUNK_BYTES, LINK_BYTES_PER_S, make_version
from test_platform_adapter import make_calls, make_recorder, serve_address

LIVENESS_S = 30.0
LOOK_S = 0.4
"""Time after which a look is cancelled."""
LARGE_ROUTES = 1_200
"""A version of 0.24 MB, 1 s over the link."""
SLACK_BYTES = 60_000
"""What may be sent of a response until the store notices that it was given up."""
BEGUN_BYTES = 20_000
BASE64_SHARE = 4 / 3


class CountingStore(StandinStore):
    """A store that counts its reads of newest records, and may leave long polls unanswered."""

    def __init__(self) -> None:
        super().__init__()
        self.holds_polls = False
        self.lost_reads = 0
        """How many of the next reads without waiting get no response."""
        self.newest_reads = 0

    @route("GET", "/log-read")
    async def read(self, request: HttpRequest) -> HttpResponse:
        waits = int(request.query["waitMs"]) > 0
        if self.holds_polls and waits:
            await trio.sleep_forever()
        if self.lost_reads and not waits:
            self.lost_reads -= 1
            await trio.sleep_forever()
        return await super().read(request)

    @route("GET", "/log-newest")
    async def show_newest(self, request: HttpRequest) -> HttpResponse:
        self.newest_reads += 1
        return await super().show_newest(request)


class Link:
    """Connections to one address over a shared link of limited bandwidth."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._target = (host, int(port))
        self._turn = trio.Lock()
        self.received_bytes = 0
        """What has come over the link from the address."""

    async def serve(self, client: trio.SocketStream) -> None:
        async with (
            client,
            await trio.open_tcp_stream(*self._target) as server,
            trio.open_nursery() as nursery,
        ):
            nursery.start_soon(self._copy, client, server, nursery.cancel_scope)
            nursery.start_soon(self._copy_paced, server, client, nursery.cancel_scope)

    async def _copy(
        self, source: trio.SocketStream, sink: trio.SocketStream, scope: trio.CancelScope
    ) -> None:
        with suppress(trio.BrokenResourceError):
            async for chunk in source:
                await sink.send_all(chunk)
        scope.cancel()

    async def _copy_paced(
        self, source: trio.SocketStream, sink: trio.SocketStream, scope: trio.CancelScope
    ) -> None:
        with suppress(trio.BrokenResourceError):
            while chunk := await source.receive_some(CHUNK_BYTES):
                async with self._turn:
                    await trio.sleep(len(chunk) / LINK_BYTES_PER_S)
                self.received_bytes += len(chunk)
                await sink.send_all(chunk)
        scope.cancel()


class Reader:
    """A host's reader of the configuration, with what it has learned."""

    def __init__(self, *, store: CountingStore, link: Link, address: str) -> None:
        self.store = store
        self.link = link
        self.address = address
        self.recorder: Recorder = make_recorder()
        self.port = PlatformConfig(
            calls=make_calls(), address=lambda: address, recorder=self.recorder
        )
        self.versions: list[int] = []
        self.failures: list[str] = []

    async def follow(self) -> None:
        while True:
            answer = await self.port.wait()
            if isinstance(answer, Failure):
                self.failures.append(str(answer.failure()))
                await trio.sleep(0.1)
                continue
            config = answer.unwrap()
            if config is not None:
                self.versions.append(config.version)

    async def wait_for(self, is_reached: Callable[[], bool]) -> None:
        with trio.fail_after(LIVENESS_S):
            while not is_reached():  # noqa: ASYNC110 - the reader has no event for it
                await trio.sleep(0.02)

    async def wait_for_version(self, version: int) -> None:
        await self.wait_for(lambda: version in self.versions)

    async def look(self) -> int | None:
        """Return the version that a look finds; None if it finds none in its time."""
        with trio.move_on_after(LOOK_S):
            config = (await self.port.newest()).unwrap()
            return config.version if config is not None else None
        return None


@asynccontextmanager
async def reading() -> AsyncIterator[tuple[Reader, trio.Nursery]]:
    """Yield a reader that has read version 1, a small one, and does not follow yet."""
    store = CountingStore()
    store.put(TOPIC, KEY, make_version(1, routes=1))
    async with trio.open_nursery() as nursery:
        link = Link((await serve_address(nursery, store))())
        listeners = await nursery.start(trio.serve_tcp, link.serve, 0)
        port = listeners[0].socket.getsockname()[1]
        reader = Reader(store=store, link=link, address=f"127.0.0.1:{port}")
        assert (await reader.port.wait()).unwrap() is not None
        yield reader, nursery
        nursery.cancel_scope.cancel()


def put_large(store: CountingStore, version: int) -> int:
    """Write a large version, and return its size."""
    written = make_version(version, routes=LARGE_ROUTES)
    store.put(TOPIC, KEY, written)
    return len(msgspec.json.encode(written))


class TestLooksDuringATransfer:
    async def test_a_cancelled_look_keeps_the_transfer_that_it_began(self) -> None:
        async with reading() as (reader, nursery):
            reader.store.holds_polls = True
            nursery.start_soon(reader.follow)
            await trio.sleep(0.1)
            size = put_large(reader.store, 2)
            before = reader.link.received_bytes
            assert await reader.look() is None
            await reader.wait_for_version(2)
            assert reader.link.received_bytes - before < size + SLACK_BYTES

    async def test_looks_during_a_transfer_begin_no_other(self) -> None:
        async with reading() as (reader, nursery):
            nursery.start_soon(reader.follow)
            await trio.sleep(0.1)
            before = reader.link.received_bytes
            size = put_large(reader.store, 2)
            await reader.wait_for(lambda: reader.link.received_bytes > before + BEGUN_BYTES)
            for _ in range(4):
                await reader.look()
            await reader.wait_for_version(2)
            assert reader.link.received_bytes - before < size + SLACK_BYTES

    async def test_a_look_beside_an_idle_poll_reads_at_once(self) -> None:
        async with reading() as (reader, nursery):
            reader.store.holds_polls = True
            nursery.start_soon(reader.follow)
            await trio.sleep(0.1)
            reader.store.put(TOPIC, KEY, make_version(2, routes=1))
            with trio.fail_after(LIVENESS_S):
                found = (await reader.port.newest()).unwrap()
            assert found is not None
            assert found.version == 2

    async def test_a_look_whose_response_is_lost_does_not_hold_up_the_next(self) -> None:
        async with reading() as (reader, nursery):
            reader.store.holds_polls = True
            reader.store.lost_reads = 1
            nursery.start_soon(reader.follow)
            await trio.sleep(0.1)
            reader.store.put(TOPIC, KEY, make_version(2, routes=1))
            assert await reader.look() is None
            assert await reader.look() == 2

    async def test_a_starting_host_reads_a_large_configuration(self) -> None:
        async with reading() as (reader, nursery):
            size = put_large(reader.store, 2)
            other = Reader(store=reader.store, link=reader.link, address=reader.address)
            before = reader.link.received_bytes
            nursery.start_soon(other.follow)
            await trio.sleep(0.1)
            await other.look()
            await other.wait_for_version(2)
            assert other.failures == []
            assert reader.link.received_bytes - before < size * BASE64_SHARE + SLACK_BYTES

    async def test_a_look_finds_what_was_written_during_the_transfer(self) -> None:
        async with reading() as (reader, nursery):
            nursery.start_soon(reader.follow)
            await trio.sleep(0.1)
            before = reader.link.received_bytes
            put_large(reader.store, 2)
            await reader.wait_for(lambda: reader.link.received_bytes > before + BEGUN_BYTES)
            reader.store.put(TOPIC, KEY, make_version(3, routes=1))
            with trio.fail_after(LIVENESS_S):
                await reader.port.newest()
            await reader.wait_for_version(3)
            assert reader.versions == [2, 3]

    async def test_a_look_without_a_follower_reads_by_itself(self) -> None:
        async with reading() as (reader, _):
            reader.store.put(TOPIC, KEY, make_version(2, routes=1))
            with trio.fail_after(LIVENESS_S):
                assert (await reader.port.newest()).unwrap() is not None
                assert (await reader.port.newest()).unwrap() is None

    async def test_reads_that_begin_together_receive_the_records_once(self) -> None:
        async with reading() as (reader, nursery):
            before = reader.link.received_bytes
            size = put_large(reader.store, 2)
            for _ in range(3):
                nursery.start_soon(reader.port.newest)
            nursery.start_soon(reader.follow)
            await reader.wait_for_version(2)
            assert reader.link.received_bytes - before < size + SLACK_BYTES

    async def test_random_looks_lose_no_version_and_repeat_none(self) -> None:
        rng = Random(7)
        async with reading() as (reader, nursery):
            nursery.start_soon(reader.follow)
            before = reader.link.received_bytes
            sizes = []
            for version in range(2, 6):
                sizes.append(put_large(reader.store, version))
                for _ in range(rng.randrange(1, 6)):
                    with trio.move_on_after(rng.uniform(0.0, 0.4)):
                        await reader.port.newest()
            await reader.wait_for_version(5)
            assert reader.versions == sorted(reader.versions)
            assert reader.failures == []
            most = sum(sizes) * BASE64_SHARE + SLACK_BYTES
            assert reader.link.received_bytes - before < most

    async def test_the_begun_transfer_is_told(self) -> None:
        async with reading() as (reader, nursery):
            nursery.start_soon(reader.follow)
            await trio.sleep(0.1)
            assert not reader.port.is_receiving
            size = put_large(reader.store, 2)
            await reader.wait_for(lambda: reader.port.is_receiving)
            await reader.wait_for_version(2)
            assert not reader.port.is_receiving
            received = [event for event in reader.recorder.ring if event.step == "config.received"]
            assert [int(event.fields["bytes"]) >= size for event in received] == [True]


class TestSupersededVersions:
    async def test_of_several_pending_versions_the_newest_alone_is_transferred(self) -> None:
        async with reading() as (reader, nursery):
            before = reader.link.received_bytes
            sizes = [put_large(reader.store, version) for version in range(2, 7)]
            nursery.start_soon(reader.follow)
            await reader.wait_for_version(6)
            assert reader.versions == [6]
            assert reader.link.received_bytes - before < sizes[-1] * BASE64_SHARE + SLACK_BYTES

    async def test_versions_written_during_a_transfer_are_left_out_but_the_newest(self) -> None:
        async with reading() as (reader, nursery):
            nursery.start_soon(reader.follow)
            await trio.sleep(0.1)
            before = reader.link.received_bytes
            sizes = [put_large(reader.store, 2)]
            await reader.wait_for(lambda: reader.port.is_receiving)
            sizes += [put_large(reader.store, version) for version in range(3, 7)]
            await reader.wait_for_version(6)
            assert reader.versions == [2, 6]
            most = sizes[0] + sizes[-1] * BASE64_SHARE + SLACK_BYTES
            assert reader.link.received_bytes - before < most

    async def test_keys_deleted_beside_superseded_versions_are_gone(self) -> None:
        async with reading() as (reader, nursery):
            reader.store.put(TOPIC, "wave/1", {"wave": 1})
            await reader.port.wait()
            assert "wave/1" in reader.port.operator_values()
            for version in (2, 3):
                put_large(reader.store, version)
            reader.store.put(TOPIC, "wave/1", None)
            reader.store.put(TOPIC, "wave/2", {"wave": 2})
            nursery.start_soon(reader.follow)
            await reader.wait_for_version(3)
            assert set(reader.port.operator_values()) == {KEY, "wave/2"}

    async def test_a_large_version_is_read_after_its_history_is_gone(self) -> None:
        async with reading() as (reader, nursery):
            put_large(reader.store, 2)
            reader.store.topics[TOPIC].compact()
            nursery.start_soon(reader.follow)
            await reader.wait_for_version(2)
            assert reader.failures == []

    async def test_a_storm_of_small_versions_is_read_from_the_offset(self) -> None:
        async with reading() as (reader, nursery):
            nursery.start_soon(reader.follow)
            newest_reads = reader.store.newest_reads
            for version in range(2, 102):
                reader.store.put(TOPIC, KEY, make_version(version, routes=1))
                if version % 10 == 0:
                    await reader.look()
            await reader.wait_for_version(101)
            assert reader.versions == sorted(reader.versions)
            assert reader.store.newest_reads == newest_reads
            assert reader.failures == []


def http_answer(body: bytes, *, sent: int) -> bytes:
    """Return a response of which only the first bytes of the body are sent."""
    return b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body) + body[:sent]


class TestStalledTransfers:
    @pytest.mark.parametrize("sent", [0, 5_000])
    async def test_a_stalled_connection_is_given_up_within_two_seconds(
        self, sent: int, mock_clock: trio.testing.MockClock
    ) -> None:
        stalled = trio.Event()
        answers: list[Any] = []

        async def behave(stream: trio.SocketStream, request: int) -> None:
            if request == 1:
                page = msgspec.json.encode({"items": [], "endOffset": 0})
                await stream.send_all(http_answer(page, sent=len(page)))
                return
            if sent:
                body = (1).to_bytes(8, "big") + bytes(100_000)
                await stream.send_all(http_answer(body, sent=sent))
            stalled.set()

        async def read(port: PlatformConfig) -> None:
            answers.append(await port.wait())

        async with scripted(behave) as (address, _), trio.open_nursery() as nursery:
            port = PlatformConfig(
                calls=make_calls(), address=lambda: address, recorder=make_recorder()
            )
            await port.wait()
            nursery.start_soon(read, port)
            await stalled.wait()
            await trio.testing.wait_all_tasks_blocked(0.05)
            assert port.is_receiving == bool(sent)
            mock_clock.jump(2.0)
        error = answers[0].failure()
        assert (error.step, error.peer, error.reason) == ("store.read", address, Reason.TIMEOUT)
        assert not sent or f"{sent} bytes had arrived" in error.detail
        assert not port.is_receiving
