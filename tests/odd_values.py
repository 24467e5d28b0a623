"""Values that others may send in place of a field: large, long, deep, or of another type."""

import json
from collections.abc import Iterator
from typing import Any, Final

import msgspec

ODD_VALUES: Final[dict[str, bytes]] = {
    "a number of 4,400 digits": b"9" * 4_400,
    "a number of 4,200 digits": b"9" * 4_200,
    "a number above 64 bits": b"100000000000000000000",
    "a number above 63 bits": b"9223372036854775808",
    "the largest float": b"1.7976931348623157e308",
    "a float above the largest": b"1e400",
    "a negative number": b"-1",
    "a negative number above 64 bits": b"-100000000000000000000",
    "a text of 5,000 digits": b'"' + b"9" * 5_000 + b'"',
    "digits of another script": '"\u0661\u0662"'.encode(),
    "superscript digits": '"\u00b2"'.encode(),
    "a lone surrogate": b'"\\ud800"',
    "control characters": b'"a\\u0000\\r\\n b "',
    "letters outside Latin-1": '"\uc810\uac80"'.encode(),
    "an address with a port of 5,000 digits": b'"10.0.0.9:' + b"9" * 5_000 + b'"',
    "a word": b'"many"',
    "an empty text": b'""',
    "null": b"null",
    "true": b"true",
    "an empty list": b"[]",
    "a list of an empty list": b"[[]]",
    "an empty object": b"{}",
    "a list of 100,000 levels": b"[" * 100_000 + b"]" * 100_000,
    "invalid UTF-8": b'"\xff\xfe"',
    "nothing": b"",
}
ODD_MSGPACK: Final[dict[str, bytes]] = {
    "the largest unsigned number": b"\xcf" + b"\xff" * 8,
    "a number above 63 bits": b"\xcf\x80" + b"\x00" * 7,
    "the lowest number": b"\xd3\x80" + b"\x00" * 7,
    "a negative number": b"\xff",
    "not a number": b"\xcb\x7f\xf8" + b"\x00" * 6,
    "an infinite number": b"\xcb\x7f\xf0" + b"\x00" * 6,
    "the largest float": b"\xcb\x7f\xef" + b"\xff" * 6,
    "a text of 5,000 digits": b"\xda\x13\x88" + b"9" * 5_000,
    "an empty text": b"\xa0",
    "a text that is not UTF-8": b"\xa2\xff\xfe",
    "an address with a port of 5,000 digits": b"\xda\x13\x91" + b"10.0.0.9:" + b"9" * 5_000,
    "bytes": b"\xc4\x02\xff\xfe",
    "nil": b"\xc0",
    "true": b"\xc3",
    "an empty list": b"\x90",
    "an empty map": b"\x80",
    "a map with a map as key": b"\x81\x80\x01",
    "an invalid time": b"\xc7\x0c\xff" + b"\xff" * 12,
    "an unused type": b"\xc1",
    "a list of 100,000 levels": b"\x91" * 100_000 + b"\xc0",
    "a length beyond the end": b"\xdd\xff\xff\xff\xff",
    "nothing": b"",
}
_MARK: Final = "\u2063replaced\u2063"


def replaced(document: Any) -> Iterator[tuple[str, bytes]]:
    """Return the document with each value in turn replaced by each odd one, by a name for both."""
    for path in _paths(document, ()):
        marked = json.dumps(_with_mark(document, path)).encode()
        for name, value in ODD_VALUES.items():
            shown = ".".join(str(part) for part in path) or "the whole"
            yield f"{shown}: {name}", marked.replace(json.dumps(_MARK).encode(), value)


def replaced_in_message(document: Any) -> Iterator[tuple[str, bytes]]:
    """Return the document as msgpack with each value in turn replaced by each odd one."""
    for path in _paths(document, ()):
        marked = msgspec.msgpack.encode(_with_mark(document, path))
        for name, value in ODD_MSGPACK.items():
            shown = ".".join(str(part) for part in path) or "the whole"
            yield f"{shown}: {name}", marked.replace(msgspec.msgpack.encode(_MARK), value)


def _paths(value: Any, path: tuple[str | int, ...]) -> Iterator[tuple[str | int, ...]]:
    yield path
    parts: Any = ()
    if isinstance(value, dict):
        parts = value.items()
    elif isinstance(value, list):
        parts = enumerate(value)
    for key, inner in parts:
        yield from _paths(inner, (*path, key))


def _with_mark(value: Any, path: tuple[str | int, ...]) -> Any:
    if not path:
        return _MARK
    changed: Any = dict(value) if isinstance(value, dict) else list(value)
    changed[path[0]] = _with_mark(changed[path[0]], path[1:])
    return changed
