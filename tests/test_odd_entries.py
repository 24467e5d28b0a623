"""Fields of what others write, replaced by odd values: a value that can be used, or an error."""

import contextlib
from collections.abc import Callable
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Result, Success

from galenastall.platform.advisor import WireAdvice
from galenastall.platform.calls import decode_answer
from galenastall.platform.config import decode_config
from galenastall.platform.entries import decode_entry
from galenastall.platform.fleet import decode_info
from galenastall.platform.hosts import WireMachines, WireRefusal, WireWave, decode_machine
from galenastall.protocol.addresses import split_address
from galenastall.protocol.cell.config import CellConfig
from galenastall.protocol.cell.packed_config import PackedConfig, PartialConfig
from galenastall.state.cell.executor_ids import (
    executor_name,
    make_executor_id,
    started_at_ms_of,
)
from galenastall.state.errors import Reason, StepError
from galenastall.transport.http_client import BufferedResponse
from odd_values import ODD_VALUES, replaced

ENTRY: dict[str, Any] = {
    "service": "service",
    "address": "10.0.0.9:8080",
    "state": "draining",
    "zone": "dc",
    "capacity": {"cpu": 4000, "memoryRequestMb": 8000, "gpus": 1},
    "labels": ["a", "r1"],
    "machine": "m-1",
    "born": 1_796_435_858_690,
    "drainRemainingMs": 1500.0,
}
ROUTE: dict[str, Any] = {
    "name": "q",
    "host": "q.example",
    "pathPrefix": "/q/",
    "service": "service",
    "priority": 1,
    "maxAttempts": 3,
    "stretch": 2.0,
    "targetLatencyMs": 100,
    "placementAdvisor": {"decisionMs": 1, "periodMs": 2, "validityMs": 3},
    "public": False,
}
CONFIG: dict[str, Any] = {
    "version": 7,
    "routes": [ROUTE],
    "services": [{"name": "service", "standby": False}],
    "tenants": [{"name": "a", "apiKeys": ["k1"], "weight": 1.0, "upperLimit": ENTRY["capacity"]}],
}
WAVE: dict[str, Any] = {"wave": 3, "machines": ["m-1"], "durationS": 20.0, "upperLimit": 2}
MACHINE: dict[str, Any] = {
    "machine": "m-1",
    "pool": "service",
    "state": "up",
    "labels": ["a", "r1"],
    "capacity": ENTRY["capacity"],
    "id": "i-1",
}
LONG = "x" * 1_000_000
ADVICE: dict[str, Any] = {"approved": [["i-1", "ticket"]], "validityMs": 1000.0}


def read_entry(value: bytes) -> Result[Any, str]:
    found = decode_info("i-1", value)
    if isinstance(found, Success):
        info = found.unwrap()
        assert executor_name(info.executor_id) == "i-1"
        assert 0 < split_address(info.address)[1] < 2**16
        assert 0 <= info.leaves_in_s < 2**53
        assert int(info.leaves_in_s * 1000) >= 0
    return found


def read_config(value: bytes) -> Result[Any, str]:
    found = decode_config(value)
    if isinstance(found, Success):
        assert transfer(found.unwrap()) == found.unwrap()
    return found


def transfer(config: CellConfig) -> CellConfig:
    """Return a configuration as another host receives it."""
    packed, partial = PackedConfig.of(config), PartialConfig()
    while not partial.is_complete:
        partial.add(packed.part(digest=partial.digest, offset=partial.offset)).unwrap()
    return partial.unpack().unwrap()


def read_wave(value: bytes) -> Result[Any, str]:
    found = decode_entry(value, WireWave).map(WireWave.to_wave)
    if isinstance(found, Success):
        assert int(found.unwrap().duration_s * 1000) >= 0
    return found


def read_machine(value: bytes) -> Result[Any, str]:
    return decode_machine(value)


def read_advice(value: bytes) -> Result[Any, str]:
    return decode_entry(value, WireAdvice).map(lambda found: found.to_answer(("i-1@5", "i-2")))


DECODERS: dict[str, tuple[Callable[[bytes], Result[Any, str]], dict[str, Any]]] = {
    "entry": (read_entry, ENTRY),
    "configuration": (read_config, CONFIG),
    "wave": (read_wave, WAVE),
    "machine": (read_machine, MACHINE),
    "advice": (read_advice, ADVICE),
}
json_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=4), inner),
    max_leaves=6,
)


def check(read: Callable[[bytes], Result[Any, str]], value: bytes) -> None:
    found = read(value)
    if isinstance(found, Success):
        msgspec.json.encode(found.unwrap())
        return
    assert found.failure()
    assert len(found.failure()) < 1_000


