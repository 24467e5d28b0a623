"""Schema of the shared tree: what operators change while the fleet runs.

Fields are named like those of the limits that they feed, so that `fill` carries them over. Every
field has a default, so an empty tree is a usable one. Raise SCHEMA_VERSION with every change of
this file after which an older version could reach another verdict on a change.
"""

import dataclasses
from functools import cached_property
from itertools import pairwise
from typing import Annotated, Any, Final, Literal, TypeVar, cast

from pydantic import Field, StringConstraints, model_validator

from galenastall.state.ids import HostId, TeamPath
from galenastall.state.resources import Resources
from galenastall.state.settings_problems import SettingsModel
from galenastall.state.work import Urgency

SCHEMA_VERSION: Final = 2
MAX_AMOUNT: Final = 1_000_000_000_000
MAX_DURATION_S: Final = 30 * 86_400.0
PEER_CONFIRMATION_CAP_S: Final = 3.0
READ_CAP_S: Final = 3.0
FLIGHT_CAP_S: Final = 0.5
"""Claimants always wait by these caps, whatever the tree says. So each entry host may take over a
new value in its own time: one that still has another value stays within what claimants wait for."""
PERMIT_CAP_S: Final = 30.0
"""Longest permit; the next owner of an upstream waits by it, for the same reason."""
LEASE_CAP_S: Final = 30.0
"""Longest lease of a task; the next owner of a silent worker waits by it, for the same reason."""

Name = Annotated[str, StringConstraints(pattern=r"^[a-z0-9][a-z0-9_.-]{0,62}$")]
"""A key or name: no slash, since paths join keys by slashes."""
Seconds = Annotated[float, Field(gt=0, le=MAX_DURATION_S)]
Share = Annotated[float, Field(ge=0, le=1)]
Count = Annotated[int, Field(ge=1, le=10_000_000)]

D = TypeVar("D")


class ResourceAmount(SettingsModel):
    """An amount of each resource."""

    cores_milli: int = Field(default=0, ge=0, le=MAX_AMOUNT)
    memory_mb: int = Field(default=0, ge=0, le=MAX_AMOUNT)
    accelerators: int = Field(default=0, ge=0, le=MAX_AMOUNT)

    def to_resources(self) -> Resources:
        """Return it as the amount that the ledgers count in."""
        return Resources(
            cores_milli=self.cores_milli,
            memory_mb=self.memory_mb,
            accelerators=self.accelerators,
        )


class TeamRequests(SettingsModel):
    """Limits of a team's requests at each entry host."""

    rate_per_s: float | None = Field(default=None, gt=0)
    """Requests admitted a second; None for no limit."""
    burst: Count = 100
    waiting: Count = 500
    """Requests that may wait."""


class TeamSettings(SettingsModel):
    """One team and the teams below it; its owners may change all but weight, quota and owners."""

    weight: float = Field(default=1.0, gt=0, le=1000)
    """Share of contended room among its siblings."""
    quota: ResourceAmount | None = None
    """Most that its tasks may hold at once; None for no bound of its own."""
    requests: TeamRequests = Field(default_factory=TeamRequests)
    owners: tuple[str, ...] = ()
    """Authors who may change this subtree, besides those of the teams above and the operators."""
    teams: dict[Name, "TeamSettings"] = Field(default_factory=dict)

    @model_validator(mode="after")
    def _check_quotas(self) -> "TeamSettings":
        if self.quota is None or not self.teams:
            return self
        quota = self.quota.to_resources()
        for name, team in self.teams.items():
            if team.quota is not None and not team.quota.to_resources().fits_in(quota):
                raise ValueError(f"quota of team {name!r} must fit in that of the team above it")
        return self


class ClassSettings(SettingsModel):
    """One class of urgency."""

    policy: Name = "fair"
    """Order within the class, by the name that it has in its registry."""
    queue_bound: Count = 20_000
    """Tasks that may wait in one data centre."""
    starvation_s: Seconds = 600.0
    """Wait after which a task goes ahead of all but urgent ones."""


class ClassesSettings(SettingsModel):
    """The classes, by urgency."""

    urgent: ClassSettings = Field(default_factory=lambda: ClassSettings(policy="deadline"))
    normal: ClassSettings = Field(default_factory=ClassSettings)
    backfill: ClassSettings = Field(default_factory=lambda: ClassSettings(starvation_s=3600.0))

    def of(self, urgency: Urgency) -> ClassSettings:
        """Return the settings of a class."""
        return {
            Urgency.URGENT: self.urgent,
            Urgency.NORMAL: self.normal,
            Urgency.BACKFILL: self.backfill,
        }[urgency]


