"""Decoding of bytes of others: a typed value or an error message, whatever they hold."""

from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Result, Success

from galenastall.state.decoding import (
    MAX_WHOLE,
    Amount,
    Finite,
    Quantity,
    Whole,
    decode_json_value,
    decode_msgpack_value,
    parse_whole,
)
from odd_values import replaced


class Example(msgspec.Struct, frozen=True, kw_only=True):
    name: str = ""
    position: Whole = 0
    amount: Amount = 0
    took_ms: Quantity = 0.0
    shift: Finite = 0.0
    rows: list[tuple[str, Whole]] = []


GOOD: dict[str, Any] = {
    "name": "a",
    "position": 1,
    "amount": 2,
    "took_ms": 3.5,
    "shift": -1.5,
    "rows": [["b", 4]],
}


def check(found: Result[Example, str], name: str = "") -> None:
    if isinstance(found, Failure):
        assert len(found.failure()) < 300, name
        return
    example = found.unwrap()
    assert msgspec.json.decode(msgspec.json.encode(example), type=Example) == example
    assert int(example.took_ms * 1000) >= 0
    assert str(example.position).isdecimal()


class TestValues:
    def test_an_odd_field_gives_a_usable_value_or_an_error(self) -> None:
        for name, body in replaced(GOOD):
            check(decode_json_value(body, Example), name)

    @given(st.binary(max_size=200))
    def test_any_bytes_give_a_usable_value_or_an_error(self, body: bytes) -> None:
        check(decode_json_value(body, Example))
        check(decode_msgpack_value(body, Example))

    def test_deep_nesting_in_msgpack_is_an_error(self) -> None:
        assert isinstance(decode_msgpack_value(b"\x91" * 100_000, list), Failure)

    def test_a_good_value_is_read(self) -> None:
        assert isinstance(decode_json_value(msgspec.json.encode(GOOD), Example), Success)


class TestWholeNumbers:
    @pytest.mark.parametrize(
        ("text", "value"),
        [
            ("0", 0),
            ("007", 7),
            (str(MAX_WHOLE), MAX_WHOLE),
            (str(MAX_WHOLE + 1), None),
            ("9" * 5_000, None),
            ("", None),
            ("-1", None),
            ("+1", None),
            ("1.0", None),
            (" 1", None),
            ("1_000", None),
            ("\u0661", None),
            ("\u00b2", None),
        ],
    )
    def test_only_short_texts_of_digits_are_numbers(self, text: str, value: int | None) -> None:
        assert parse_whole(text) == value

    @given(st.text())
    def test_any_text_is_a_number_or_none(self, text: str) -> None:
        found = parse_whole(text, most=65_535)
        assert found is None or 0 <= found <= 65_535
