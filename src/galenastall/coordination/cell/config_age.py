"""Decides whether a call was admitted by an outdated configuration version; pure.

Guards against this failure: keys are revoked, one by one or all of a workspace at once, while some
hosts cannot read the configuration. Each call passes through the leader, which the store confirms,
so the leader's version decides, and a host with an older version reads again before it continues.
Alternatives are worse: a host that stops serving once its version is old rejects all valid callers
in each outage, and one that continues serves revoked keys.
"""

from typing import Final

OUTDATED_AFTER_S: Final = 1.0
"""Hosts normally read a new version within milliseconds; those that have not after this time cannot
reach the configuration."""
UNKNOWN_VERSION: Final = 0
"""Version of a call whose sender does not state one."""


def is_outdated(*, version: int, own_version: int, held_for_s: float) -> bool:
    """Return whether a call admitted by `version` must be checked again.

    `held_for_s` is how long the receiving host has had its own version.
    """
    if version in {UNKNOWN_VERSION, own_version}:
        return False
    return version < own_version and held_for_s >= OUTDATED_AFTER_S
