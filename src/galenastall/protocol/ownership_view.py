"""What drivers may ask about ownership."""

from collections.abc import Callable
from typing import Protocol

from galenastall.state.ids import Epoch, HostId, OwnableId


class OwnershipView(Protocol):
    """Ownership as this entry host knows it."""

    def may_act(self, ownable: OwnableId) -> Epoch | None:
        """Return the epoch under which this entry host may act on `ownable` now, else None.

        Ask at the last moment, after any await, right before the bytes leave.
        """

    def owner_of(self, ownable: OwnableId) -> HostId | None:
        """Return the owner according to the log as far as it was read."""

    def owned(self) -> frozenset[OwnableId]:
        """Return what this entry host has activated and not lost."""

    def roster(self) -> frozenset[HostId]:
        """Return the live members of this data centre's roster, this one included."""

    def on_activated(self, callback: Callable[[OwnableId, Epoch], None]) -> None:
        """Call back, on the loop, whenever this entry host becomes the owner of something."""

    def on_lost(self, callback: Callable[[OwnableId], None]) -> None:
        """Call back, on the loop, whenever this entry host stops being an owner."""
