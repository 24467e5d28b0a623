"""Messages about jobs to an entry host, which may be this one."""

from collections.abc import Awaitable, Callable
from typing import Any, Final, TypeVar

from returns.result import Failure, Result, Success

from galenastall.protocol.peers import PeerLink
from galenastall.state.errors import Reason, StepError
from galenastall.state.ids import HostId

M = TypeVar("M")

CALL_TIMEOUT_S: Final = 2.0


class JobLink:
    """Routes to local handlers without a socket, and to peers otherwise."""

    def __init__(self, *, peers: PeerLink, timeout_s: float = CALL_TIMEOUT_S) -> None:
        """Use `peers` for other hosts; calls time out after `timeout_s`."""
        self._peers = peers
        self._timeout_s = timeout_s
        self._call_handlers: dict[type[Any], Callable[[HostId, Any], Awaitable[Any]]] = {}
        self._message_handlers: dict[type[Any], Callable[[HostId, Any], None]] = {}

    @property
    def host_id(self) -> HostId:
        """This entry host."""
        return self._peers.host_id

    def answer(self, message_type: type[M], handler: Callable[[HostId, M], Awaitable[Any]]) -> None:
        """Answer calls of this type, from this host or from peers."""
        self._call_handlers[message_type] = handler
        self._peers.handle(message_type, handler)

    def on_message(self, message_type: type[M], handler: Callable[[HostId, M], None]) -> None:
        """Handle one-way messages of this type, from this host or from peers."""
        self._message_handlers[message_type] = handler

        async def handle(sender: HostId, message: Any) -> None:
            handler(sender, message)

        self._peers.handle(message_type, handle)

    async def call(self, host: HostId, message: object) -> Result[Any, StepError]:
        """Return the answer of `host`, which may be this one."""
        if host != self.host_id:
            return await self._peers.call(peer=host, message=message, timeout_s=self._timeout_s)
        answer = await self._call_handlers[type(message)](host, message)
        return Failure(answer) if isinstance(answer, StepError) else Success(answer)

    def send(self, host: HostId, message: object) -> None:
        """Send one way to `host`, which may be this one."""
        if host == self.host_id:
            self._message_handlers[type(message)](host, message)
            return
        self._peers.send(peer=host, message=message)


def had_no_effect(error: StepError) -> bool:
    """Return whether the call provably had no effect at the peer."""
    return error.reason in (Reason.UNREACHABLE, Reason.REFUSED, Reason.NOT_OWNER, Reason.CONFLICT)
