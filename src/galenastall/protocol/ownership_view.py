"""Read interface of ownership for drivers."""

from collections.abc import Callable
from typing import Protocol

from galenastall.state.ids import Epoch, HostId, OwnableId


class OwnershipView(Protocol):
    """Ownership as this entry host knows it."""

    def may_act(self, ownable: OwnableId) -> Epoch | None:
        """Return the epoch under which this entry host may act on `ownable` now, else None.

        Call it after any await, immediately before the bytes are sent.
        """

    def owner_of(self, ownable: OwnableId) -> HostId | None:
        """Return the owner according to the part of the log read so far."""

    def owned(self) -> frozenset[OwnableId]:
        """Return the ownables that this entry host has activated and not lost."""

    def roster(self) -> frozenset[HostId]:
        """Return the live members of this data centre's roster, this one included."""

    def on_activated(self, callback: Callable[[OwnableId, Epoch], None]) -> None:
        """Call `callback` on the event loop whenever this entry host becomes an owner."""

    def on_lost(self, callback: Callable[[OwnableId], None]) -> None:
        """Call `callback` on the event loop whenever this entry host stops being an owner."""
