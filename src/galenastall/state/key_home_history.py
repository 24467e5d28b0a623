"""Append-only history of the data centres that share the idempotency keys.

A key's home is computed from the list in force when the key was made. If that list were changed
afterwards, the key would be looked up in another data centre than the one that recorded it, and its
request could run twice.
"""

from typing import Final

from galenastall.state.ids import DataCentre
from galenastall.state.shared_settings import SharedSettings

LEAD_TIME_S: Final = 7200.0
"""Minimum seconds between a change and the first key that it affects.

A data centre that is isolated for longer than this could use an outdated list.
"""
HISTORY_SCHEMA: Final = 2
"""First schema with this rule; changes of older ones must be evaluated without it on replay."""

Homes = tuple[tuple[float, tuple[DataCentre, ...]], ...]


def key_homes_of(settings: SharedSettings) -> Homes:
    """Return each list with the wall time from which it is in force.

    Without a history, the tree's data centres form the only list; empty if there are none.
    """
    if settings.key_homes:
        return tuple(
            (one.since, tuple(sorted(map(DataCentre, one.data_centres))))
            for one in settings.key_homes
        )
    names = tuple(DataCentre(name) for name in sorted(settings.data_centres))
    return ((0.0, names),) if names else ()


def find_moved_keys(*, before: SharedSettings, after: SharedSettings) -> str | None:
    """Return why a change would move keys that may already exist, or None."""
    old, new = key_homes_of(before), key_homes_of(after)
    if new[: len(old)] == old:
        return None
    return (
        "key_homes: existing entries must stay, or idempotency keys would move; to change"
        " data_centres, first set key_homes to one entry since 0 with the current ones, then"
        f" append one whose since is at least {LEAD_TIME_S:.0f} s ahead"
    )


def find_early_homes(*, before: SharedSettings, after: SharedSettings, now: float) -> str | None:
    """Return why a new list would be in force before every data centre has it, or None."""
    old, new = key_homes_of(before), key_homes_of(after)
    if not old:
        return None
    for since, names in new[len(old) :]:
        if since < now + LEAD_TIME_S:
            return f"key_homes.since: {since}; allowed: at least {now + LEAD_TIME_S:.0f}"
        unknown = sorted(set(names) - set(after.data_centres))
        if unknown:
            return f"key_homes.data_centres: {unknown[0]!r} is not under data_centres"
    return None
