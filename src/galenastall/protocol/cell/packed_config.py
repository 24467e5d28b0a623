"""A configuration packed for its transfer between hosts, and its parts put together again."""

import hashlib
import zlib
from dataclasses import dataclass
from typing import Final

import msgspec
from returns.result import Failure, Result, Success

from galenastall.protocol.cell.config import CellConfig
from galenastall.protocol.cell.messages import ConfigPart
from galenastall.state.decoding import DECODE_ERRORS, shorten

PART_BYTES: Final = 24 * 1024
"""Size of a part: one delays other messages on a link of 5 Mbit/s by 40 ms."""
MAX_PACKED_BYTES: Final = 16 * 1024 * 1024
MAX_CONFIG_BYTES: Final = 64 * 1024 * 1024
_LEVEL: Final = 1
"""Fastest level: packing blocks the event loop."""
_DIGEST_BYTES: Final = 16


@dataclass(frozen=True, kw_only=True, slots=True)
class PackedConfig:
    """One version, encoded and compressed."""

    version: int
    digest: str
    """Digest of the data: parts of the same data from different hosts fit together."""
    data: bytes

    @classmethod
    def of(cls, config: CellConfig) -> "PackedConfig":
        """Pack a configuration; equal ones have equal data on all hosts with the same program."""
        data = zlib.compress(msgspec.msgpack.encode(config, order="deterministic"), _LEVEL)
        return cls(version=config.version, digest=_digest_of(data), data=data)

    def part(self, *, digest: str, offset: int) -> ConfigPart:
        """Return the part at `offset`; the first one if the rest of it is of other data."""
        begin = offset if digest == self.digest and 0 <= offset < len(self.data) else 0
        return ConfigPart(
            version=self.version,
            digest=self.digest,
            size=len(self.data),
            offset=begin,
            data=self.data[begin : begin + PART_BYTES],
        )


class PartialConfig:
    """The parts of a version that have arrived, in their order."""

    def __init__(self) -> None:
        """Start without any part."""
        self.version = 0
        self.digest = ""
        self._size = 0
        self._data = bytearray()

    @property
    def offset(self) -> int:
        """Where the next part begins."""
        return len(self._data)

    @property
    def is_complete(self) -> bool:
        """Whether all parts have arrived."""
        return self._size > 0 and self.offset == self._size

    def add(self, part: ConfigPart) -> Result[None, str]:
        """Append a part; one of other data starts anew."""
        if part.digest != self.digest:
            self._start(part)
        if part.offset != self.offset:
            return Failure(f"offset: expected {self.offset}, got {part.offset}")
        if not 0 < self._size <= MAX_PACKED_BYTES:
            return Failure(f"size: expected 1 to {MAX_PACKED_BYTES}, got {self._size}")
        if not 0 < len(part.data) <= self._size - self.offset:
            return Failure(f"data: {len(part.data)} bytes at {part.offset} of {self._size}")
        self._data += part.data
        return Success(None)

    def unpack(self) -> Result[CellConfig, str]:
        """Return the configuration once it is complete."""
        data = bytes(self._data)
        if _digest_of(data) != self.digest:
            return Failure("digest: the data does not match it")
        unpacker = zlib.decompressobj()
        try:
            encoded = unpacker.decompress(data, MAX_CONFIG_BYTES)
            if not unpacker.eof:
                return Failure(f"data: incomplete, or over {MAX_CONFIG_BYTES} bytes")
            config = msgspec.msgpack.decode(encoded, type=CellConfig)
        except (zlib.error, *DECODE_ERRORS) as error:
            return Failure(f"data: {shorten(str(error))}")
        if config.version != self.version:
            return Failure(f"version: expected {self.version}, got {config.version}")
        return Success(config)

    def _start(self, part: ConfigPart) -> None:
        self.version, self.digest, self._size = part.version, part.digest, part.size
        self._data.clear()


def _digest_of(data: bytes) -> str:
    return hashlib.blake2b(data, digest_size=_DIGEST_BYTES).hexdigest()
