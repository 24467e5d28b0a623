"""Mutations that disable one safeguard of ownership each, to show that the model detects it."""

from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, contextmanager
from typing import Any, Final
from unittest.mock import patch

from galenastall.coordination.ownership import ownership_claims, ownership_takeover
from galenastall.coordination.ownership.ownership import OwnershipCore
from galenastall.coordination.ownership.ownership_confirmations import Confirmations
from galenastall.coordination.ownership.ownership_holdings import Holdings
from galenastall.coordination.ownership.ownership_messages import ContestedClaim
from galenastall.coordination.ownership.ownership_takeover import Takeover
from galenastall.state.ids import Epoch, Offset, OwnableId
from galenastall.state.ownership_records import Member, Members
from galenastall.state.registry import Registry

Mutation = Callable[[], AbstractContextManager[Any]]

MUTATIONS: Final[Registry[Mutation]] = Registry(kind="ownership mutation")
"""Context managers by name; each applies to all cores while entered."""


@MUTATIONS.register("no-fencing")
@contextmanager
def no_fencing() -> Iterator[None]:
    """Let members acknowledge fences and continue to confirm owners as if not fenced."""

    def ignore_claim(self: Holdings, claim: ContestedClaim) -> None:
        return None

    def no_claims(self: Holdings, offset: Offset, *, reader: Member) -> Iterator[ContestedClaim]:
        return iter(())

    with (
        patch.object(Holdings, "note_claim", ignore_claim),
        patch.object(Holdings, "claims_from", no_claims),
    ):
        yield


@MUTATIONS.register("no-waits")
@contextmanager
def no_waits() -> Iterator[None]:
    """Let a claimant activate as soon as the roster is fenced, without waiting."""

    def ready_at(self: Takeover) -> float:
        fenced_at = self._fenced_at_by_roster.values()
        return max(fenced_at, default=self._claimed_at)

    with patch.object(Takeover, "ready_at", ready_at):
        yield


@MUTATIONS.register("one-is-enough")
@contextmanager
def one_is_enough() -> Iterator[None]:
    """Let a claimant count a roster as fenced once one member of it is."""

    def is_any(count: int, members: Members) -> bool:
        return count > 0

    with (
        patch.object(ownership_takeover, "leaves_no_majority", is_any),
        patch.object(ownership_claims, "leaves_no_majority", is_any),
        patch.object(ownership_claims, "is_majority", is_any),
    ):
        yield


@MUTATIONS.register("newer-roster")
@contextmanager
def newer_roster() -> Iterator[None]:
    """Confirm an owner by the current roster instead of the roster of its own record."""

    def may_act(self: OwnershipCore, ownable: OwnableId, now: float) -> Epoch | None:
        holding = self.holdings.holding_by_ownable.get(ownable)
        roster = frozenset(self.fold.roster_by_incarnation)
        if holding and (
            self.confirmations.has_log_confirmation(now)
            or self.confirmations.has_peer_confirmation(roster, now)
        ):
            return holding.epoch
        return None

    with patch.object(OwnershipCore, "may_act", may_act):
        yield


@MUTATIONS.register("vouches-from-receipt")
@contextmanager
def vouches_from_receipt() -> Iterator[None]:
    """Date a confirmation from its arrival instead of the sending of the echoed heartbeat."""

    def latest(self: Confirmations, sequence: int) -> float | None:
        return max(self._sent_at_by_sequence.values(), default=None)

    with patch.object(Confirmations, "sent_at", latest):
        yield
