"""By whose version of the configuration a call is served; pure.

Answers this load: keys are taken away, one after the other or all of a workspace's at once, while
some hosts can't read the configuration. Each call passes through the leader, whom the store
confirms, so its version decides, and a host that is behind reads anew before it goes on. The other
ways refuse callers who are in the right: a host that stops serving once its version is old turns
away all of them in each outage, and one that goes on serves keys that are gone.
"""

from typing import Final

OUTDATED_AFTER_S: Final = 1.0
"""Hosts read a version within some milliseconds; those that have not by then don't reach it."""
UNKNOWN_VERSION: Final = 0
"""What a host says that does not tell its version."""


def is_outdated(*, version: int, own_version: int, held_for_s: float) -> bool:
    """Whether a call let in by `version` must be looked at anew.

    `own_for_s` is for how long the host that is asked has had its own version.
    """
    if version in {UNKNOWN_VERSION, own_version}:
        return False
    return version < own_version and held_for_s >= OUTDATED_AFTER_S
