"""Maps the shared settings to the settings of each component."""

from collections.abc import Iterator
from dataclasses import replace
from typing import Final

from galenastall.coordination.log.append_window import WindowLimits
from galenastall.coordination.ownership.ownership_timings import OwnershipTimings
from galenastall.coordination.placement.placement_commands import TeamShare
from galenastall.coordination.placement.placement_settings import DEFAULT_POLICY, PlacementSettings
from galenastall.coordination.placement.policies import PLACEMENT_POLICIES
from galenastall.coordination.requests.admission import AdmissionLimits
from galenastall.coordination.requests.ejection import EjectionLimits
from galenastall.coordination.requests.keys import KeyHomes, KeyRules
from galenastall.coordination.requests.permit_types import PermitLimits
from galenastall.coordination.requests.retries import RetryLimits
from galenastall.coordination.requests.team_rates import TeamRate
from galenastall.node.placement.worker_timings import WorkerTimings
from galenastall.node.requests.permit_settings import RequestSettings
from galenastall.protocol.process_settings import MemoryLimits
from galenastall.state.key_home_history import key_homes_of
from galenastall.state.shared_settings import (
    LEASE_CAP_S,
    PERMIT_CAP_S,
    SharedSettings,
    TeamSettings,
    build_from_section,
)
from galenastall.state.work import JobSpec, Urgency

MILLISECONDS_PER_S: Final = 1000.0
BYTES_PER_KB: Final = 1024
SKEW_SHARE: Final = 0.2
"""Share of ownership's `flight_s` reserved for the clock skew between this host and a worker."""
NO_EFFECT: Final = (
    "classes.*.queue_bound",
    "classes.urgent.starvation_s",
    "requests.leaving_grace_s",
    "data_centres.*.region",
)
"""Settings that this version stores and validates, but does not act on."""


def make_ownership_timings(shared: SharedSettings) -> OwnershipTimings:
    """Return the timings of owners, members and claimants."""
    return build_from_section(OwnershipTimings, shared.ownership)


def make_worker_timings(shared: SharedSettings) -> WorkerTimings:
    """Return the timings of leases and worker calls."""
    section = shared.ownership
    return WorkerTimings(
        lease_s=section.lease_s,
        longest_lease_s=LEASE_CAP_S,
        renew_every_s=section.renew_s,
        flight_s=section.flight_s * (1.0 - SKEW_SHARE),
        start_settle_s=shared.placement.start_settle_s,
    )


def make_window_limits(shared: SharedSettings) -> WindowLimits:
    """Return the bounds of group commit."""
    return WindowLimits(
        budget_per_s=shared.log.append_budget_per_s,
        gather_s=shared.log.gather_ms / MILLISECONDS_PER_S,
        max_window_s=shared.log.max_window_s,
    )


def make_placement_settings(shared: SharedSettings) -> PlacementSettings:
    """Return the settings of the placement core."""
    shares_by_path = {path: _share(team) for path, team in shared.teams_by_path.items()}
    return replace(
        build_from_section(PlacementSettings, shared.placement),
        policies_by_class=_known_policies(shared),
        teams_by_path=shares_by_path,
        starvation_s=shared.classes.normal.starvation_s,
        backfill_starvation_s=shared.classes.backfill.starvation_s,
        gang_promise_s=shared.placement.gang_hold_s,
    )


def make_request_settings(shared: SharedSettings, memory: MemoryLimits) -> RequestSettings:
    """Return the settings of the request path, within the memory limits of this process."""
    requests = shared.requests
    queue = requests.queue
    teams = shared.teams_by_path
    buffer_bytes = memory.body_buffer_kb * BYTES_PER_KB
    return RequestSettings(
        admission=AdmissionLimits(
            waiting=min(queue.waiting, memory.waiting_requests),
            waiting_per_team=queue.waiting_per_team,
            waiting_by_team={
                path: min(team.requests.waiting, queue.waiting_per_team)
                for path, team in teams.items()
            },
            lower_class_every=queue.lower_class_every,
        ),
        permits=build_from_section(PermitLimits, requests.permits, longest_cap_s=PERMIT_CAP_S),
        retries=build_from_section(RetryLimits, requests.retries),
        ejection=build_from_section(EjectionLimits, requests.ejection),
        keys=KeyRules(memory_s=requests.key_memory_s),
        key_homes=tuple(
            KeyHomes(since=since, data_centres=names) for since, names in key_homes_of(shared)
        ),
        weights_by_team={path: team.weight for path, team in teams.items()},
        teams=frozenset(teams),
        rates_by_team={
            path: TeamRate(per_s=team.requests.rate_per_s, burst=team.requests.burst)
            for path, team in teams.items()
            if team.requests.rate_per_s is not None
        },
        leaving=shared.leaving_upstream_ids,
        whole_answer_bytes=buffer_bytes,
        replay_bytes=buffer_bytes,
    )


def find_problem(shared: SharedSettings) -> str | None:
    """Return the first setting that this version can't apply, or None.

    A change is refused rather than accepted without effect.
    """
    return next(_problems(shared), None)


def _problems(shared: SharedSettings) -> Iterator[str]:
    for field, name in shared.placement.policies_by_class.model_dump().items():
        if name not in PLACEMENT_POLICIES:
            allowed = ", ".join(PLACEMENT_POLICIES.names())
            yield f"placement.policies_by_class.{field}: {name!r}; allowed: {allowed}"
    defaults = SharedSettings()
    for urgency in Urgency:
        policy, allowed = shared.classes.of(urgency).policy, defaults.classes.of(urgency).policy
        if policy != allowed:
            yield f"classes.{urgency.name.lower()}.policy: {policy!r}; allowed: {allowed}"
    if shared.placement.queue_order != defaults.placement.queue_order:
        order = shared.placement.queue_order
        yield f"placement.queue_order: {order!r} can't be put in force while running; allowed: fair"
    if shared.requests.is_hedging:
        yield "requests.is_hedging: true is not supported by this version; allowed: false"


def find_team_problem(shared: SharedSettings, spec: JobSpec) -> str | None:
    """Return why the settings refuse a job, or None; without any teams, every team may submit."""
    if shared.teams and spec.team not in shared.teams_by_path:
        known = ", ".join(sorted(shared.teams_by_path))
        return f"team: {spec.team!r} is not in the shared settings; allowed: {known}"
    return None


def _known_policies(shared: SharedSettings) -> dict[str, str]:
    """Return the policies; the default replaces one that only a newer version knows."""
    names_by_class: dict[str, str] = shared.placement.policies_by_class.model_dump()
    return {
        name: policy if policy in PLACEMENT_POLICIES else DEFAULT_POLICY
        for name, policy in names_by_class.items()
    }


def _share(team: TeamSettings) -> TeamShare:
    quota = None if team.quota is None else team.quota.to_resources()
    return TeamShare(weight=team.weight, quota=quota)
