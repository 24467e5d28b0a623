"""Settings files with odd content: an error that names the field, and the old settings stay."""

from pathlib import Path
from typing import Any, Final

import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st

from galenastall.platform.live_settings import LiveSettings
from galenastall.platform.settings import PlatformSettings, SettingsError, parse_settings
from galenastall.state.timeline_ring import TimelineRing
from galenastall.transport.clock import TrioClock
from galenastall.transport.logs import Recorder

FIELDS: Final[dict[str, str]] = {
    "nodeName": '"front-1"',
    "zone": '"dc"',
    "ipAddress": '"127.0.0.1"',
    "internalPortRange": "[7000, 7010]",
    "heartbeatMs": "1500",
    "seedNodes": '["10.0.0.1:8166"]',
    "placementAdvisor": '"10.0.0.4:1"',
    "listenAddresses.front": '"127.0.0.1:1"',
    "listenAddresses.readiness": '"127.0.0.1:2"',
    "platform.address": '"10.0.0.1:3"',
    "platform.recordBytes": "262144",
    "limits.linkMbps": "100",
    "limits.memoryMb": "300",
    "bounds.graceS": "6",
}
ODD: Final[dict[str, str]] = {
    "a number of 5,000 digits": "9" * 5_000,
    "a number of 400 digits": "9" * 400,
    "a hexadecimal number of 5,000 digits": "0x" + "f" * 5_000,
    "a negative number": "-1",
    "not a number": "nan",
    "an infinite number": "inf",
    "the largest float": "1.7e308",
    "true": "true",
    "an empty text": '""',
    "a long text": '"' + "x" * 5_000 + '"',
    "a port of 5,000 digits": '"10.0.0.1:' + "9" * 5_000 + '"',
    "a port of another script": '"10.0.0.1:\u0661"',
    "a control character": '"10.0.0\\u0000.1:80"',
    "a list of numbers": "[1, 2]",
    "ports out of range": "[70000, 70001]",
    "a list of hexadecimal numbers": "[0x" + "f" * 5_000 + ", 1]",
    "a list of 100,000 levels": "[" * 100_000 + "]" * 100_000,
    "a table": "{a = 1}",
    "nothing": "",
}


def text_of(fields: dict[str, str]) -> str:
    return "".join(f"{name} = {value}\n" for name, value in fields.items())


def check(text: str, name: str = "") -> PlatformSettings | None:
    message = ""
    try:
        settings = parse_settings(Path("node.toml"), text)
    except SettingsError as error:
        message = str(error)
    if message:
        assert len(message) < 400, name
        return None
    assert 0 < settings.leadership_weight < 2**53, name
    assert 0 < int(settings.longest_lease_s * 1000) <= 2**54, name
    assert all(len(text) < 6_000 for text in settings.seeds), name
    return settings


class TestOddFields:
    @pytest.mark.parametrize("field", FIELDS)
    def test_an_odd_field_is_usable_or_an_error(self, field: str) -> None:
        for name, value in ODD.items():
            check(text_of({**FIELDS, field: value}), f"{field}: {name}")

    @given(st.text() | st.binary().map(lambda body: body.decode("latin-1")))
    def test_any_text_is_an_error(self, text: str) -> None:
        check(text)

    def test_the_sound_file_is_read(self) -> None:
        assert check(text_of(FIELDS)) is not None

    @pytest.mark.parametrize("value", ["10.0.0.1:" + "9" * 5_000, "nowhere", "10.0.0.1:99999"])
    def test_an_address_without_a_usable_port_is_named(self, value: str) -> None:
        with pytest.raises(SettingsError, match=r"platform\.address: expected IP:port"):
            parse_settings(Path("x"), text_of({**FIELDS, "platform.address": f'"{value}"'}))


class TestReload:
    def make(self, path: Path) -> tuple[LiveSettings, Recorder]:
        recorder = Recorder(process="p", clock=TrioClock(), ring=TimelineRing())
        settings = parse_settings(path, text_of(FIELDS))
        return LiveSettings(path=path, settings=settings, recorder=recorder), recorder

    @pytest.mark.parametrize(
        "body",
        [
            b"\xff\xfe",
            text_of({**FIELDS, "heartbeatMs": "9" * 5_000}).encode(),
            text_of({**FIELDS, "heartbeatMs": "9" * 400}).encode(),
            text_of({**FIELDS, "heartbeatMs": "nan"}).encode(),
            text_of({**FIELDS, "nodeName": "0x" + "f" * 5_000}).encode(),
            text_of({**FIELDS, "zone": "[" * 100_000}).encode(),
            text_of({**FIELDS, "platform.address": '"10.0.0.1:99999"'}).encode(),
        ],
    )
    async def test_an_odd_file_keeps_the_old_settings(
        self, tmp_path: Path, autojump_clock: object, nursery: Any, body: bytes
    ) -> None:
        path = tmp_path / "node.toml"
        path.write_bytes(body)
        live, recorder = self.make(path)
        before = live.settings
        nursery.start_soon(live.run)
        await trio.sleep(3.5)
        assert live.settings == before
        assert [event.step for event in recorder.ring] == ["host.reload_failed"]
