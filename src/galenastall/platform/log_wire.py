"""Wire format of the platform's log: framed records, keys and values, and read responses."""

import base64
import struct
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

import msgspec

from galenastall.state.decoding import MAX_WHOLE, Whole

_LENGTH: Final = struct.Struct(">I")
_READ_HEAD: Final = struct.Struct(">QQ")
READ_HEAD_BYTES: Final = _READ_HEAD.size
"""Size of what a read's response begins with: the end and the first retained offset."""
_LONGEST_KEY: Final = 255


class WireError(ValueError):
    """Bytes that do not follow the platform's format."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadAnswer:
    """A page of a partition."""

    end: int
    """Offset after the partition's last record."""
    first: int
    """First offset that is still retained."""
    records: tuple[bytes, ...]


class NewestItem(msgspec.Struct, frozen=True, kw_only=True):
    """The newest record of one key."""

    key: str
    value: str = ""
    """In base64."""
    offset: Whole = 0

    def content(self) -> bytes:
        """Return the value's bytes."""
        try:
            return base64.b64decode(self.value, validate=True)
        except ValueError as error:
            # Not only binascii.Error: letters outside ASCII raise ValueError itself.
            raise WireError(f"value of {self.key[:40]!r}: {error}") from error


class NewestPage(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """One page of the newest records of all keys."""

    items: list[msgspec.Raw] = []
    """Each a `NewestItem`, decoded on its own so that an unreadable one does not fail the page."""
    has_more: bool = False
    end_offset: Whole = 0


class AppendAnswer(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """Offsets of appended records."""

    offset: Whole = 0
    end_offset: Whole = 0


class AppendRefusal(msgspec.Struct, frozen=True, kw_only=True):
    """Why an append was refused with a conflict."""

    reason: str = ""
    sequence: Whole | None = None
    """The expected sequence number, if the one given was wrong."""


def frame_record(content: bytes) -> bytes:
    """Return a record with its length prefix, as appends carry it."""
    return _LENGTH.pack(len(content)) + content


def keyed_record(key: str, value: bytes) -> bytes:
    """Return a framed record of a keyed topic; an empty value deletes the key."""
    name = key.encode()
    if not name or len(name) > _LONGEST_KEY:
        raise WireError(f"key: expected 1 to {_LONGEST_KEY} bytes, got {len(name)}")
    return frame_record(bytes([len(name)]) + name + value)


def split_keyed(content: bytes) -> tuple[str, bytes]:
    """Return key and value of a keyed record; the value is empty if the key was deleted."""
    if not content or len(content) < 1 + content[0]:
        raise WireError("keyed record is shorter than its key")
    end = 1 + content[0]
    try:
        return content[1:end].decode(), content[end:]
    except UnicodeDecodeError as error:
        raise WireError(f"key {content[1:end][:40]!r}: {error.reason}") from error


def decode_read(body: bytes) -> ReadAnswer:
    """Decode the response to a read."""
    if len(body) < _READ_HEAD.size:
        raise WireError(f"page: expected at least {_READ_HEAD.size} bytes, got {len(body)}")
    end, first = _READ_HEAD.unpack_from(body)
    if end > MAX_WHOLE or first > MAX_WHOLE:
        raise WireError(f"page: expected offsets up to {MAX_WHOLE}, got {end} and {first}")
    records = split_records(body[_READ_HEAD.size :])
    return ReadAnswer(end=end, first=first, records=tuple(records))


def decode_end(body: bytes) -> int:
    """Return the partition's end from the beginning of the response to a read."""
    end, _ = _READ_HEAD.unpack_from(body)
    return int(end)


def split_records(body: bytes) -> list[bytes]:
    """Return the contents of consecutive framed records."""
    return list(_records(body))


def _records(body: bytes) -> Iterator[bytes]:
    position = 0
    while position < len(body):
        if position + _LENGTH.size > len(body):
            raise WireError("truncated record length")
        (length,) = _LENGTH.unpack_from(body, position)
        begin = position + _LENGTH.size
        if begin + length > len(body):
            raise WireError("truncated record")
        yield body[begin : begin + length]
        position = begin + length
