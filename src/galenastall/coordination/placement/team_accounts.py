"""Reserved amounts, shares and quotas of the teams."""

from collections.abc import Iterator, Mapping

from galenastall.coordination.placement.placement_settings import PlacementSettings
from galenastall.coordination.placement.waiting import TeamAccount
from galenastall.state.ids import TeamPath
from galenastall.state.resources import NOTHING, Resources


class TeamAccounts:
    """The accounts of all teams, each created when the team is first named."""

    def __init__(self, *, settings: PlacementSettings) -> None:
        """Start without teams; their shares and quotas come from the settings."""
        self._settings = settings
        self._accounts_by_team: dict[TeamPath, TeamAccount] = {}

    def apply_settings(self, settings: PlacementSettings) -> None:
        """Use other weights and quotas from now on."""
        self._settings = settings
        for account in self:
            share = settings.teams_by_path.get(account.path, settings.default_share)
            account.weight = share.weight
            account.quota = share.quota

    def get(self, path: TeamPath) -> TeamAccount:
        """Return a team's account; create it and those of its ancestors if missing."""
        account = self._accounts_by_team.get(path)
        if account is None:
            parent_path, _, _ = path.rpartition("/")
            parent = self.get(TeamPath(parent_path)) if parent_path else None
            share = self._settings.teams_by_path.get(path, self._settings.default_share)
            account = TeamAccount(path=path, share=share, parent=parent)
            self._accounts_by_team[path] = account
        return account

    def set_elsewhere(self, reserved_by_team: Mapping[TeamPath, Resources]) -> None:
        """Set what teams have reserved with other owners, for shares and quotas."""
        for path in reserved_by_team:
            self.get(path)
        for account in self:
            account.elsewhere = reserved_by_team.get(account.path, NOTHING)
            account.elsewhere_total = NOTHING
        for account in self:
            ancestor: TeamAccount | None = account
            while ancestor is not None:
                ancestor.elsewhere_total = ancestor.elsewhere_total + account.elsewhere
                ancestor = ancestor.parent

    def exceeded_quota(
        self, team: TeamPath, amount: Resources
    ) -> tuple[TeamPath, Resources] | None:
        """Return the team and quota that `amount` more would exceed, if any."""
        account = self.get(team).find_exceeded(amount)
        if account is None or account.quota is None:
            return None
        return account.path, account.quota

    def reserved_by_team(self) -> dict[TeamPath, Resources]:
        """Return what each team has reserved with this owner."""
        return {
            account.path: Resources(
                cores_milli=account.cores,
                memory_mb=account.memory,
                accelerators=account.accelerators,
            )
            for account in self
            if account.cores or account.memory or account.accelerators
        }

    def __iter__(self) -> Iterator[TeamAccount]:
        return iter(self._accounts_by_team.values())


def with_descendants(account: TeamAccount) -> Iterator[TeamAccount]:
    """Yield a team's account and those of all teams below it."""
    yield account
    for children in account.children:
        yield from with_descendants(children)
