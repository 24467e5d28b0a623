"""Previous owners of each ownable, according to a data centre's stream.

A new owner of an upstream queries the previous one for the outstanding permits; an ownable without
a previous owner has none.
"""

from typing import Final

from galenastall.state.ids import Epoch, HostId, Offset, OwnableId
from galenastall.state.ownership_records import Activate, Claim, HandOver, OwnershipSnapshot
from galenastall.state.records import LoggedRecord

MAX_TENURES: Final = 4
"""Per ownable; its earliest epoch is kept in addition."""


class TenureHistory:
    """The latest owners of each ownable, in offset order."""

    def __init__(self) -> None:
        """Start before the stream's first record."""
        self._claimed_by_epoch: dict[Epoch, tuple[OwnableId, ...]] = {}
        self._tenures_by_ownable: dict[OwnableId, list[tuple[Epoch, HostId]]] = {}
        self._first_epoch_by_ownable: dict[OwnableId, Epoch] = {}
        self._known_from: Offset | None = None
        self._next = Offset(0)

    @property
    def is_complete(self) -> bool:
        """Whether the stream was read from its first record."""
        return self._known_from is None or self._known_from == 0

    def apply(self, logged: LoggedRecord) -> None:
        """Apply the next record; unrelated record types are ignored."""
        if self._known_from is None:
            self._known_from = logged.offset
        self._next = Offset(logged.offset + 1)
        match logged.record:
            case Claim() as claim:
                self._claimed_by_epoch[Epoch(logged.offset)] = claim.ownables
            case Activate() as activate:
                for ownable in self._claimed_by_epoch.pop(activate.epoch, ()):
                    self._add(ownable, activate.epoch, activate.by.host)
            case HandOver() as handover:
                self._hand_over(handover, Epoch(logged.offset))
            case OwnershipSnapshot() as snapshot:
                self._apply_snapshot(snapshot)

    def previous_owner(self, *, ownable: OwnableId, epoch: Epoch) -> HostId | None:
        """Return the owner that preceded the one of `epoch`, None if it is not known."""
        last = self.previous(ownable=ownable, epoch=epoch)
        return last[1] if last else None

    def previous(self, *, ownable: OwnableId, epoch: Epoch) -> tuple[Epoch, HostId] | None:
        """Return epoch and owner of the tenure before `epoch`, None if it is not known."""
        if self._next < epoch:
            return None
        earlier = [t for t in self._tenures_by_ownable.get(ownable, ()) if t[0] < epoch]
        return earlier[-1] if earlier else None

    def is_first(self, *, ownable: OwnableId, epoch: Epoch) -> bool:
        """Return whether nobody can have owned it before `epoch`.

        False until the stream was read up to `epoch`: ownership, fed by a peer, may be ahead of it.
        """
        if self._next < epoch:
            return False
        return self.is_complete and self._first_epoch_by_ownable.get(ownable, epoch) >= epoch

    def _hand_over(self, handover: HandOver, epoch: Epoch) -> None:
        for transfer in handover.gifts:
            for ownable in transfer.ownables:
                if not self._tenures_by_ownable.get(ownable):
                    self._add(ownable, Epoch(0), handover.by.host)
                if transfer.to is not None:
                    self._add(ownable, epoch, transfer.to.host)

    def _apply_snapshot(self, snapshot: OwnershipSnapshot) -> None:
        if self.is_complete:
            return
        for group in snapshot.groups:
            for ownable in group.ownables:
                if group.state.tenure is not None and ownable not in self._tenures_by_ownable:
                    tenure = group.state.tenure
                    self._add(ownable, tenure.epoch, tenure.owner.host)

    def _add(self, ownable: OwnableId, epoch: Epoch, host: HostId) -> None:
        tenures = self._tenures_by_ownable.setdefault(ownable, [])
        tenures.append((epoch, host))
        tenures.sort()
        del tenures[:-MAX_TENURES]
        first = self._first_epoch_by_ownable.get(ownable, epoch)
        self._first_epoch_by_ownable[ownable] = min(first, epoch)
