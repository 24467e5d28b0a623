"""Entries of other writers in the store: no bytes there crash or mislead a host."""

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import msgspec
import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Success

from cell.rig import Harness, make_info, make_job, make_step
from galenastall.coordination.cell.commands import StartOrder
from galenastall.coordination.cell.executors import ExecutorInfo
from galenastall.coordination.cell.listings import ListedRun
from galenastall.platform.calls import PlatformCalls
from galenastall.platform.config import TOPIC as OPERATOR_TOPIC
from galenastall.platform.config import PlatformConfig, WireConfig
from galenastall.platform.entries import decode_entry
from galenastall.platform.fleet import TOPIC as FLEET_TOPIC
from galenastall.platform.fleet import PlatformFleet, WireEntry, decode_executor
from galenastall.platform.hosts import PlatformHosts, WireWave
from galenastall.platform.log_wire import NewestPage, WireError, split_keyed
from galenastall.platform.newest_records import decode_page
from galenastall.platform.standin.log_store import StandinStore
from galenastall.protocol.addresses import split_address
from galenastall.state.cell.executor_ids import executor_name
from galenastall.state.timeline_ring import TimelineRing
from galenastall.transport.clock import TrioClock
from galenastall.transport.http_client import HttpClient
from galenastall.transport.http_server import HttpServer
from galenastall.transport.logs import Recorder
from odd_values import replaced

GOOD: dict[str, Any] = {
    "service": "service",
    "address": "10.0.0.9:8080",
    "zone": "dc",
    "state": "ready",
    "capacity": {"cpu": 4000, "memoryRequestMb": 8000},
    "labels": ["a", "r1"],
}
ROUTE: dict[str, Any] = {"name": "q", "host": "h", "service": "service"}
UNSENDABLE_NAMES = [
    "\uc810\uac80-01",
    " i-2",
    "i-2 ",
    "i\n2",
    "i\r\n2",
    "i\x002",
    "i\x7f",
    "n" * 201,
]
NOT_UTF8 = b"\x02\xff\xfe" + msgspec.json.encode(GOOD)
"""A keyed record whose key is not UTF-8."""

json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=4), inner),
    max_leaves=6,
)


def changed(**fields: Any) -> dict[str, Any]:
    return {**GOOD, **fields}


def lacking(name: str) -> dict[str, Any]:
    return {key: value for key, value in GOOD.items() if key != name}


def make_recorder() -> Recorder:
    return Recorder(process="p", clock=TrioClock(), ring=TimelineRing(capacity=1_000))


def count_events(recorder: Recorder, step: str) -> int:
    return sum(1 for event in recorder.ring if event.step == step)


class StoreHarness:
    """A store over loopback, and the readers of the entries that others write to it."""

    def __init__(self, *, store: StandinStore, address: str) -> None:
        self.store = store
        self.recorder = make_recorder()
        calls = PlatformCalls(client=HttpClient(clock=TrioClock()))
        self.fleet = PlatformFleet(calls=calls, address=lambda: address, recorder=self.recorder)
        self.config = PlatformConfig(calls=calls, address=lambda: address, recorder=self.recorder)
        self.hosts = PlatformHosts(
            calls=calls,
            address=lambda: address,
            store=lambda: address,
            operator_values=self.config.operator_values,
            recorder=self.recorder,
        )

    async def infos(self) -> dict[str, ExecutorInfo]:
        read = (await self.fleet.read()).unwrap()
        return {info.executor_id: info for info in read}


async def open_store(nursery: trio.Nursery) -> StoreHarness:
    store = StandinStore()
    server = HttpServer(handlers=[store], clock=TrioClock())
    await nursery.start(server.run)
    return StoreHarness(store=store, address=server.address)


