"""Exchange with other worker owners what each team has reserved, a few teams per heartbeat.

Quotas hold over all owners of a data centre up to this exchange's lag; no host's capacity depends
on them.
"""

from collections.abc import Mapping
from typing import Final

from galenastall.state.ids import HostId, TeamPath
from galenastall.state.resources import NOTHING, Resources

CHANGED_PER_HEARTBEAT: Final = 6
"""Teams sent because their amount changed, those that changed most first."""
REPEATED_PER_HEARTBEAT: Final = 2
"""Teams sent again in rotation, in case a heartbeat was lost."""


class TeamGossip:
    """Reserved amounts by team, as sent to peers and received from them."""

    def __init__(self) -> None:
        """Start with nothing sent or received."""
        self._sent: dict[TeamPath, Resources] = {}
        self._received_by_peer: dict[HostId, dict[TeamPath, Resources]] = {}

    def take_updates(self, reserved: Mapping[TeamPath, Resources]) -> dict[TeamPath, Resources]:
        """Return the amounts to send with the next heartbeat, and count them as sent."""
        teams = {*reserved, *self._sent}
        changes = {
            team: _distance(reserved.get(team, NOTHING), self._sent.get(team, NOTHING))
            for team in teams
        }
        changed = sorted((team for team in teams if changes[team]), key=lambda t: (-changes[t], t))
        chosen = changed[:CHANGED_PER_HEARTBEAT]
        chosen += [team for team in self._sent if team not in chosen][:REPEATED_PER_HEARTBEAT]
        updates = {team: reserved.get(team, NOTHING) for team in chosen}
        for team, amount in updates.items():
            # Move the team to the end, since repeats start with the one sent longest ago.
            self._sent.pop(team, None)
            self._sent[team] = amount
        return updates

    def apply_updates(self, sender: HostId, updates: Mapping[TeamPath, Resources]) -> None:
        """Apply the amounts received from a peer."""
        received = self._received_by_peer.setdefault(sender, {})
        received.update(updates)
        for team in [team for team, amount in received.items() if amount == NOTHING]:
            del received[team]

    def forget(self, sender: HostId) -> None:
        """Drop the amounts of a peer that left."""
        self._received_by_peer.pop(sender, None)

    def reserved_elsewhere(self) -> dict[TeamPath, Resources]:
        """Return what teams have reserved with all other owners."""
        total: dict[TeamPath, Resources] = {}
        for received in self._received_by_peer.values():
            for team, amount in received.items():
                total[team] = total.get(team, NOTHING) + amount
        return total


def _distance(one: Resources, other: Resources) -> int:
    cores = abs(one.cores_milli - other.cores_milli)
    memory = abs(one.memory_mb - other.memory_mb)
    return cores + memory + 1000 * abs(one.accelerators - other.accelerators)