class PolicyNames(SettingsModel):
    """Placement policy by class of work; never one that overcommits, as there is none."""

    urgent: Name = "leftover"
    service: Name = "leftover"
    batch: Name = "leftover"
    gang: Name = "leftover"


class PlacementSection(SettingsModel):
    """How tasks are placed."""

    policies_by_class: PolicyNames = Field(default_factory=PolicyNames)
    queue_order: Literal["fair", "fifo"] = "fair"
    is_learning: bool = True
    """Whether reservations follow learned sizes where these are larger than declared."""
    learned_quantile: float = Field(default=0.95, ge=0.5, lt=1)
    """Quantile of measured peaks that a learned size stands for."""
    is_preempting: bool = True
    overdue_every: Count = 8
    """At least one of so many placements goes to a starving task."""
    start_settle_s: Seconds = 15.0
    gang_hold_s: Seconds = 10.0
    """Longest time for which capacity is held for a gang that isn't complete."""


class RetrySettings(SettingsModel):
    """How much may be tried again."""

    ratio: Share = 0.1
    """Retries allowed for each first attempt."""
    burst: float = Field(default=10.0, ge=0, le=10_000)
    max_attempts: int = Field(default=3, ge=1, le=10)


class EjectionSettings(SettingsModel):
    """When an upstream is taken out and for how long."""

    consecutive_failures: Count = 5
    latency_factor: float = Field(default=4.0, gt=1)
    """Mean latency over the median of all that ejects."""
    latency_samples: Count = 20
    latency_floor_s: Seconds = 0.05
    base_s: Seconds = 5.0
    """First ejection; doubles with each further one."""
    max_s: Seconds = 120.0
    max_share: Share = 0.3
    """Largest share of the upstreams that may be out at once."""
    reentry_s: Seconds = 10.0
    """Time over which an upstream that comes back is given its full share again."""

    @model_validator(mode="after")
    def _check_durations(self) -> "EjectionSettings":
        if self.base_s > self.max_s:
            raise ValueError("base_s must be at most max_s")
        return self


class PermitSettings(SettingsModel):
    """Spans of a permit to call an upstream."""

    ask_ttl_s: Seconds = 1.0
    begin_within_s: Seconds = 2.0
    longest_s: float = Field(default=PERMIT_CAP_S, gt=0, le=PERMIT_CAP_S)
    grace_s: Seconds = 1.0
    asks_per_client: Count = 256

    @model_validator(mode="after")
    def _check_durations(self) -> "PermitSettings":
        if not self.ask_ttl_s <= self.begin_within_s <= self.longest_s:
            raise ValueError("must be ask_ttl_s <= begin_within_s <= longest_s")
        return self


class QueueSettings(SettingsModel):
    """Bounds of an entry host's request queue."""

    waiting: Count = 1000
    waiting_per_team: Count = 500
    lower_class_every: Count = 20
    """Every n-th request handed out is of the lowest class waiting."""


class RequestsSection(SettingsModel):
    """How requests to upstreams are admitted, tried again and remembered."""

    retries: RetrySettings = Field(default_factory=RetrySettings)
    is_hedging: bool = False
    """Whether idempotent lookups may be sent to a second executor when the first is slow."""
    ejection: EjectionSettings = Field(default_factory=EjectionSettings)
    permits: PermitSettings = Field(default_factory=PermitSettings)
    queue: QueueSettings = Field(default_factory=QueueSettings)
    key_memory_s: Seconds = 86_400.0
    """How long idempotency keys are remembered; older ones are refused."""
    leaving_grace_s: float = Field(default=2.0, gt=0, le=3)
    """From the first word that an upstream is leaving to the last new request to it."""


class OwnershipSection(SettingsModel):
    """Timings of owners and leases."""

    read_s: float = Field(default=READ_CAP_S, ge=0.5, le=READ_CAP_S)
    """How long after sending a read of the log's tip its answer lets the sender act."""
    vouch_s: float = Field(default=PEER_CONFIRMATION_CAP_S, ge=0.5, le=PEER_CONFIRMATION_CAP_S)
    """How long after sending a beat its echo lets the sender act."""
    flight_s: float = Field(default=FLIGHT_CAP_S, ge=0.05, le=FLIGHT_CAP_S)
    """Longest time from the last check to a command's not-after time, skew included."""
    clock_rate_bound: float = Field(default=0.01, ge=0, lt=0.5)
    """Largest relative difference of a clock's rate from true time."""
    list_lag_s: Seconds = 30.0
    """A host that the platform's list has not shown for longer than this is dead for good."""
    lease_s: float = Field(default=LEASE_CAP_S, gt=0, le=LEASE_CAP_S)
    renew_s: Seconds = 10.0

    @model_validator(mode="after")
    def _check_leases(self) -> "OwnershipSection":
        if 2 * self.renew_s > self.lease_s:
            raise ValueError("lease_s must be at least twice renew_s, so that one renewal may fail")
        return self