class TestDecoding:
    @given(st.binary(max_size=80))
    def test_any_bytes_are_an_entry_or_an_error(self, value: bytes) -> None:
        for wanted in (WireConfig, WireWave):
            assert isinstance(decode_entry(value, wanted), Success | Failure)
        assert isinstance(decode_executor(value), Success | Failure)

    @given(st.sampled_from(sorted(GOOD)), json_values)
    def test_any_field_of_any_type_is_an_entry_or_an_error(self, name: str, value: Any) -> None:
        entry = decode_executor(msgspec.json.encode(changed(**{name: value})))
        if isinstance(entry, Success):
            info = entry.unwrap().to_info("i-1")
            assert info.capacity.cores_milli >= 0
            assert info.leaves_in_s >= 0

    def test_unbounded_nesting_is_an_error(self) -> None:
        value = b'{"x":' + b"[" * 100_000
        assert isinstance(decode_executor(value), Failure)

    def test_a_port_of_thousands_of_digits_does_not_end_the_reader(self) -> None:
        # `int` raises ValueError above 4,300 digits, which ended each host that came to lead.
        entry = changed(address="10.0.0.9:" + "9" * 4_400)
        assert "address" in decode_executor(msgspec.json.encode(entry)).failure()

    @pytest.mark.parametrize(
        ("entry", "named"),
        [
            (changed(state="resting"), "state"),
            (lacking("state"), "state"),
            (lacking("service"), "service"),
            (lacking("address"), "address"),
            (changed(service=7), "service"),
            (changed(address="nowhere"), "address"),
            (changed(address="10.0.0.9:0"), "address"),
            (changed(address="10.0.0.9:65536"), "address"),
            (changed(address="10.0.0.300:80"), "address"),
            (changed(capacity={"cpu": -1}), "cpu"),
            (changed(capacity={"memoryRequestMb": -1}), "memoryRequestMb"),
            (changed(capacity=[1]), "capacity"),
            (changed(labels="a"), "labels"),
            (changed(drainRemainingMs=-5), "drainRemainingMs"),
        ],
    )
    def test_an_invalid_entry_is_rejected_by_field(self, entry: dict[str, Any], named: str) -> None:
        assert named in decode_executor(msgspec.json.encode(entry)).failure()

    @given(st.binary(max_size=40))
    def test_any_record_is_split_or_an_error(self, record: bytes) -> None:
        try:
            key, _ = split_keyed(record)
        except WireError:
            return
        assert isinstance(key, str)

    @given(st.lists(json_values, max_size=4))
    def test_a_page_keeps_the_items_that_can_be_read(self, others: list[Any]) -> None:
        good = {"key": "zz", "value": "eHg=", "offset": 3}
        page = msgspec.json.decode(
            msgspec.json.encode({"items": [*others, good], "endOffset": 9}), type=NewestPage
        )
        found = decode_page(page)
        assert found.values_by_key["zz"] == b"xx"
        assert len(found.records) + len(found.problems) == len(others) + 1

    def test_a_value_that_is_not_base64_is_left_out(self) -> None:
        items = [{"key": "a", "value": "not base64!"}, {"key": "b", "value": "eHg="}]
        page = msgspec.json.decode(msgspec.json.encode({"items": items}), type=NewestPage)
        found = decode_page(page)
        assert found.values_by_key == {"b": b"xx"}
        assert len(found.problems) == 1


class TestFleet:
    async def test_an_invalid_entry_does_not_affect_others(self) -> None:
        async with trio.open_nursery() as nursery:
            harness = await open_store(nursery)
            harness.store.put(FLEET_TOPIC, "i-1", GOOD)
            harness.store.put(FLEET_TOPIC, "i-2", changed(state="resting"))
            assert set(await harness.infos()) == {"i-1"}
            harness.store.put_record(FLEET_TOPIC, NOT_UTF8)
            harness.store.put(FLEET_TOPIC, "i-3", GOOD)
            assert set(await harness.infos()) == {"i-1", "i-3"}
            assert set(await harness.infos()) == {"i-1", "i-3"}
            assert count_events(harness.recorder, "fleet.unreadable") == 1
            assert count_events(harness.recorder, "store.unreadable") == 1
            nursery.cancel_scope.cancel()

    @pytest.mark.parametrize("name", UNSENDABLE_NAMES)
    async def test_a_name_that_no_header_can_carry_is_skipped_and_reported_once(
        self, name: str
    ) -> None:
        async with trio.open_nursery() as nursery:
            harness = await open_store(nursery)
            harness.store.put(FLEET_TOPIC, "i-1", GOOD)
            for sequence in range(3):
                harness.store.put(FLEET_TOPIC, name, changed(sequence=sequence))
                assert set(await harness.infos()) == {"i-1"}
            assert count_events(harness.recorder, "fleet.unreadable") == 1
            nursery.cancel_scope.cancel()

    @pytest.mark.parametrize("name", ["i-1", "a@b", "é-1", "a b", "n" * 200])
    async def test_a_name_that_a_header_can_carry_is_used(self, name: str) -> None:
        async with trio.open_nursery() as nursery:
            harness = await open_store(nursery)
            harness.store.put(FLEET_TOPIC, name, GOOD)
            (executor_id,) = await harness.infos()
            assert executor_name(executor_id) == name
            nursery.cancel_scope.cancel()

    async def test_an_executor_whose_entry_becomes_invalid_gets_no_new_tasks(self) -> None:
        async with trio.open_nursery() as nursery:
            harness = await open_store(nursery)
            harness.store.put(FLEET_TOPIC, "i-1", GOOD)
            assert (await harness.infos())["i-1"].is_usable
            harness.store.put(FLEET_TOPIC, "i-1", changed(state=None))
            info = (await harness.infos())["i-1"]
            assert not info.is_usable
            assert info.address == GOOD["address"]
            harness.store.put(FLEET_TOPIC, "i-1", GOOD)
            assert (await harness.infos())["i-1"].is_usable
            nursery.cancel_scope.cancel()

    async def test_among_odd_entries_the_sound_ones_stay_in_use(self) -> None:
        odd = dict(replaced(GOOD))
        async with trio.open_nursery() as nursery:
            harness = await open_store(nursery)
            assert await harness.infos() == {}
            for number, value in enumerate(odd.values()):
                key = f"odd-{number}".encode()
                harness.store.put_record(FLEET_TOPIC, bytes([len(key)]) + key + value)
                if number % 50 == 0:
                    harness.store.put(FLEET_TOPIC, f"i-{number}", GOOD)
            for _ in range(2):
                infos = await harness.infos()
                assert {f"i-{n}" for n in range(0, len(odd), 50)} <= set(infos)
                assert all(split_address(info.address)[1] > 0 for info in infos.values())
            skipped = len(odd) - sum(1 for each in infos if each.startswith("odd-"))
            gone = sum(1 for value in odd.values() if not value)
            assert 0 < skipped - gone == count_events(harness.recorder, "fleet.unreadable")
            nursery.cancel_scope.cancel()

    async def test_an_odd_entry_of_a_known_executor_goes_and_comes_back(self) -> None:
        async with trio.open_nursery() as nursery:
            harness = await open_store(nursery)
            for _ in range(2):
                harness.store.put(FLEET_TOPIC, "i-1", GOOD)
                assert (await harness.infos())["i-1"].is_usable
                harness.store.put(FLEET_TOPIC, "i-1", changed(address="10.0.0.9:" + "9" * 4_400))
                assert not (await harness.infos())["i-1"].is_usable
                harness.store.put_record(FLEET_TOPIC, b"\x03i-1")
                assert await harness.infos() == {}
            assert count_events(harness.recorder, "fleet.unreadable") == 2
            nursery.cancel_scope.cancel()


