"""Who may change what in the shared tree.

The caller names the author; the operators' HTTP API authenticates that name (client certificates).
The checks here keep teams from changing each other's settings.
"""

from collections.abc import Iterator

from galenastall.state.settings_paths import split_path
from galenastall.state.shared_settings import SharedSettings, TeamSettings

_TEAMS = "teams"


def find_denial_reason(
    *, before: SharedSettings, after: SharedSettings, path: str, author: str
) -> str | None:
    """Return why `author` may not make this change, None if it is allowed.

    Operators may change everything. An owner of a team may change the team and those below it, but
    not the team's own weight, quota and owners, which are granted by the team above or an operator.
    """
    if author in before.operators:
        return None
    chain = tuple(_teams_on(before, split_path(path)))
    owned = next((found for found in chain if author in found[1].owners), None)
    if owned is not None:
        return _grant_denial_reason(after, owned)
    if before.operators or any(team.owners for _, team in chain):
        return f"{author!r} is neither an operator nor an owner of {path or 'the root'!r}"
    return None


def _grant_denial_reason(after: SharedSettings, owned: tuple[str, TeamSettings]) -> str | None:
    path, was = owned
    now = dict(_teams_on(after, split_path(path))).get(path)
    if now is None:
        return f"an owner can't remove {path!r}"
    if (now.weight, now.quota, now.owners) != (was.weight, was.quota, was.owners):
        return f"weight, quota and owners of {path!r} are granted from above"
    return None


def _teams_on(
    settings: SharedSettings, keys: tuple[str, ...]
) -> Iterator[tuple[str, TeamSettings]]:
    """Yield path and settings of each team along `keys`, topmost first."""
    teams = settings.teams
    for index in range(0, len(keys) - 1, 2):
        if keys[index] != _TEAMS or keys[index + 1] not in teams:
            return
        team = teams[keys[index + 1]]
        yield "/".join(keys[: index + 2]), team
        teams = team.teams
