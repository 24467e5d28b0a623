"""Configurations packed by peers: a configuration or an error, whatever their bytes hold."""

import hashlib
import zlib
from typing import Any, Final

import msgspec
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Result, Success

from galenastall.protocol.cell.config import CellConfig, QueueRoute
from galenastall.protocol.cell.messages import ConfigPart
from galenastall.protocol.cell.packed_config import MAX_CONFIG_BYTES, PackedConfig, PartialConfig
from galenastall.state.cell.jobs import Queue
from odd_values import ODD_MSGPACK, replaced_in_message

CONFIG: Final = CellConfig(
    version=3,
    routes=(QueueRoute(host="h", path_prefix="/", queue=Queue(name="q", service="s")),),
)


def unpack(data: bytes, version: int = 3) -> Result[CellConfig, str]:
    digest = hashlib.blake2b(data, digest_size=16).hexdigest()
    partial = PartialConfig()
    part = ConfigPart(version=version, digest=digest, size=len(data), data=data)
    return partial.add(part).bind(lambda _: partial.unpack())


def check(data: bytes, name: str = "") -> None:
    found = unpack(data)
    if isinstance(found, Failure):
        assert len(found.failure()) < 400, name
        return
    assert msgspec.msgpack.encode(found.unwrap()), name


class TestOddConfigurations:
    @given(st.binary(max_size=200))
    def test_any_bytes_are_an_error(self, data: bytes) -> None:
        check(data)
        check(zlib.compress(data))

    def test_an_odd_field_is_usable_or_an_error(self) -> None:
        document: Any = msgspec.msgpack.decode(msgspec.msgpack.encode(CONFIG))
        for name, body in replaced_in_message(document):
            check(zlib.compress(body), name)

    def test_a_bomb_is_an_error_and_is_not_unpacked(self) -> None:
        unpacker = zlib.compressobj(9)
        block = bytes(1024 * 1024)
        count = MAX_CONFIG_BYTES // len(block) + 1
        data = b"".join(unpacker.compress(block) for _ in range(count)) + unpacker.flush()
        assert "over" in unpack(data).failure()

    def test_another_version_than_announced_is_an_error(self) -> None:
        packed = PackedConfig.of(CONFIG)
        assert unpack(packed.data, version=3) == Success(CONFIG)
        assert "version" in unpack(packed.data, version=4).failure()

    def test_an_unknown_field_that_is_nested_deeply_is_an_error(self) -> None:
        body = b"\x82\xa7version\x03\xa1z" + ODD_MSGPACK["a list of 100,000 levels"]
        assert "recursion" in unpack(zlib.compress(body)).failure()
