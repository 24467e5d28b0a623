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


class RepairableLink(PeerLink, Protocol):
    """A peer link that can check whether it receives anything, and make its sockets anew."""

    async def probe_inbox(self, *, timeout_s: float) -> Result[None, StepError]:
        """Call this host's own inbox over a new connection.

        TIMEOUT: the inbox accepted the connection and did not answer within `timeout_s`. All other
        failures say nothing of the inbox, since nothing was sent to it.
        """

    async def rebuild(self) -> Result[None, StepError]:
        """Close all sockets and bind the same address again; calls in progress end as TIMEOUT.

        Failure: the address can't be bound now, and no peer reaches this host until a further call
        succeeds.
        """
