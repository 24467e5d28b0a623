"""YAML files with odd content: their values, or a problem."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure

from galenastall.protocol.yaml_files import parse_yaml

ODD = {
    "deep nesting": "a: " + "[" * 5_000 + "]" * 5_000,
    "a number of 5,000 digits": "a: " + "9" * 5_000,
    "a date that does not exist": "a: 2024-99-99",
    "an infinite number": "a: .inf",
    "not a number": "a: .nan",
    "a control character": "a: \x00",
}


class TestOddFiles:
    @pytest.mark.parametrize("name", ODD)
    def test_an_odd_file_is_a_problem(self, name: str) -> None:
        assert len(str(parse_yaml(ODD[name], source="s").failure())) < 400

    @given(st.text())
    def test_any_text_is_read_or_a_problem(self, text: str) -> None:
        found = parse_yaml(text, source="s")
        assert not isinstance(found, Failure) or found.failure().problems
