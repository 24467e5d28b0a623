"""Plan which ownables this member should claim: free ones, and those of dead owners."""

from collections import defaultdict
from collections.abc import Iterator

from galenastall.coordination.ownership.membership import Membership
from galenastall.coordination.ownership.ownership_candidates import rank, spread
from galenastall.coordination.ownership.ownership_takeover import is_majority, leaves_no_majority
from galenastall.coordination.ownership.ownership_timings import OwnershipTimings
from galenastall.state.ids import Epoch, HostId, OwnableId
from galenastall.state.ownership_fold import OwnershipFold
from galenastall.state.ownership_records import Claim, Member, Members, OwnableState


class ClaimPlanner:
    """Chooses claims; a wrong choice costs time, never safety."""

    def __init__(
        self,
        *,
        me: Member,
        timings: OwnershipTimings,
        fold: OwnershipFold,
        membership: Membership,
    ) -> None:
        """Use the core's fold and membership."""
        self._me = me
        self._timings = timings
        self._fold = fold
        self._membership = membership
        self._since_by_subject: dict[str, float] = {}
        self._claim_seen_at: dict[Epoch, float] = {}
        self._wanted_key: tuple[object, ...] = ()
        self._wanted: dict[OwnableId, HostId] = {}

    def plan(
        self,
        *,
        ownables: frozenset[OwnableId],
        live: Members,
        eligible: Members,
        now: float,
        is_settled: bool,
    ) -> Claim | None:
        """Return the next claim to append, covering all ownables that can be fenced together.

        `live` members take turns at what is free or of a dead owner; `eligible` ones may be
        assigned more.
        """
        wanted = self.wanted(ownables, eligible) if is_settled else {}
        group = self._group_of_dead_owners(live, now) or tuple(
            self._free(ownables, wanted, live, now)
        )
        if not group:
            return None
        return Claim(by=self._me, ownables=tuple(sorted(group)), seen=self._fold.next_offset)

    def wanted(self, ownables: frozenset[OwnableId], eligible: Members) -> dict[OwnableId, HostId]:
        """Return which of these members' hosts should own what, for an even spread."""
        key = (ownables, eligible)
        if key != self._wanted_key:
            self._wanted_key = key
            self._wanted = spread(ownables, sorted(member.host for member in eligible))
        return self._wanted

    def can_fence(self, members: Members, now: float) -> bool:
        """Return whether enough of a roster is dead or reachable that the rest is no majority."""
        reachable = sum(
            self.is_dead(m) or not self._membership.is_unresponsive(m.incarnation, now)
            for m in members
        )
        return leaves_no_majority(reachable, members)

    def is_dead(self, member: Member) -> bool:
        """Return whether the log or the host list shows that this incarnation never acts again."""
        return not self._fold.has_member(member) or self._membership.is_gone(member.host)

    def _free(
        self,
        ownables: frozenset[OwnableId],
        wanted: dict[OwnableId, HostId],
        live: Members,
        now: float,
    ) -> Iterator[OwnableId]:
        states = self._fold.state_by_ownable
        free = [o for o in ownables if o not in states or states[o].is_free]
        if not free:
            return
        hosts = [member.host for member in live]
        for ownable in free:
            is_mine = wanted.get(ownable) == self._me.host
            if is_mine or self._is_my_turn(f"free/{ownable}", hosts, now, first_wait=1):
                yield ownable

    def _group_of_dead_owners(self, live: Members, now: float) -> tuple[OwnableId, ...]:
        ownables_by_roster: dict[Members | None, list[OwnableId]] = defaultdict(list)
        verdict_by_case: dict[tuple[Epoch, Member | None, Epoch | None], bool] = {}
        seen: set[str] = set()
        responsive = {
            incarnation
            for incarnation in self._fold.roster_by_incarnation
            if not self._membership.is_unresponsive(incarnation, now)
        }
        for ownable, state in self._fold.state_by_ownable.items():
            if state.claim.by is None:
                continue
            if state.claim.by.incarnation in responsive and state.is_settled:
                continue
            tenure_epoch = state.tenure.epoch if state.tenure else None
            case = (state.claim.epoch, state.claim.by, tenure_epoch)
            if case not in verdict_by_case:
                verdict_by_case[case] = self._may_take(state, live, now, seen)
            if verdict_by_case[case]:
                ownables_by_roster[state.tenure.members if state.tenure else None].append(ownable)
        self._forget_subjects(seen)
        groups = sorted(ownables_by_roster.values(), key=len)
        return tuple(groups[-1]) if groups else ()

    def _may_take(self, state: OwnableState, live: Members, now: float, seen: set[str]) -> bool:
        claimant = state.claim.by
        if claimant is None or claimant == self._me:
            return False
        if not self._is_replaceable(state, claimant, now):
            return False
        if state.tenure is not None and not self.can_fence(state.tenure.members, now):
            return False
        subject = f"dead/{claimant.incarnation}"
        seen.add(subject)
        return self._is_my_turn(subject, [member.host for member in live], now, first_wait=0)

    def _is_replaceable(self, state: OwnableState, claimant: Member, now: float) -> bool:
        if not self._fold.has_member(claimant):
            return True
        if state.is_settled:
            assert state.tenure is not None
            return self._is_dead_by_votes(claimant, state.tenure.members, now)
        seen_at = self._claim_seen_at.setdefault(state.claim.epoch, now)
        if now - seen_at > self._timings.claim_stale_s:
            return True
        return self._membership.is_unresponsive(claimant.incarnation, now)

    def _is_dead_by_votes(self, owner: Member, members: Members, now: float) -> bool:
        """Return whether a majority finds an owner unresponsive.

        The majority is one of the owner's own roster or of the current one: the owner may
        have been paused before it named members that have joined since.
        """
        if not self._membership.is_unresponsive(owner.incarnation, now):
            return False
        return any(
            is_majority(self._votes_against(owner, voters, now), voters)
            for voters in (members, self._fold.members())
        )

    def _votes_against(self, owner: Member, voters: Members, now: float) -> int:
        return sum(
            self.is_dead(m)
            or self._membership.reports_unresponsive(m.incarnation, owner.incarnation, now)
            for m in voters
        )

    def _is_my_turn(self, subject: str, hosts: list[HostId], now: float, first_wait: int) -> bool:
        since = self._since_by_subject.setdefault(subject, now)
        turn = rank(hosts, subject).index(self._me.host) + first_wait
        return now - since >= turn * self._timings.stagger_s

    def _forget_subjects(self, seen: set[str]) -> None:
        states = self._fold.state_by_ownable
        for subject in list(self._since_by_subject):
            kind, _, name = subject.partition("/")
            if kind == "dead" and subject not in seen:
                del self._since_by_subject[subject]
            elif kind == "free":
                state = states.get(OwnableId(name))
                if state is not None and not state.is_free:
                    del self._since_by_subject[subject]
        if self._claim_seen_at:
            pending = {s.claim.epoch for s in states.values() if not s.is_settled}
            self._claim_seen_at = {e: t for e, t in self._claim_seen_at.items() if e in pending}
