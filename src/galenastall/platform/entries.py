"""Decode what others write into the platform's store; any bytes may come."""

from typing import TypeVar

import msgspec
from returns.result import Failure, Result, Success

T = TypeVar("T")


def decode_entry(value: bytes, wanted: type[T]) -> Result[T, str]:
    """Return the typed entry, or what is wrong with it.

    Nesting deeper than the interpreter's stack is an error of its own kind.
    """
    try:
        return Success(msgspec.json.decode(value, type=wanted))
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        return Failure(str(error))
