"""Refuse requests of unknown teams and of teams over their rate before any other processing."""

from collections.abc import Callable

from galenastall.coordination.requests.team_rates import TeamRates
from galenastall.node.requests.permit_settings import RequestSettings
from galenastall.node.requests.request_types import RequestAnswer, RequestReason
from galenastall.protocol.clock import Clock
from galenastall.state.ids import RequestId, TeamPath
from galenastall.state.outcomes import Outcome


class TeamGate:
    """Enforces the shared settings' list of teams and rate limits on this entry host."""

    def __init__(self, *, clock: Clock, settings: Callable[[], RequestSettings]) -> None:
        """Start with full buckets."""
        self._clock = clock
        self._settings = settings
        self._rates = TeamRates()

    def check(self, *, team: TeamPath, request_id: RequestId) -> RequestAnswer | None:
        """Count a request; return the refusal if it must not run, else None."""
        settings = self._settings()
        if settings.teams and team not in settings.teams:
            detail = f"team {team!r} is not in the shared settings"
            return _not_run(request_id, RequestReason.UNKNOWN_TEAM, detail)
        if not settings.rates_by_team:
            return None
        wait_s = self._rates.take(
            team=team, rates_by_team=settings.rates_by_team, now=self._clock.now()
        )
        if wait_s <= 0.0:
            return None
        detail = f"team {team!r} exceeds the request rate in its settings"
        return _not_run(request_id, RequestReason.TEAM_RATE, detail, retry_after_s=wait_s)


def _not_run(
    request_id: RequestId,
    reason: RequestReason,
    detail: str,
    *,
    retry_after_s: float | None = None,
) -> RequestAnswer:
    return RequestAnswer(
        request_id=request_id,
        outcome=Outcome.NOT_RUN,
        reason=reason,
        detail=detail,
        retry_after_s=retry_after_s,
    )
