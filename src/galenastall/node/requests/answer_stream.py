"""An upstream's answer on its way to the caller, with its call kept open until it ends."""

from collections.abc import AsyncGenerator, AsyncIterator, Callable
from contextlib import AsyncExitStack
from types import TracebackType
from typing import Any

from galenastall.protocol.platform import UpstreamCutError

EndCallback = Callable[[bool], None]
"""Takes whether the answer came to its end."""


class AnswerStream(AsyncGenerator[bytes, None]):
    """Chunks read already, then the rest; closes the call whatever happens.

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
        """Own `call` from now on."""
        self._first = list(reversed(first))
        self._rest = rest
        self._call = call
        self._on_end = on_end
        self._is_open = True

    async def __anext__(self) -> bytes:
        """Return the next chunk; raises UpstreamCutError if the answer breaks off."""
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
        """Return the next chunk; there is nothing to send to."""
        return await self.__anext__()

    async def athrow(
        self,
        typ: Any,
        val: BaseException | object = None,
        tb: TracebackType | None = None,
    ) -> bytes:
        """Close and raise."""
        await self._close(complete=False)
        if isinstance(typ, BaseException):
            raise typ
        raise typ(val)

    async def aclose(self) -> None:
        """End the call if the answer was not read to its end."""
        await self._close(complete=False)

    async def _close(self, *, complete: bool) -> None:
        if not self._is_open:
            return
        self._is_open = False
        self._on_end(complete)
        await self._call.aclose()
