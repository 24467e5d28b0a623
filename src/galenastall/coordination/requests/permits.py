"""The requesting host's side of permits: asks sent, permits held, and permits too old to use."""

from collections import OrderedDict
from dataclasses import dataclass
from itertools import chain
from typing import Final

from galenastall.coordination.requests.permit_types import HeldPermit, Permit, PermitLimits
from galenastall.state.ids import Epoch, HostId

ANSWER_SLACK_S: Final = 0.25
"""Time beyond an ask's lifetime at the owner for its answer to arrive, in seconds."""


@dataclass(slots=True)
class _Ask:
    owner: HostId
    sent_at: float
    open: bool = True


@dataclass(slots=True)
class _Held:
    permit: Permit
    owner: HostId
    ends_at: float
    begin_by: float


class PermitHolder:
    """Asks and permits of one entry host.

    All durations count from the time at which the ask was sent, so a permit that was delayed in the
    network, or received by a paused process, is found void.
    """

    def __init__(self, *, limits: PermitLimits) -> None:
        """Start without asks and permits."""
        self.limits = limits
        self._asks_by_id: OrderedDict[int, _Ask] = OrderedDict()
        self._held_by_id: dict[str, _Held] = {}
        self._busy_by_id: dict[str, _Held] = {}
        self._fences_by_upstream: dict[HostId, Epoch] = {}
        self._next_ask = 0
        self._outstanding = 0

    @property
    def outstanding(self) -> int:
        """Asks that may still be granted in time."""
        return self._outstanding

    @property
    def held(self) -> int:
        """Permits held."""
        return len(self._held_by_id)

    def owner_of(self, *, permit_id: str) -> HostId | None:
        """Return the owner that granted a held permit."""
        held = self._held_by_id.get(permit_id)
        return None if held is None else held.owner

    def ask(self, *, owner: HostId, now: float) -> int:
        """Register an ask that is about to be sent; return its number."""
        self._next_ask += 1
        self._asks_by_id[self._next_ask] = _Ask(owner, now)
        self._outstanding += 1
        return self._next_ask

    def expire_asks(self, *, now: float) -> int:
        """Stop waiting for asks that the owner no longer keeps; return their number."""
        expired = 0
        waited_s = self.limits.ask_ttl_s + ANSWER_SLACK_S
        for ask in self._asks_by_id.values():
            if ask.sent_at + waited_s > now:
                break
            if ask.open:
                ask.open = False
                self._outstanding -= 1
                expired += 1
        while self._asks_by_id:
            ask_id, oldest = next(iter(self._asks_by_id.items()))
            if oldest.sent_at + self.limits.begin_within_s > now:
                break
            del self._asks_by_id[ask_id]
        for permit_id in [p for p, held in self._busy_by_id.items() if held.ends_at <= now]:
            del self._busy_by_id[permit_id]
        return expired

    def note_refused(self, *, ask_id: int) -> None:
        """Record that the owner refused an ask."""
        self._close(ask_id)

    def accept(self, *, permit: Permit, owner: HostId, now: float) -> bool:
        """Accept a granted permit; return False if it is void and must be released unused."""
        ask = self._close(permit.ask_id)
        if ask is None or ask.owner != owner:
            return False
        if permit.epoch < self._fences_by_upstream.get(permit.upstream, 0):
            return False
        if now >= ask.sent_at + permit.begin_within_s:
            return False
        self._held_by_id[permit.permit_id] = _Held(
            permit=permit,
            owner=owner,
            ends_at=ask.sent_at + permit.ends_within_s,
            begin_by=ask.sent_at + permit.begin_within_s,
        )
        return True

    def may_begin(self, *, permit_id: str, now: float) -> bool:
        """Return whether the request may be sent now; call right before sending."""
        held = self._held_by_id.get(permit_id)
        return held is not None and now < held.begin_by

    def ends_at(self, *, permit_id: str) -> float:
        """Return the monotonic time by which the request must have ended."""
        return self._held_by_id[permit_id].ends_at

    def drop(self, *, permit_id: str, busy_for_s: float, now: float) -> HostId | None:
        """Stop using a permit; return the owner to release it to.

        While the upstream may still be busy with the request, reports to a new owner include it.
        """
        held = self._held_by_id.pop(permit_id, None)
        if held is None:
            return None
        if busy_for_s > 0:
            held.ends_at = min(held.ends_at, now + busy_for_s)
            self._busy_by_id[permit_id] = held
        return held.owner

    def report(
        self, *, upstream: HostId, epoch: Epoch, owner: HostId, now: float
    ) -> tuple[HeldPermit, ...]:
        """Return the held permits to a new owner, and reject earlier owners' permits from now on.

        Held permits stay usable, since the new owner counts them, and are released to it.
        """
        if epoch < self._fences_by_upstream.get(upstream, 0):
            return ()
        self._fences_by_upstream[upstream] = epoch
        both = chain(self._held_by_id.values(), self._busy_by_id.values())
        held_here = [held for held in both if held.permit.upstream == upstream]
        for held in held_here:
            held.owner = owner
        return tuple(
            HeldPermit(
                permit_id=held.permit.permit_id,
                upstream=upstream,
                ends_in_s=max(0.0, held.ends_at - now),
            )
            for held in held_here
        )

    def _close(self, ask_id: int) -> _Ask | None:
        ask = self._asks_by_id.pop(ask_id, None)
        if ask is not None and ask.open:
            self._outstanding -= 1
        return ask
