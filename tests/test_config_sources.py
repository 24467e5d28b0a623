"""When another host is asked for a configuration, and what is accepted from it."""

from dataclasses import replace

import pytest
from returns.result import Failure, Success

from galenastall.coordination.cell.config_sources import (
    FIRST_PAUSE_S,
    LONGEST_PAUSE_S,
    RECHECK_S,
    STORE_FIRST_S,
    ConfigSources,
    HostToAsk,
)
from galenastall.protocol.cell.config import CellConfig
from galenastall.protocol.cell.messages import ConfigPart
from galenastall.protocol.cell.packed_config import PART_BYTES, PackedConfig, PartialConfig
from test_config_transfer import make_config

OWN, NEWER = 5, 6


def make_sources(*hosts: str, version: int = NEWER) -> ConfigSources:
    sources = ConfigSources()
    sources.on_in_force(OWN, now=0.0)
    for host in hosts:
        sources.on_announced(version, host, now=0.0)
    return sources


def next_host(
    sources: ConfigSources, now: float, *, is_receiving: bool = False
) -> HostToAsk | None:
    return sources.next_host(now=now, is_receiving=is_receiving)


class TestStoreFirst:
    def test_the_store_has_its_time_first(self) -> None:
        sources = make_sources("a")
        assert next_host(sources, 0.0) == HostToAsk(host="a", after_s=STORE_FIRST_S)
        assert next_host(sources, STORE_FIRST_S) == HostToAsk(host="a", after_s=0.0)

    def test_repeated_announcements_do_not_extend_it(self) -> None:
        sources = make_sources("a")
        assert not sources.on_announced(NEWER, "a", now=STORE_FIRST_S)
        assert next_host(sources, STORE_FIRST_S) == HostToAsk(host="a", after_s=0.0)

    def test_a_host_is_asked_at_once_while_reads_of_the_store_fail(self) -> None:
        sources = make_sources("a")
        sources.on_store_read(is_failed=True)
        assert next_host(sources, 0.0) == HostToAsk(host="a", after_s=0.0)
        sources.on_store_read(is_failed=False)
        assert next_host(sources, 0.0) == HostToAsk(host="a", after_s=STORE_FIRST_S)

    def test_nobody_is_asked_while_a_response_arrives(self) -> None:
        sources = make_sources("a")
        sources.on_store_read(is_failed=True)
        found = next_host(sources, 60.0, is_receiving=True)
        assert found == HostToAsk(host="a", after_s=RECHECK_S)

    def test_the_store_has_its_time_again_for_a_version_that_is_newer_still(self) -> None:
        sources = make_sources("a")
        sources.on_announced(NEWER + 1, "a", now=0.1)
        sources.on_in_force(NEWER, now=3.0)
        assert next_host(sources, 3.0) == HostToAsk(host="a", after_s=STORE_FIRST_S)

    def test_nobody_is_asked_once_the_newest_version_is_in_force(self) -> None:
        sources = make_sources("a", "b")
        sources.on_in_force(NEWER, now=1.0)
        assert next_host(sources, 60.0) is None

    @pytest.mark.parametrize("version", [0, OWN - 1, OWN])
    def test_versions_that_are_not_newer_start_nothing(self, version: int) -> None:
        sources = make_sources()
        assert not sources.on_announced(version, "a", now=1.0)
        assert next_host(sources, 60.0) is None

    @pytest.mark.parametrize("version", [0, OWN - 1, OWN])
    def test_a_message_sent_before_the_announcement_does_not_undo_it(self, version: int) -> None:
        sources = make_sources("a")
        sources.on_announced(version, "a", now=0.1)
        assert sources.has_newer
        assert next_host(sources, 1.0) == HostToAsk(host="a", after_s=0.0)


class TestLooks:
    def test_a_look_asks_a_host_with_the_same_version(self) -> None:
        sources = make_sources("a", version=OWN)
        sources.on_look(now=2.0)
        assert next_host(sources, 2.0) == HostToAsk(host="a", after_s=STORE_FIRST_S)
        sources.on_look_ended()
        assert next_host(sources, 60.0) is None

    def test_a_look_finds_nobody_to_ask_before_the_first_announcement(self) -> None:
        sources = make_sources()
        sources.on_look(now=2.0)
        assert next_host(sources, 60.0) is None


class TestFailedTransfers:
    def test_the_last_host_that_announced_is_asked_first_and_then_the_others(self) -> None:
        sources = make_sources("a", "b", "c")
        asked = []
        for _ in range(3):
            found = next_host(sources, 1.0)
            assert found is not None
            assert found.after_s == 0
            asked.append(found.host)
            sources.on_transfer_failed(found.host, now=1.0)
        assert asked == ["c", "b", "a"]

    def test_the_pause_of_a_host_doubles_up_to_a_limit(self) -> None:
        sources = make_sources("a")
        pauses_s = []
        for _ in range(8):
            sources.on_transfer_failed("a", now=1.0)
            found = next_host(sources, 1.0)
            assert found is not None
            pauses_s.append(found.after_s)
        assert pauses_s[:3] == pytest.approx([FIRST_PAUSE_S * 2**number for number in range(3)])
        assert pauses_s[-1] == pytest.approx(LONGEST_PAUSE_S)

    def test_a_host_that_has_nothing_newer_is_not_asked_again(self) -> None:
        sources = make_sources("a")
        sources.on_not_newer("a")
        assert next_host(sources, 60.0) is None
        assert sources.on_announced(NEWER, "a", now=60.0)


class TestParts:
    @staticmethod
    def parts_of(config: CellConfig) -> list[ConfigPart]:
        packed = PackedConfig.of(config)
        offsets = range(0, len(packed.data), PART_BYTES)
        return [packed.part(digest=packed.digest, offset=offset) for offset in offsets]

    def test_parts_make_the_configuration(self) -> None:
        config = make_config(2)
        partial = PartialConfig()
        parts = self.parts_of(config)
        assert len(parts) > 2
        for part in parts:
            assert not partial.is_complete
            assert partial.add(part) == Success(None)
        assert partial.is_complete
        assert partial.unpack() == Success(config)

    def test_a_part_of_another_version_is_the_first_of_it(self) -> None:
        first, second = self.parts_of(make_config(2)), self.parts_of(make_config(3))
        partial = PartialConfig()
        partial.add(first[0])
        assert isinstance(partial.add(second[1]), Failure)
        assert PackedConfig.of(make_config(3)).part(digest=first[0].digest, offset=PART_BYTES) == (
            second[0]
        )

    def test_a_part_twice_or_too_much_is_refused(self) -> None:
        part, *_ = self.parts_of(make_config(2))
        partial = PartialConfig()
        partial.add(part)
        assert isinstance(partial.add(part), Failure)
        for bad in (replace(part, size=1), replace(part, size=2**40), replace(part, data=b"")):
            assert isinstance(PartialConfig().add(bad), Failure)

    def test_damaged_data_is_refused(self) -> None:
        (part,) = self.parts_of(make_config(2, routes=2))
        for bad in (part.data[:-1] + b"x", b"x" * part.size):
            partial = PartialConfig()
            assert partial.add(replace(part, data=bad)) == Success(None)
            assert isinstance(partial.unpack(), Failure)
