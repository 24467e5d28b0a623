"""Transfer of configurations between hosts whose links are small."""

import zlib
from collections import Counter
from collections.abc import Awaitable, Callable
from random import Random
from typing import Any

import msgspec
import pytest
import trio
from returns.result import Failure, Result, Success

from galenastall.node.cell.config_watcher import (
    REFRESH_EVERY_S,
    REFRESH_WITHIN_S,
    RETRY_S,
    ConfigWatcher,
)
from galenastall.protocol.cell.config import CellConfig, QueueRoute
from galenastall.protocol.cell.messages import (
    ConfigAnswer,
    CountPending,
    GetConfig,
    PendingAnswer,
)
from galenastall.protocol.cell.packed_config import PackedConfig
from galenastall.protocol.codec import decode_message
from galenastall.state.cell.jobs import Queue
from galenastall.state.errors import Reason, StepError
from galenastall.state.ids import HostId, Incarnation
from galenastall.state.timeline_ring import TimelineRing
from galenastall.transport import peer_wire
from galenastall.transport.clock import TrioClock
from galenastall.transport.logs import Recorder
from galenastall.transport.peer_link import ZmqPeerLink

LINK_BYTES_PER_S = 625_000
"""A link of 5 Mbit/s."""
HEARTBEAT_S = 0.15
LATENCY_S = 0.002
ROUTES = 4_000
OVERHEAD = 1.05
"""Envelopes and requests, as a share of what is transferred."""
REVOKED_WITHIN_S = 1.0
SOURCE, OTHER, HOST = HostId("entry-source"), HostId("entry-other"), HostId("entry-host")


def make_config(version: int, *, routes: int = ROUTES) -> CellConfig:
    rng = Random(version)
    return CellConfig(
        version=version,
        services=frozenset(f"service-{number}" for number in range(20)),
        routes=tuple(
            QueueRoute(
                host=f"customer-{number}.example",
                path_prefix=f"/prefix-{number}/",
                queue=Queue(
                    name=f"route-{rng.randbytes(12).hex()}",
                    service="packs",
                    stretch=2.2,
                    target_s=1.0,
                ),
            )
            for number in range(routes)
        ),
    )


def compressed_size(config: CellConfig) -> int:
    return len(zlib.compress(msgspec.msgpack.encode(config), 1))


def unavailable(peer: str = "store") -> Failure[StepError]:
    return Failure(StepError(step="test.call", peer=peer, reason=Reason.UNAVAILABLE))