class TestDecoders:
    @pytest.mark.parametrize("kind", DECODERS)
    def test_a_sound_document_is_a_value(self, kind: str) -> None:
        read, document = DECODERS[kind]
        assert isinstance(read(msgspec.json.encode(document)), Success)

    @pytest.mark.parametrize("kind", DECODERS)
    def test_each_field_with_an_odd_value_is_a_value_or_an_error(self, kind: str) -> None:
        read, document = DECODERS[kind]
        for _, value in replaced(document):
            check(read, value)

    @pytest.mark.parametrize("kind", DECODERS)
    @given(st.binary(max_size=80))
    def test_any_bytes_are_a_value_or_an_error(self, kind: str, value: bytes) -> None:
        check(DECODERS[kind][0], value)

    @pytest.mark.parametrize("kind", DECODERS)
    @given(st.data())
    def test_any_json_in_a_field_is_a_value_or_an_error(self, kind: str, data: Any) -> None:
        read, document = DECODERS[kind]
        name = data.draw(st.sampled_from(sorted(document)))
        check(read, msgspec.json.encode({**document, name: data.draw(json_values)}))
        check(read, msgspec.json.encode(data.draw(json_values)))

    @pytest.mark.parametrize(
        ("kind", "field", "named"),
        [
            ("entry", "born", "born"),
            ("entry", "drainRemainingMs", "drainRemainingMs"),
            ("entry", "address", "address"),
            ("configuration", "version", "version"),
            ("wave", "wave", "wave"),
            ("wave", "durationS", "durationS"),
            ("wave", "upperLimit", "upperLimit"),
            ("advice", "validityMs", "validityMs"),
        ],
    )
    @pytest.mark.parametrize(
        "odd",
        ["a negative number", "a number above 64 bits", "the largest float", "a word"],
    )
    def test_a_number_out_of_range_is_an_error_with_its_field(
        self, kind: str, field: str, named: str, odd: str
    ) -> None:
        read, document = DECODERS[kind]
        marked = msgspec.json.encode({**document, field: "mark"})
        assert named in read(marked.replace(b'"mark"', ODD_VALUES[odd])).failure()

    @pytest.mark.parametrize(
        ("kind", "field", "document"),
        [
            ("entry", "machine", {**ENTRY, "machine": LONG}),
            ("entry", "labels", {**ENTRY, "labels": [LONG]}),
            ("configuration", "service", {**CONFIG, "routes": [{**ROUTE, "service": LONG}]}),
        ],
    )
    def test_a_text_of_a_megabyte_is_an_error_with_its_field(
        self, kind: str, field: str, document: dict[str, Any]
    ) -> None:
        assert field in DECODERS[kind][0](msgspec.json.encode(document)).failure()


class TestNames:
    @given(st.text(max_size=300))
    def test_any_name_can_be_sent_or_is_an_error(self, name: str) -> None:
        found = decode_info(name, msgspec.json.encode(ENTRY))
        if isinstance(found, Success):
            sent = executor_name(found.unwrap().executor_id)
            assert sent == name
            assert sent.encode("latin-1").strip() == sent.encode("latin-1")
            assert not set(sent) & set("\r\n\x00\t")
            assert 0 < len(sent) <= 200

    @given(st.text(max_size=300), st.none() | st.integers(min_value=0, max_value=2**53))
    def test_an_id_gives_back_name_and_start_time(self, name: str, born: int | None) -> None:
        executor_id = make_executor_id(name, born)
        assert executor_name(executor_id) == name
        assert started_at_ms_of(executor_id) == born

    @given(st.text() | st.just("i-1@" + "9" * 5_000))
    def test_any_id_has_a_name_and_a_start_time_or_none(self, executor_id: str) -> None:
        assert isinstance(executor_name(executor_id), str)
        started_at = started_at_ms_of(executor_id)
        assert started_at is None or started_at >= 0


class TestAddresses:
    @given(st.text() | st.from_regex(r"10\.0\.0\.[0-9]{1,4}:\d{0,9}", fullmatch=True))
    def test_any_text_is_an_address_or_a_value_error(self, text: str) -> None:
        with contextlib.suppress(ValueError):
            assert 0 <= split_address(text)[1] < 2**16

    @pytest.mark.parametrize("port", ["9" * 4_400, "٨٠", "²", "-1", "+1", "1_0", "65536", ""])
    def test_an_odd_port_is_a_value_error_that_says_what_is_expected(self, port: str) -> None:
        with pytest.raises(ValueError, match="must be IP:port"):
            split_address(f"10.0.0.9:{port}")


class TestAnswers:
    @pytest.mark.parametrize("wanted", [WireMachines, WireRefusal, WireAdvice])
    @pytest.mark.parametrize("odd", ODD_VALUES)
    def test_any_body_is_an_answer_or_cut(self, wanted: type[Any], odd: str) -> None:
        value = ODD_VALUES[odd]
        for body in (value, b'{"unknown":' + value + b"}", b'{"reason":' + value + b"}"):
            response = BufferedResponse(status=200, headers={}, body=body)
            found: Result[Any, StepError] = decode_answer(response, wanted, step="s", peer="p")
            if isinstance(found, Failure):
                assert found.failure().reason is Reason.CUT