class LogSection(SettingsModel):
    """How the platform's log is used."""

    append_budget_per_s: float = Field(default=150.0, ge=1, le=10_000)
    """Appends a second of the whole fleet."""
    gather_ms: float = Field(default=5.0, ge=0, le=1000)
    """Shortest wait for company before an append."""
    max_window_s: Seconds = 2.0
    """Time between two appends of a host beyond which an event says that the budget is short."""
    settle_s: Seconds = 30.0
    """An append takes effect within this time of its sending or never: a word of the platform."""
    retention_s: Seconds = 86_400.0
    """How long the log keeps records: a word of the platform."""
    snapshot_every_s: Seconds = 3600.0
    snapshot_every_records: Count = 500

    @model_validator(mode="after")
    def _check_snapshots(self) -> "LogSection":
        if 4 * self.snapshot_every_s > self.retention_s:
            raise ValueError("snapshot_every_s must be at most a quarter of retention_s")
        return self


class DataCentreSettings(SettingsModel):
    """One data centre."""

    region: Name = "default"


class KeyHomesSettings(SettingsModel):
    """The data centres that share the idempotency keys made from a moment on."""

    since: float = Field(ge=0)
    """Wall time in seconds since 1970; 0 in the first entry."""
    data_centres: tuple[Name, ...] = Field(min_length=1)

    @model_validator(mode="after")
    def _check_names(self) -> "KeyHomesSettings":
        if len(set(self.data_centres)) < len(self.data_centres):
            raise ValueError("data_centres must not name one twice")
        return self


class Departure(SettingsModel):
    """An upstream that leaves or a host that is drained."""

    why: str = Field(default="", max_length=200)


class SharedSettings(SettingsModel):
    """The root of the shared tree.

    Sets are mappings, so that two operators can add to one without a conflict.
    """

    operators: tuple[str, ...] = ()
    """Authors who may change everything; while empty, everyone may change what has no owner."""
    teams: dict[Name, TeamSettings] = Field(default_factory=dict)
    classes: ClassesSettings = Field(default_factory=ClassesSettings)
    placement: PlacementSection = Field(default_factory=PlacementSection)
    requests: RequestsSection = Field(default_factory=RequestsSection)
    ownership: OwnershipSection = Field(default_factory=OwnershipSection)
    log: LogSection = Field(default_factory=LogSection)
    leaving_upstreams: dict[Name, Departure] = Field(default_factory=dict)
    """Upstreams that get no new work, by host id."""
    drains: dict[Name, Departure] = Field(default_factory=dict)
    """Workers and entry hosts to empty, by host id."""
    data_centres: dict[Name, DataCentreSettings] = Field(default_factory=dict)
    key_homes: tuple[KeyHomesSettings, ...] = ()
    """History of the data centres that share the keys; empty: `data_centres`, for all keys."""

    @model_validator(mode="after")
    def _check_key_homes(self) -> "SharedSettings":
        sinces = [one.since for one in self.key_homes]
        if sinces and sinces[0] != 0:
            raise ValueError("key_homes: since must be 0 in the first entry")
        if any(later <= earlier for earlier, later in pairwise(sinces)):
            raise ValueError("key_homes: since must rise from entry to entry")
        return self

    @cached_property
    def teams_by_path(self) -> dict[TeamPath, TeamSettings]:
        """All teams by their path, for example `board/packs`."""
        found: dict[TeamPath, TeamSettings] = {}
        pending = [(name, team) for name, team in self.teams.items()]
        while pending:
            path, team = pending.pop()
            found[TeamPath(path)] = team
            pending.extend((f"{path}/{name}", below) for name, below in team.teams.items())
        return found

    @cached_property
    def leaving_upstream_ids(self) -> frozenset[HostId]:
        """Ids of the upstreams that get no new work."""
        return frozenset(HostId(name) for name in self.leaving_upstreams)

    @cached_property
    def drained_ids(self) -> frozenset[HostId]:
        """Ids of the hosts to empty."""
        return frozenset(HostId(name) for name in self.drains)


def build_from_section(kind: type[D], section: SettingsModel, **overrides: Any) -> D:
    """Return a data class with the fields that it shares with `section`, and `others`."""
    names = {field.name for field in dataclasses.fields(cast(Any, kind))}
    shared = names & set(type(section).model_fields)
    return kind(**{name: getattr(section, name) for name in shared}, **overrides)