class Network:
    """Hosts whose messages to each other share a link for each pair and direction."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self.nursery = nursery
        self.links: dict[HostId, Link] = {}
        self.silent: set[HostId] = set()
        """Hosts that no longer answer."""
        self.unknown: dict[HostId, set[type[Any]]] = {}
        """Message types that the program of a host does not know."""
        self.sent_bytes: Counter[HostId] = Counter()
        self.sent: Counter[str] = Counter()
        """Number of messages by type."""
        self._pipes: dict[tuple[HostId, HostId], trio.Lock] = {}

    async def carry(self, sender: HostId, receiver: HostId, frame: bytes) -> None:
        """Take as long as the frame needs behind those before it."""
        self.sent_bytes[sender] += len(frame)
        async with self._pipes.setdefault((sender, receiver), trio.Lock()):
            await trio.sleep(len(frame) / LINK_BYTES_PER_S)
        await trio.sleep(LATENCY_S)


class Link:
    """The peer link of one host; messages have the size of their encoded frames."""

    def __init__(self, network: Network, host_id: HostId) -> None:
        self.network = network
        self.host_id = host_id
        self.handlers: dict[type[Any], Callable[[HostId, Any], Awaitable[Any]]] = {}
        network.links[host_id] = self

    def handle(
        self, message_type: type[Any], handler: Callable[[HostId, Any], Awaitable[Any]]
    ) -> None:
        self.handlers[message_type] = handler

    def set_peers(self, addresses_by_id: dict[HostId, str]) -> None:
        """Ignore addresses: all hosts are known."""

    def send(self, *, peer: HostId, message: object) -> None:
        raise NotImplementedError

    async def call(
        self, *, peer: HostId, message: object, timeout_s: float
    ) -> Result[Any, StepError]:
        answers: list[Result[Any, StepError]] = []
        is_answered = trio.Event()

        async def exchange() -> None:
            answers.append(await self._exchange(peer, message))
            is_answered.set()

        self.network.nursery.start_soon(exchange)
        with trio.move_on_after(timeout_s):
            await is_answered.wait()
            return answers[0]
        return Failure(StepError(step="peer.call", peer=peer, reason=Reason.TIMEOUT))

    async def _exchange(self, peer: HostId, message: object) -> Result[Any, StepError]:
        network = self.network
        network.sent[type(message).__name__] += 1
        request = peer_wire.encode_request(
            kind=peer_wire.CALL, correlation_id=1, sender=self.host_id, target=1, message=message
        )
        await network.carry(self.host_id, peer, request)
        if peer in network.silent:
            await trio.sleep_forever()
        if type(message) in network.unknown.get(peer, set()):
            detail = f"unknown message {type(message).__name__!r}"
            return Failure(
                StepError(step="peer.handle", peer=peer, reason=Reason.INVALID, detail=detail)
            )
        received = peer_wire.decode_envelope(request)
        assert received is not None
        arrived = decode_message(received.name, bytes(received.body), peer=self.host_id).unwrap()
        answer = await network.links[peer].handlers[type(message)](self.host_id, arrived)
        frame = peer_wire.encode_answer(correlation_id=1, answer=answer)
        await network.carry(peer, self.host_id, frame)
        envelope = peer_wire.decode_envelope(frame)
        assert envelope is not None
        return peer_wire.decode_answer(envelope, peer=peer)


class Store:
    """A store that refuses all reads, until a test gives it a configuration."""

    def __init__(self) -> None:
        self.config: CellConfig | None = None
        self.is_unresponsive = False
        self.is_receiving = False
        self.fails_after_s: float | None = None
        """How long after a response has begun to arrive it breaks off."""
        self.answers_after_s = LATENCY_S
        self.read_s = 0.0
        """How long a response takes to arrive."""
        self.reads = 0
        """Number of reads that did not wait for a change."""

    async def wait(self) -> Result[CellConfig | None, StepError]:
        await trio.sleep(0.05)
        return await self._read()

    async def newest(self) -> Result[CellConfig | None, StepError]:
        self.reads += 1
        return await self._read()

    async def _read(self) -> Result[CellConfig | None, StepError]:
        if self.is_unresponsive:
            await trio.sleep(1.7)
            return unavailable()
        await trio.sleep(self.answers_after_s)
        if self.config is None:
            return unavailable()
        found = self.config
        self.is_receiving = True
        try:
            if self.fails_after_s is not None:
                await trio.sleep(self.fails_after_s)
                return unavailable()
            await trio.sleep(self.read_s)
        finally:
            self.is_receiving = False
        return Success(found)


class Host:
    """A host with its watcher, on a network."""

    def __init__(self, network: Network, host_id: HostId, config: CellConfig | None = None) -> None:
        self.store = Store()
        self.link = Link(network, host_id)
        self.recorder = Recorder(
            process=host_id, clock=TrioClock(), ring=TimelineRing(capacity=1_000)
        )
        self.watcher = ConfigWatcher(port=self.store, link=self.link, recorder=self.recorder)
        self.watcher._adopt(config, source="test")
        network.nursery.start_soon(self.watcher.run)

    async def hear(self, source: HostId, version: int) -> None:
        """Receive a heartbeat after the other that announces a version."""
        while True:
            self.watcher.note_version(version, source)
            await trio.sleep(HEARTBEAT_S)

    async def reaches(self, version: int, *, within_s: float) -> bool:
        with trio.move_on_after(within_s):
            while self.watcher.version < version:  # noqa: ASYNC110 - the watcher has no event
                await trio.sleep(0.01)
        return self.watcher.version >= version

    def lines(self, step: str) -> list[Any]:
        """Return the events of a step, except for the configuration that the test started with."""
        events = [event for event in self.recorder.ring if event.step == step]
        return [event for event in events if event.peer != "test"]


class TestTransferOverASmallLink:
    async def test_a_version_announced_with_each_heartbeat_crosses_the_link_once(
        self, autojump_clock: object
    ) -> None:
        async with trio.open_nursery() as nursery:
            network = Network(nursery)
            config = make_config(2)
            Host(network, SOURCE, config)
            host = Host(network, HOST, make_config(1, routes=1))
            nursery.start_soon(host.hear, SOURCE, 2)
            assert await host.reaches(2, within_s=REVOKED_WITHIN_S)
            await trio.sleep(5.0)
            assert host.watcher.config == config
            assert network.sent_bytes[SOURCE] <= OVERHEAD * compressed_size(config)
            assert [line.peer for line in host.lines("config.in_force")] == [SOURCE]
            nursery.cancel_scope.cancel()

    async def test_other_calls_on_the_link_are_answered_meanwhile(
        self, autojump_clock: object
    ) -> None:
        async with trio.open_nursery() as nursery:
            network = Network(nursery)
            source = Host(network, SOURCE, make_config(2))
            host = Host(network, HOST, make_config(1, routes=1))

            async def count(_: HostId, __: Any) -> PendingAnswer:
                return PendingAnswer(count=1)

            source.link.handle(CountPending, count)
            nursery.start_soon(host.hear, SOURCE, 2)
            slowest_s = 0.0
            while host.watcher.version < 2 and trio.current_time() < 1e9:
                begun_at = trio.current_time()
                answer = await host.link.call(
                    peer=SOURCE, message=CountPending(queue_name="q"), timeout_s=1.0
                )
                assert isinstance(answer, Success), answer
                slowest_s = max(slowest_s, trio.current_time() - begun_at)
                await trio.sleep(0.01)
            assert slowest_s <= 0.06
            nursery.cancel_scope.cancel()

    async def test_a_source_sends_a_version_once_to_each_host(self, autojump_clock: object) -> None:
        async with trio.open_nursery() as nursery:
            network = Network(nursery)
            config = make_config(2)
            Host(network, SOURCE, config)
            hosts = [
                Host(network, HostId(f"entry-{number}"), make_config(1, routes=1))
                for number in range(8)
            ]
            for host in hosts:
                nursery.start_soon(host.hear, SOURCE, 2)
            await trio.sleep(5.0)
            assert {host.watcher.version for host in hosts} == {2}
            size = compressed_size(config)
            assert network.sent_bytes[SOURCE] <= OVERHEAD * len(hosts) * size
            nursery.cancel_scope.cancel()

    async def test_a_source_packs_a_version_once_for_all_hosts(
        self, autojump_clock: object, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        packed_versions = []
        pack = PackedConfig.of

        def count(config: CellConfig) -> PackedConfig:
            packed_versions.append(config.version)
            return pack(config)

        monkeypatch.setattr(PackedConfig, "of", count)
        async with trio.open_nursery() as nursery:
            network = Network(nursery)
            source = Host(network, SOURCE, make_config(2))
            hosts = [
                Host(network, HostId(f"entry-{number}"), make_config(1, routes=1))
                for number in range(3)
            ]
            for version in (2, 3):
                source.watcher._adopt(make_config(version), source="test")
                for host in hosts:
                    host.watcher.note_version(version, SOURCE)
                for host in hosts:
                    assert await host.reaches(version, within_s=REVOKED_WITHIN_S)
            assert packed_versions == [2, 3]
            nursery.cancel_scope.cancel()

    async def test_a_version_that_changes_during_a_transfer_is_not_mixed_with_the_next(
        self, autojump_clock: object
    ) -> None:
        async with trio.open_nursery() as nursery:
            network = Network(nursery)
            first, second = make_config(2), make_config(3)
            source = Host(network, SOURCE, first)
            host = Host(network, HOST, make_config(1, routes=1))
            nursery.start_soon(host.hear, SOURCE, 2)
            while network.sent_bytes[SOURCE] == 0:  # noqa: ASYNC110 - the network has no event
                await trio.sleep(0.01)
            source.watcher._adopt(second, source="test")
            assert await host.reaches(3, within_s=REVOKED_WITHIN_S)
            assert host.watcher.config == second
            assert host.lines("config.not_transferred") == []
            nursery.cancel_scope.cancel()

    async def test_a_source_that_stops_answering_is_replaced_by_another(
        self, autojump_clock: object
    ) -> None:
        async with trio.open_nursery() as nursery:
            network = Network(nursery)
            config = make_config(2)
            Host(network, OTHER, config)
            Host(network, SOURCE, config)
            host = Host(network, HOST, make_config(1, routes=1))
            host.watcher.note_version(2, OTHER)
            host.watcher.note_version(2, SOURCE)
            while network.sent_bytes[SOURCE] == 0:  # noqa: ASYNC110 - the network has no event
                await trio.sleep(0.01)
            await trio.sleep(0.1)
            network.silent.add(SOURCE)
            assert await host.reaches(2, within_s=5.0)
            assert host.watcher.config == config
            (line,) = host.lines("config.not_transferred")
            assert line.peer == SOURCE
            assert "timeout" in line.cause
            received = network.sent_bytes[SOURCE] + network.sent_bytes[OTHER]
            assert received <= OVERHEAD * compressed_size(config)
            nursery.cancel_scope.cancel()

    async def test_a_lost_source_is_asked_ever_more_rarely(self, autojump_clock: object) -> None:
        async with trio.open_nursery() as nursery:
            network = Network(nursery)
            Host(network, SOURCE, make_config(2))
            network.silent.add(SOURCE)
            host = Host(network, HOST, make_config(1, routes=1))
            nursery.start_soon(host.hear, SOURCE, 2)
            await trio.sleep(60.0)
            assert 3 <= len(host.lines("config.not_transferred")) <= 12
            network.silent.clear()
            assert await host.reaches(2, within_s=10.0)
            nursery.cancel_scope.cancel()


class TestStoreFirst:
    async def test_no_host_is_asked_for_a_version_that_arrives_from_the_store(
        self, autojump_clock: object
    ) -> None:
        async with trio.open_nursery() as nursery:
            network = Network(nursery)
            Host(network, SOURCE, make_config(2))
            host = Host(network, HOST, make_config(1, routes=1))
            host.store.config, host.store.read_s = make_config(2), 3.0
            await trio.sleep(0.1)
            nursery.start_soon(host.hear, SOURCE, 2)
            assert await host.reaches(2, within_s=3.5)
            assert network.sent_bytes[SOURCE] == 0
            assert [line.peer for line in host.lines("config.in_force")] == ["store"]
            nursery.cancel_scope.cancel()

    async def test_a_host_is_asked_soon_when_the_store_does_not_answer(
        self, autojump_clock: object
    ) -> None:
        async with trio.open_nursery() as nursery:
            network = Network(nursery)
            Host(network, SOURCE, make_config(2))
            host = Host(network, HOST, make_config(1, routes=1))
            host.store.is_unresponsive = True
            await trio.sleep(0.1)
            nursery.start_soon(host.hear, SOURCE, 2)
            assert await host.reaches(2, within_s=REVOKED_WITHIN_S)
            nursery.cancel_scope.cancel()

    async def test_a_host_is_asked_when_a_response_of_the_store_breaks_off(
        self, autojump_clock: object
    ) -> None:
        async with trio.open_nursery() as nursery:
            network = Network(nursery)
            Host(network, SOURCE, make_config(2))
            host = Host(network, HOST, make_config(1, routes=1))
            host.store.config, host.store.fails_after_s = make_config(2), 2.0
            nursery.start_soon(host.hear, SOURCE, 2)
            assert not await host.reaches(2, within_s=1.9)
            host.store.config = None
            assert await host.reaches(2, within_s=REVOKED_WITHIN_S)
            nursery.cancel_scope.cancel()


class TestLook:
    @pytest.mark.parametrize("waits_s", [0.1, 2.0])
    async def test_a_waiter_that_leaves_does_not_end_the_read(
        self, autojump_clock: object, waits_s: float
    ) -> None:
        async with trio.open_nursery() as nursery:
            host = Host(Network(nursery), HOST, make_config(1, routes=1))
            host.store.wait = trio.sleep_forever  # type: ignore[method-assign]
            host.store.config, host.store.read_s = make_config(2), 1.0
            await trio.sleep(0.1)
            begun_at = trio.current_time()
            with trio.move_on_after(waits_s):
                await host.watcher.look()
            assert trio.current_time() - begun_at <= REFRESH_WITHIN_S + 0.01
            await host.watcher.look()
            assert await host.reaches(2, within_s=1.1 - (trio.current_time() - begun_at))
            assert host.store.reads == 1
            nursery.cancel_scope.cancel()

    async def test_a_waiter_that_leaves_does_not_end_a_transfer(
        self, autojump_clock: object
    ) -> None:
        async with trio.open_nursery() as nursery:
            network = Network(nursery)
            config = make_config(2, routes=8 * ROUTES)
            Host(network, SOURCE, config)
            host = Host(network, HOST, make_config(1, routes=1))
            host.watcher.note_version(1, SOURCE)
            await host.watcher.look()
            assert host.watcher.version == 1
            assert await host.reaches(2, within_s=2 * compressed_size(config) / LINK_BYTES_PER_S)
            assert network.sent_bytes[SOURCE] <= OVERHEAD * compressed_size(config)
            nursery.cancel_scope.cancel()

    async def test_a_look_gets_a_version_that_was_not_announced_while_the_store_is_away(
        self, autojump_clock: object
    ) -> None:
        async with trio.open_nursery() as nursery:
            network = Network(nursery)
            Host(network, SOURCE, make_config(2, routes=2))
            host = Host(network, HOST, make_config(1, routes=1))
            host.watcher.note_version(1, SOURCE)
            await trio.sleep(0.1)
            await host.watcher.look()
            assert host.watcher.version == 2
            nursery.cancel_scope.cancel()

    async def test_a_store_that_delivers_during_a_transfer_ends_it_and_the_look(
        self, autojump_clock: object
    ) -> None:
        async with trio.open_nursery() as nursery:
            network = Network(nursery)
            config = make_config(2, routes=8 * ROUTES)
            Host(network, SOURCE, config)
            host = Host(network, HOST, make_config(1, routes=1))
            host.watcher.note_version(1, SOURCE)
            await host.watcher.look()
            host.store.config = config
            assert await host.reaches(2, within_s=RETRY_S + 0.1)
            await trio.sleep(REFRESH_EVERY_S)
            begun_at, sent_bytes = trio.current_time(), network.sent_bytes[SOURCE]
            await host.watcher.look()
            assert trio.current_time() - begun_at <= 0.01
            await trio.sleep(5.0)
            assert network.sent_bytes[SOURCE] == sent_bytes
            nursery.cancel_scope.cancel()

    async def test_a_look_ends_with_the_read_if_there_is_nobody_else_to_ask(
        self, autojump_clock: object
    ) -> None:
        async with trio.open_nursery() as nursery:
            host = Host(Network(nursery), HOST, make_config(1, routes=1))
            await trio.sleep(0.1)
            begun_at = trio.current_time()
            await host.watcher.look()
            assert trio.current_time() - begun_at <= 0.01
            assert len(host.lines("config.look_failed")) == 1
            nursery.cancel_scope.cancel()

    @pytest.mark.parametrize("is_source_lost", [False, True])
    async def test_a_look_after_an_outage_does_not_wait_for_a_read_that_began_in_it(
        self, autojump_clock: object, is_source_lost: bool
    ) -> None:
        async with trio.open_nursery() as nursery:
            network = Network(nursery)
            Host(network, SOURCE, make_config(1, routes=1))
            host = Host(network, HOST, make_config(1, routes=1))
            host.store.wait = trio.sleep_forever  # type: ignore[method-assign]
            host.store.is_unresponsive = True
            if is_source_lost:
                network.silent.add(SOURCE)
                host.watcher.note_version(1, SOURCE)
            await host.watcher.look()
            host.store.is_unresponsive = False
            host.store.config = make_config(2, routes=1)
            await trio.sleep(REFRESH_EVERY_S + 0.01)
            begun_at = trio.current_time()
            await host.watcher.look()
            assert host.watcher.version == 2
            assert trio.current_time() - begun_at <= 0.01
            nursery.cancel_scope.cancel()

    async def test_a_host_without_a_newer_version_does_not_end_a_look_before_the_store(
        self, autojump_clock: object
    ) -> None:
        async with trio.open_nursery() as nursery:
            network = Network(nursery)
            Host(network, SOURCE, make_config(1, routes=1))
            host = Host(network, HOST, make_config(1, routes=1))
            host.watcher.note_version(1, SOURCE)
            await trio.sleep(0.1)
            assert len(host.lines("config.lost")) == 1
            host.store.config, host.store.answers_after_s = make_config(2, routes=1), 0.1
            await host.watcher.look()
            assert network.sent_bytes[SOURCE] > 0
            assert host.watcher.version == 2
            nursery.cancel_scope.cancel()


class TestSourceWithoutTheVersion:
    async def test_a_host_that_announces_what_it_does_not_have_is_asked_rarely(
        self, autojump_clock: object
    ) -> None:
        async with trio.open_nursery() as nursery:
            network = Network(nursery)
            Host(network, SOURCE, make_config(1, routes=1))
            host = Host(network, HOST, make_config(1, routes=1))
            nursery.start_soon(host.hear, SOURCE, 2)
            await trio.sleep(30.0)
            assert 3 <= network.sent["GetConfigPart"] <= 12
            lines = host.lines("config.not_transferred")
            assert len(lines) == network.sent["GetConfigPart"]
            nursery.cancel_scope.cancel()


class TestOverSockets:
    async def test_a_configuration_arrives_in_small_messages(self) -> None:
        async with trio.open_nursery() as nursery:
            links = {
                host: ZmqPeerLink(
                    host_id=host, incarnation=Incarnation(f"{host}.1"), clock=TrioClock()
                )
                for host in (SOURCE, HOST)
            }
            for link in links.values():
                await nursery.start(link.run)
            for link in links.values():
                link.set_peers({host: other.address for host, other in links.items()})
            config = make_config(2)
            recorder = Recorder(process="p", clock=TrioClock(), ring=TimelineRing(capacity=100))
            source, host = (
                ConfigWatcher(port=Store(), link=links[name], recorder=recorder)
                for name in (SOURCE, HOST)
            )
            source._adopt(config, source="test")
            nursery.start_soon(host.run)
            host.note_version(2, SOURCE)
            with trio.move_on_after(10.0):
                while host.version < 2:  # noqa: ASYNC110 - the watcher has no event
                    await trio.sleep(0.01)
            assert host.config == config
            received = links[HOST].counters_by_id[SOURCE]
            assert received.messages_in >= 3
            assert received.bytes_in <= OVERHEAD * compressed_size(config)
            nursery.cancel_scope.cancel()


class TestMixedPrograms:
    async def test_a_host_of_an_older_program_gets_the_whole_configuration(
        self, autojump_clock: object
    ) -> None:
        async with trio.open_nursery() as nursery:
            network = Network(nursery)
            config = make_config(2, routes=2)
            Host(network, SOURCE, config)
            older = Link(network, HOST)
            for known, expected in ((1, config), (2, None)):
                answer = await older.call(
                    peer=SOURCE, message=GetConfig(known_version=known), timeout_s=1.0
                )
                assert answer.unwrap() == ConfigAnswer(config=expected)
            nursery.cancel_scope.cancel()

    async def test_a_source_of_an_older_program_is_asked_for_the_whole_configuration(
        self, autojump_clock: object
    ) -> None:
        async with trio.open_nursery() as nursery:
            network = Network(nursery)
            source = Host(network, SOURCE, make_config(2, routes=2))
            network.unknown[SOURCE] = set(source.link.handlers) - {GetConfig}
            host = Host(network, HOST, make_config(1, routes=1))
            nursery.start_soon(host.hear, SOURCE, 2)
            assert await host.reaches(2, within_s=REVOKED_WITHIN_S)
            await trio.sleep(2.0)
            assert network.sent["GetConfig"] == 1
            nursery.cancel_scope.cancel()
