"""Addresses that others write: an IP address with a port, or an error."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from galenastall.protocol.addresses import MAX_PORT, split_address
from odd_values import ODD_VALUES

ODD_PORTS = ["", "-1", "+1", "1_0", " 80", "80 ", "65536", "\u0661\u0662", "\u00b2", "9" * 5_000]
ODD_HOSTS = ["", "name", "10.0.0.1.2", "[::1", "[x]", "10.0.0.1:80", "9" * 5_000, "a\0b", "\ud800"]


class TestOddAddresses:
    @pytest.mark.parametrize("port", ODD_PORTS)
    def test_an_odd_port_is_an_error_of_bounded_length(self, port: str) -> None:
        with pytest.raises(ValueError, match="must be IP:port") as caught:
            split_address(f"10.0.0.9:{port}")
        assert len(str(caught.value)) < 400

    @pytest.mark.parametrize("host", ODD_HOSTS)
    def test_an_odd_host_is_an_error_of_bounded_length(self, host: str) -> None:
        with pytest.raises(ValueError) as caught:  # noqa: PT011 - ipaddress has several messages
            split_address(f"{host}:80")
        assert len(str(caught.value)) < 400

    @given(
        st.text()
        | st.sampled_from([value.decode("utf-8", "ignore") for value in ODD_VALUES.values()])
    )
    def test_any_text_is_an_address_or_an_error(self, text: str) -> None:
        try:
            host, port = split_address(text)
        except ValueError:
            return
        assert host
        assert 0 <= port <= MAX_PORT