class TestOperatorEntries:
    async def test_an_unreadable_configuration_is_a_failure_and_the_next_one_is_read(self) -> None:
        async with trio.open_nursery() as nursery:
            harness = await open_store(nursery)
            harness.store.put(OPERATOR_TOPIC, "config", {"version": "new", "routes": 3})
            assert isinstance(await harness.config.wait(), Failure)
            harness.store.put_record(OPERATOR_TOPIC, NOT_UTF8)
            harness.store.put(OPERATOR_TOPIC, "config", {"version": 2, "routes": [ROUTE]})
            config = (await harness.config.wait()).unwrap()
            assert config is not None
            assert config.named_services == {"service"}
            nursery.cancel_scope.cancel()

    async def test_an_unreadable_wave_is_reported_once(self) -> None:
        async with trio.open_nursery() as nursery:
            harness = await open_store(nursery)
            harness.store.put(OPERATOR_TOPIC, "wave/1", {"wave": "first"})
            harness.store.put(OPERATOR_TOPIC, "wave/2", {"wave": 2, "machines": ["m"]})
            await harness.config.wait()
            for _ in range(2):
                assert [wave.number for wave in harness.hosts.waves()] == [2]
            assert count_events(harness.recorder, "wave.unreadable") == 1
            nursery.cancel_scope.cancel()


def fail_for(
    monkeypatch: pytest.MonkeyPatch, wanted: Any, method: str, is_odd: Callable[..., bool]
) -> None:
    """Let a converter raise for the entries that `is_odd` selects."""
    convert = getattr(wanted, method)

    def fail_or_convert(entry: Any, *arguments: Any) -> Any:
        if is_odd(entry, *arguments):
            raise ZeroDivisionError("injected")
        return convert(entry, *arguments)

    monkeypatch.setattr(wanted, method, fail_or_convert)


