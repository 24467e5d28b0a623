"""Communication between entry hosts: typed calls and one-way messages by host id."""

from collections.abc import Awaitable, Callable
from typing import Any, Protocol, TypeVar

from returns.result import Result

from galenastall.state.errors import StepError
from galenastall.state.ids import HostId

M = TypeVar("M")

PeerHandler = Callable[[HostId, Any], Awaitable[Any]]
"""Receives the sender and its message; returns the answer, or None for one-way messages."""


class PeerLink(Protocol):
    """Messages to other entry hosts; message classes are registered in codec.PEER_MESSAGES."""

    @property
    def host_id(self) -> HostId:
        """This entry host."""

    def set_peers(self, addresses_by_id: dict[HostId, str]) -> None:
        """Replace the known `IP:port` addresses of peers."""

    def handle(self, message_type: type[M], handler: PeerHandler) -> None:
        """Route messages of this type to `handler`; one handler per type."""

    async def call(
        self, *, peer: HostId, message: object, timeout_s: float
    ) -> Result[Any, StepError]:
        """Send a message and wait for the typed answer.

        UNREACHABLE: the peer is not known or not connected and nothing was sent. TIMEOUT: it may
        have been handled. A handler's StepError comes back as the Failure.
        """

    def send(self, *, peer: HostId, message: object) -> None:
        """Send without waiting for an answer; dropped silently if the peer is unreachable."""
