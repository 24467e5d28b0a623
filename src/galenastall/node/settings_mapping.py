"""From the shared tree to the settings that each matter takes."""

from dataclasses import replace

from galenastall.coordination.admission import AdmissionLimits
from galenastall.coordination.append_window import WindowLimits
from galenastall.coordination.ejection import EjectionLimits
from galenastall.coordination.keys import KeyHomes, KeyRules
from galenastall.coordination.ownership_timings import OwnershipTimings
from galenastall.coordination.permit_types import PermitLimits
from galenastall.coordination.placement_commands import TeamShare
from galenastall.coordination.placement_settings import PlacementSettings
from galenastall.coordination.policies import PLACEMENT_POLICIES
from galenastall.coordination.retries import RetryLimits
from galenastall.node.permit_settings import RequestSettings
from galenastall.node.worker_timings import WorkerTimings
from galenastall.state.ids import DataCentre
from galenastall.state.shared_settings import SharedSettings, TeamSettings, fill
from galenastall.state.work import JobSpec

MILLISECONDS_PER_S = 1000.0


def make_ownership_timings(shared: SharedSettings) -> OwnershipTimings:
    """Return the timings that owners, members and claimants go by."""
    return fill(OwnershipTimings, shared.ownership)


def make_worker_timings(shared: SharedSettings) -> WorkerTimings:
    """Return the timings of leases and worker calls."""
    return fill(WorkerTimings, shared.ownership, renew_every_s=shared.ownership.renew_s)


def make_window_limits(shared: SharedSettings) -> WindowLimits:
    """Return the bounds of group commit."""
    return WindowLimits(
        budget_per_s=shared.log.append_budget_per_s,
        gather_s=shared.log.gather_ms / MILLISECONDS_PER_S,
    )


def make_placement_settings(shared: SharedSettings) -> PlacementSettings:
    """Return what the placement core goes by."""
    shares_by_path = {path: _share(team) for path, team in shared.teams_by_path.items()}
    return replace(
        fill(PlacementSettings, shared.placement),
        policies_by_class=shared.placement.policies_by_class.model_dump(),
        teams_by_path=shares_by_path,
        starvation_s=shared.classes.normal.starvation_s,
        backfill_starvation_s=shared.classes.backfill.starvation_s,
        gang_promise_s=shared.placement.gang_hold_s,
    )


def make_request_settings(shared: SharedSettings) -> RequestSettings:
    """Return what the request path goes by."""
    requests = shared.requests
    data_centres = tuple(DataCentre(name) for name in sorted(shared.data_centres))
    return RequestSettings(
        admission=fill(AdmissionLimits, requests.queue),
        permits=fill(PermitLimits, requests.permits),
        retries=fill(RetryLimits, requests.retries),
        ejection=fill(EjectionLimits, requests.ejection),
        keys=KeyRules(memory_s=requests.key_memory_s),
        key_homes=(KeyHomes(since=0.0, data_centres=data_centres),) if data_centres else (),
        weights_by_team={path: team.weight for path, team in shared.teams_by_path.items()},
        leaving=shared.leaving_upstream_ids,
    )


def find_unknown_name(shared: SharedSettings) -> str | None:
    """Return which policy of the tree no registry holds, or None."""
    for field, name in shared.placement.policies_by_class.model_dump().items():
        if name not in PLACEMENT_POLICIES:
            allowed = ", ".join(PLACEMENT_POLICIES.names())
            return f"placement.policies_by_class.{field}: {name!r}; allowed: {allowed}"
    return None


def find_team_problem(shared: SharedSettings, spec: JobSpec) -> str | None:
    """Return why the tree refuses a job, or None; without any teams, every team may submit."""
    if shared.teams and spec.team not in shared.teams_by_path:
        known = ", ".join(sorted(shared.teams_by_path))
        return f"team: {spec.team!r} is not in the shared settings; allowed: {known}"
    return None


def _share(team: TeamSettings) -> TeamShare:
    quota = None if team.quota is None else team.quota.to_resources()
    return TeamShare(weight=team.weight, quota=quota)