class TestContainment:
    async def test_an_unexpected_error_in_one_entry_costs_that_entry_only(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        fail_for(monkeypatch, WireEntry, "to_info", lambda _, name: name == "i-2")
        async with trio.open_nursery() as nursery:
            harness = await open_store(nursery)
            for sequence in range(2):
                for name in ("i-1", "i-2", "i-3"):
                    harness.store.put(FLEET_TOPIC, name, changed(sequence=sequence))
                assert set(await harness.infos()) == {"i-1", "i-3"}
            (event,) = [e for e in harness.recorder.ring if e.step == "fleet.unexpected"]
            assert event.subjects == ("i-2",)
            assert "injected" in event.cause
            assert "fleet.py" in event.fields["place"]
            nursery.cancel_scope.cancel()

    async def test_an_unexpected_error_in_one_wave_costs_that_wave_only(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        fail_for(monkeypatch, WireWave, "to_wave", lambda wave: wave.wave == 1)
        async with trio.open_nursery() as nursery:
            harness = await open_store(nursery)
            for number in (1, 2):
                wave = {"wave": number, "machines": ["m"]}
                harness.store.put(OPERATOR_TOPIC, f"wave/{number}", wave)
            await harness.config.wait()
            for _ in range(2):
                assert [wave.number for wave in harness.hosts.waves()] == [2]
            assert count_events(harness.recorder, "wave.unexpected") == 1
            nursery.cancel_scope.cancel()

    async def test_an_unexpected_error_in_a_configuration_costs_that_version_only(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        fail_for(monkeypatch, WireConfig, "to_config", lambda config: config.version == 1)
        async with trio.open_nursery() as nursery:
            harness = await open_store(nursery)
            harness.store.put(OPERATOR_TOPIC, "config", {"version": 1, "routes": [ROUTE]})
            assert "ZeroDivisionError" in (await harness.config.wait()).failure().detail
            harness.store.put(OPERATOR_TOPIC, "config", {"version": 2, "routes": [ROUTE]})
            config = (await harness.config.wait()).unwrap()
            assert config is not None
            assert count_events(harness.recorder, "config.unexpected") == 1
            nursery.cancel_scope.cancel()


class TestCore:
    def test_an_unusable_executor_keeps_its_runs_and_gets_no_others(self) -> None:
        info = make_info("e1")
        harness = Harness(info)
        harness.submit(make_job(make_step(2, cores=3000)))
        orders = harness.step()
        assert len(orders) == 1
        harness.confirm_starts(orders)
        harness.update_fleet(replace(info, is_usable=False))
        assert harness.runs_on("e1") == {orders[0].task}
        assert not harness.core.executors_by_id["e1"].is_open(
            now=harness.now, reach_s=10.0, delisted_grace_s=10.0
        )

    def test_runs_of_an_executor_whose_entry_turns_odd_go_on_and_keep_their_lease(self) -> None:
        info, other = make_info("e1"), make_info("e2")
        harness = Harness(info)
        harness.submit(make_job(make_step(2, cores=2000)))
        orders = harness.step()
        harness.confirm_starts(orders)
        running = tuple(ListedRun(task=order.task, run=order.run) for order in orders)
        for _ in range(60):
            harness.now += 0.5
            harness.update_fleet(replace(info, is_usable=False), other)
            executor = harness.core.executors_by_id["e1"]
            assert executor.needs_polling(harness.now)
            assert executor.info.address == info.address
            harness.listing("e1", running)
            harness.listing("e2")
            assert harness.step() == []
            assert not executor.clock.has_lapsed(harness.now)
        assert harness.runs_on("e1") == {order.task for order in orders}

    def test_a_new_leader_that_reads_an_odd_entry_starts_its_runs_again_after_their_lease(
        self,
    ) -> None:
        info = make_info("e1")
        earlier = Harness(info)
        earlier.submit(make_job(make_step(2, cores=2000)))
        orders = earlier.step()
        earlier.confirm_starts(orders)
        earlier.commit()
        other = make_info("e2")
        later = Harness(other, rows=earlier.rows)
        adopted = later.core.executors_by_id["e1"]
        assert later.runs_on("e1") == {order.task for order in orders}
        again: list[StartOrder] = []
        for _ in range(200):
            later.now += 0.5
            later.update_fleet(other)
            later.listing("e2", tuple(ListedRun(task=o.task, run=o.run) for o in again))
            has_lapsed = adopted.clock.has_lapsed(later.now)
            started = later.step()
            assert has_lapsed or not started
            later.confirm_starts(started)
            again += started
        assert {order.task for order in again} == {order.task for order in orders}
        assert {order.executor_id for order in again} == {"e2"}
        assert len(again) == len(orders)

    def test_executors_of_services_that_are_not_named_are_not_in_the_table(self) -> None:
        harness = Harness()
        unnamed = replace(make_info("e2"), service="strange")
        harness.core.set_services(frozenset({"s"}))
        harness.update_fleet(make_info("e1"), unnamed)
        harness.update_fleet(make_info("e1"), unnamed)
        assert set(harness.core.executors_by_id) == {"e1"}
        notes = [n for n in harness.core.take_notes() if n.step == "executor.unnamed_service"]
        assert [note.subjects for note in notes] == [("e2",)]
