"""JSON texts that others may send in place of a field: large, long, deep, or of another type."""

import json
from collections.abc import Iterator
from typing import Any, Final

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
_MARK: Final = "\u2063replaced\u2063"


def replaced(document: Any) -> Iterator[tuple[str, bytes]]:
    """Return the document with each value in turn replaced by each odd one, by a name for both."""
    for path in _paths(document, ()):
        marked = json.dumps(_with_mark(document, path)).encode()
        for name, value in ODD_VALUES.items():
            shown = ".".join(str(part) for part in path) or "the whole"
            yield f"{shown}: {name}", marked.replace(json.dumps(_MARK).encode(), value)


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
