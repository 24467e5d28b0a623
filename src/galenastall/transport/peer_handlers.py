"""Handlers of peer messages by type, and the conversion of their failures to typed errors."""

import logging
from collections.abc import Callable
from typing import Any

from galenastall.protocol.peers import PeerHandler
from galenastall.state.errors import Reason, StepError
from galenastall.state.ids import HostId

ErrorLog = Callable[[StepError, BaseException], None]
"""Takes a typed error and the exception behind it."""

_logger = logging.getLogger("galenastall.peers")


class PeerHandlers:
    """Table with one handler for each message type."""

    def __init__(self, *, host_id: HostId, log_error: ErrorLog | None) -> None:
        """Create an empty table for this entry host."""
        self._host_id = host_id
        self._log_error = log_error or _log_to_stdlib
        self._handlers_by_type: dict[type[Any], PeerHandler] = {}

    def add(self, message_type: type[Any], handler: PeerHandler) -> None:
        """Register a handler; raises ValueError if the type already has one."""
        if message_type in self._handlers_by_type:
            raise ValueError(f"messages of type {message_type.__name__} already have a handler")
        self._handlers_by_type[message_type] = handler

    async def dispatch(self, sender: HostId, message: Any) -> Any:
        """Return the handler's answer, or a StepError if there is no handler or it raised."""
        handler = self._handlers_by_type.get(type(message))
        if handler is None:
            return self.error(Reason.REFUSED, f"no handler for {type(message).__name__}")
        try:
            return await handler(sender, message)
        except Exception as error:
            return self.fault(type(message).__name__, error)

    def fault(self, name: str, error: Exception) -> StepError:
        """Log an unexpected error in handling or answering a message, and return it typed."""
        step_error = self.error(Reason.CUT, f"{name}: {type(error).__name__}")
        self._log_error(step_error, error)
        return step_error

    def error(self, reason: Reason, detail: str) -> StepError:
        """Return an error of message handling at this entry host."""
        return StepError(step="peer.handle", peer=self._host_id, reason=reason, detail=detail)


def _log_to_stdlib(step_error: StepError, error: BaseException) -> None:
    _logger.error("%s", step_error, exc_info=error)
