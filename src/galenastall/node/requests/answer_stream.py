"""Streaming of an upstream's response to the caller, keeping its call open until the end."""

from collections.abc import AsyncGenerator, AsyncIterator, Callable
from contextlib import AsyncExitStack
from types import TracebackType
from typing import Any

from galenastall.protocol.platform import UpstreamCutError

EndCallback = Callable[[bool], None]
"""Called with whether the response was complete."""


class AnswerStream(AsyncGenerator[bytes, None]):
    """Yields the chunks read so far, then the rest; always closes the call.

    A class rather than a generator function, since closing a generator that was never started
    would not run its cleanup and would leave the call open.
    """

    def __init__(
        self,
        *,
        first: list[bytes],
        rest: AsyncIterator[bytes],
        call: AsyncExitStack,
        on_end: EndCallback,
    ) -> None:
        """Take ownership of `call`."""
        self._first = list(reversed(first))
        self._rest = rest
        self._call = call
        self._on_end = on_end
        self._is_open = True

    async def __anext__(self) -> bytes:
        """Return the next chunk; raises UpstreamCutError if the response is cut short."""
        if not self._is_open:
            raise StopAsyncIteration
        if self._first:
            return self._first.pop()
        try:
            return await self._rest.__anext__()
        except StopAsyncIteration:
            await self._close(complete=True)
            raise
        except UpstreamCutError:
            await self._close(complete=False)
            raise

    async def asend(self, value: None) -> bytes:
        """Return the next chunk; the sent value is ignored."""
        return await self.__anext__()

    async def athrow(
        self,
        typ: Any,
        val: BaseException | object = None,
        tb: TracebackType | None = None,
    ) -> bytes:
        """Close the call and raise."""
        await self._close(complete=False)
        if isinstance(typ, BaseException):
            raise typ
        raise typ(val)

    async def aclose(self) -> None:
        """Close the call if the response was not read to its end."""
        await self._close(complete=False)

    async def _close(self, *, complete: bool) -> None:
        if not self._is_open:
            return
        self._is_open = False
        self._on_end(complete)
        await self._call.aclose()
