"""Decodes bytes of others into typed values with bounded numbers, or an error message.

Any bytes give a value or an error; nothing raises. Types that are decoded take their numbers from
here, so that each value read can be computed with, converted to text and encoded again.
"""

from typing import Annotated, Final, TypeVar

import msgspec
from msgspec import Meta
from returns.result import Failure, Result, Success

T = TypeVar("T")

MAX_WHOLE: Final = 2**53
"""Largest whole number that JSON carries exactly; sums of a thousand fit into 64 bits."""
MAX_AMOUNT: Final = 2**40
"""Largest amount of a resource: sums over all tasks of all jobs fit into 64 bits."""
DECODE_ERRORS: Final = (ValueError, RecursionError)
"""All that decoding may raise: msgspec's errors, invalid UTF-8 and numbers with too many digits are
ValueErrors; nesting deeper than the interpreter's stack raises RecursionError."""
_SHOWN_CHARS: Final = 200

Whole = Annotated[int, Meta(ge=0, le=MAX_WHOLE)]
"""A count, position, token or time in milliseconds."""
Amount = Annotated[int, Meta(ge=0, le=MAX_AMOUNT)]
"""An amount of a resource."""
Quantity = Annotated[float, Meta(ge=0.0, le=float(MAX_WHOLE))]
"""A finite duration or measure of 0 or more."""
Finite = Annotated[float, Meta(ge=-float(MAX_WHOLE), le=float(MAX_WHOLE))]
"""A finite number."""


def decode_json_value(body: bytes | str, wanted: type[T]) -> Result[T, str]:
    """Return the typed value of a JSON text, or an error message."""
    try:
        return Success(msgspec.json.decode(body, type=wanted))
    except DECODE_ERRORS as error:
        return Failure(shorten(str(error)))


def decode_msgpack_value(body: bytes, wanted: type[T]) -> Result[T, str]:
    """Return the typed value of a msgpack message, or an error message."""
    try:
        return Success(msgspec.msgpack.decode(body, type=wanted))
    except DECODE_ERRORS as error:
        return Failure(shorten(str(error)))


def parse_whole(text: str, *, most: int = MAX_WHOLE) -> int | None:
    """Return the whole number of 0 to `most` that a text consists of, or None.

    The length is checked first: `int` raises ValueError for more than 4,300 digits.
    """
    if len(text) > len(str(most)) or not (text.isascii() and text.isdecimal()):
        return None
    value = int(text)
    return value if value <= most else None


def shorten(text: str) -> str:
    """Return a text of others as it is shown in messages: its beginning, if it is long."""
    return text if len(text) <= _SHOWN_CHARS else f"{text[:_SHOWN_CHARS]}..."
