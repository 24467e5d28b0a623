"""What teams have reserved, and what their shares and quotas allow them."""

from collections.abc import Iterator, Mapping

from galenastall.coordination.placement.placement_settings import PlacementSettings
from galenastall.coordination.placement.waiting import TeamLine
from galenastall.state.ids import TeamPath
from galenastall.state.resources import NOTHING, Resources


class TeamLines:
    """The lines of all teams that were ever named, made when first asked for."""

    def __init__(self, *, settings: PlacementSettings) -> None:
        """Start without teams; their shares and quotas come from the settings."""
        self._settings = settings
        self._lines_by_team: dict[TeamPath, TeamLine] = {}

    def apply_settings(self, settings: PlacementSettings) -> None:
        """Use other weights and quotas from now on."""
        self._settings = settings
        for line in self:
            share = settings.teams_by_path.get(line.path, settings.default_share)
            line.weight = share.weight
            line.quota = share.quota

    def get(self, path: TeamPath) -> TeamLine:
        """Return a team's line, made with those of the teams above if it is new."""
        line = self._lines_by_team.get(path)
        if line is None:
            name_above, _, _ = path.rpartition("/")
            above = self.get(TeamPath(name_above)) if name_above else None
            share = self._settings.teams_by_path.get(path, self._settings.default_share)
            line = TeamLine(path=path, share=share, above=above)
            self._lines_by_team[path] = line
        return line

    def set_elsewhere(self, reserved_by_team: Mapping[TeamPath, Resources]) -> None:
        """Say what teams have reserved with other owners, for shares and quotas."""
        for path in reserved_by_team:
            self.get(path)
        for line in self:
            line.elsewhere = reserved_by_team.get(line.path, NOTHING)
            line.elsewhere_below = NOTHING
        for line in self:
            over: TeamLine | None = line
            while over is not None:
                over.elsewhere_below = over.elsewhere_below + line.elsewhere
                over = over.above

    def full_quota(self, team: TeamPath, amount: Resources) -> tuple[TeamPath, Resources] | None:
        """Return the team and the quota that leave no room for `amount` more, if any does."""
        line = self.get(team).find_full(amount)
        if line is None or line.quota is None:
            return None
        return line.path, line.quota

    def reserved_by_team(self) -> dict[TeamPath, Resources]:
        """Return what each team has reserved with this owner."""
        return {
            line.path: Resources(
                cores_milli=line.cores, memory_mb=line.memory, accelerators=line.accelerators
            )
            for line in self
            if line.cores or line.memory or line.accelerators
        }

    def __iter__(self) -> Iterator[TeamLine]:
        return iter(self._lines_by_team.values())


def with_below(line: TeamLine) -> Iterator[TeamLine]:
    """Yield a team's line and those of all teams below it."""
    yield line
    for below in line.below:
        yield from with_below(below)
