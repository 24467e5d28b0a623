"""Events for unexpected errors: one for each, with the place in this package where it arose."""

import traceback
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from typing import Final

from galenastall.state.decoding import shorten
from galenastall.state.errors import StepError
from galenastall.transport.logs import Level, Recorder

_PACKAGE: Final = "/galenastall/"
_STACK_CHARS: Final = 4_000
"""Most of a stack that an event carries: its end, where the error arose."""


@contextmanager
def unexpected_recorded(recorder: Recorder, step: str) -> Iterator[None]:
    """Record the errors that leave the block, and raise them again."""
    try:
        yield
    except Exception as error:
        record_unexpected(recorder, step, error)
        raise


def record_unexpected(
    recorder: Recorder,
    step: str,
    error: BaseException,
    *,
    peer: str = "",
    subjects: Sequence[str] = (),
    level: Level = Level.ERROR,
) -> None:
    """Record an error, or each error of a group, with its place and its stack."""
    for each in _errors_in(error):
        stack = "".join(traceback.format_exception(each, chain=False))
        recorder.record(
            step,
            peer=peer,
            subjects=subjects,
            cause=shorten(f"{type(each).__name__}: {each}"),
            fields={"place": place_of(each), "stack": stack[-_STACK_CHARS:]},
            level=level,
        )


def counted_error_log(recorder: Recorder) -> Callable[[StepError, BaseException], None]:
    """Return an error log that records each exception as an event, which is counted."""

    def record(error: StepError, exception: BaseException) -> None:
        record_unexpected(
            recorder, error.step, exception, peer=error.peer, subjects=(error.detail,)
        )

    return record


def place_of(error: BaseException) -> str:
    """Return module, line and function of the innermost frame in this package."""
    for frame in reversed(traceback.extract_tb(error.__traceback__)):
        _, found, module = frame.filename.rpartition(_PACKAGE)
        if found:
            return f"{module}:{frame.lineno} {frame.name}"
    return "outside this package"


def _errors_in(error: BaseException) -> Iterator[BaseException]:
    if not isinstance(error, BaseExceptionGroup):
        yield error
        return
    for inner in error.exceptions:
        yield from _errors_in(inner)
