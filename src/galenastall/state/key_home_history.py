"""History of which data centres share the idempotency keys: it may only grow.

A key's home follows from the list that was in force when the key was made. If a change altered that
list afterwards, the key would be looked up elsewhere than where it was decided, and its request
could run twice.
"""

from typing import Final

from galenastall.state.ids import DataCentre
from galenastall.state.shared_settings import SharedSettings

LEAD_TIME_S: Final = 7200.0
"""Seconds between a change and the first key that it concerns.

A data centre that is cut off for longer than this could go by an outdated list.
"""
HISTORY_SCHEMA: Final = 2
"""Changes of older schemas were judged without this rule, and must be judged so again."""

Homes = tuple[tuple[float, tuple[DataCentre, ...]], ...]


def key_homes_of(settings: SharedSettings) -> Homes:
    """Return the lists with the wall time from which each is in force.

    Without a history, the data centres of the tree are the one list; empty if there are none.
    """
    if settings.key_homes:
        return tuple(
            (one.since, tuple(sorted(map(DataCentre, one.data_centres))))
            for one in settings.key_homes
        )
    names = tuple(DataCentre(name) for name in sorted(settings.data_centres))
    return ((0.0, names),) if names else ()


def find_moved_keys(*, before: SharedSettings, after: SharedSettings) -> str | None:
    """Return why a change would move keys that may exist already, or None."""
    old, new = key_homes_of(before), key_homes_of(after)
    if new[: len(old)] == old:
        return None
    return (
        "key_homes: must keep what it holds, as idempotency keys would move otherwise; to change"
        " data_centres, first set key_homes to one entry since 0 with today's data centres, then"
        f" append one whose since lies at least {LEAD_TIME_S:.0f} s ahead"
    )


def find_early_homes(*, before: SharedSettings, after: SharedSettings, now: float) -> str | None:
    """Return why a new list would be in force before every data centre knows of it, or None."""
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
