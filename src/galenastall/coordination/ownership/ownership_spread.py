"""Plan which ownables this member should transfer, and to whom."""

from collections import defaultdict
from collections.abc import Iterable, Mapping

from galenastall.state.ids import HostId, OwnableId
from galenastall.state.ownership_records import Member, Members, OwnershipTransfer


def plan_transfers(
    *,
    owned: Iterable[OwnableId],
    wanted: Mapping[OwnableId, HostId],
    live: Members,
    me: Member,
    limit: int,
) -> tuple[OwnershipTransfer, ...]:
    """Return transfers that bring the spread nearer to the wanted one, `limit` ownables at most.

    An ownable that nobody should own any more, since its host left the list, is released.
    """
    member_by_host = {member.host: member for member in live}
    ownables_by_target: dict[Member | None, list[OwnableId]] = defaultdict(list)
    left = limit
    for ownable in sorted(owned):
        host = wanted.get(ownable)
        if left == 0:
            break
        if host == me.host:
            continue
        ownables_by_target[member_by_host.get(host) if host else None].append(ownable)
        left -= 1
    return tuple(
        OwnershipTransfer(to=target, ownables=tuple(ownables))
        for target, ownables in ownables_by_target.items()
    )
