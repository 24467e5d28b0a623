"""Decodes entries that others write into the platform's store; they may hold any bytes."""

from typing import TypeVar

import msgspec
from returns.result import Failure, Result, Success

T = TypeVar("T")


def decode_entry(value: bytes, wanted: type[T]) -> Result[T, str]:
    """Return the typed entry, or an error message.

    Nesting deeper than the interpreter's stack raises RecursionError, not a decode error.
    """
    try:
        return Success(msgspec.json.decode(value, type=wanted))
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        return Failure(str(error))
