"""Schema of the shared tree: the settings that operators change while the fleet runs.

Fields have the names of the limits that they set, so that `build_from_section` can copy them. Every
field has a default, so an empty tree is valid. Raise SCHEMA_VERSION with every change of this file
after which an older version could reach another verdict on a change.
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
"""Claimants always wait as long as these caps require, whatever the tree says. So entry hosts may
apply a new value at different times: one with another value still stays within that wait."""
PERMIT_CAP_S: Final = 30.0
"""Longest permit; the next owner of an upstream waits this long, for the same reason."""
LEASE_CAP_S: Final = 30.0
"""Longest task lease; the next owner of an unresponsive worker waits this long, likewise."""

Name = Annotated[str, StringConstraints(pattern=r"^[a-z0-9][a-z0-9_.-]{0,62}$")]
"""A key or name; without slashes, since paths join keys by slashes."""
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
        """Return it as the type that the ledgers use."""
        return Resources(
            cores_milli=self.cores_milli,
            memory_mb=self.memory_mb,
            accelerators=self.accelerators,
        )


class TeamRequests(SettingsModel):
    """Limits of a team's requests at each entry host."""

    rate_per_s: float | None = Field(default=None, gt=0)
    """Requests admitted per second; None for no limit."""
    burst: Count = 100
    waiting: Count = 500
    """Requests that may wait."""


class TeamSettings(SettingsModel):
    """One team and the teams below it; its owners may change all but weight, quota and owners."""

    weight: float = Field(default=1.0, gt=0, le=1000)
    """Share of contended capacity relative to its siblings."""
    quota: ResourceAmount | None = None
    """Maximum that its tasks may hold at once; None for no bound of its own."""
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
                raise ValueError(f"quota of team {name!r} must fit into that of its parent team")
        return self


class ClassSettings(SettingsModel):
    """Settings of one urgency class."""

    policy: Name = "fair"
    """Order within the class, as a name in the policy registry."""
    queue_bound: Count = 20_000
    """Maximum of waiting tasks in one data centre."""
    starvation_s: Seconds = 600.0
    """Waiting time after which a task precedes all but urgent ones."""


class ClassesSettings(SettingsModel):
    """The settings of each urgency class."""

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
    """Placement policy by class of work; no policy overcommits."""

    urgent: Name = "leftover"
    service: Name = "leftover"
    batch: Name = "leftover"
    gang: Name = "leftover"


class PlacementSection(SettingsModel):
    """How tasks are placed."""

    policies_by_class: PolicyNames = Field(default_factory=PolicyNames)
    queue_order: Literal["fair", "fifo"] = "fair"
    is_learning: bool = True
    """Whether reservations use learned sizes where these are larger than declared."""
    learned_quantile: float = Field(default=0.95, ge=0.5, lt=1)
    """Quantile of the measured peaks that is used as the learned size."""
    is_preempting: bool = True
    overdue_every: Count = 8
    """At least one of this many placements goes to a starving task."""
    start_settle_s: Seconds = 15.0
    gang_hold_s: Seconds = 10.0
    """Longest time for which capacity is held for an incomplete gang."""


class RetrySettings(SettingsModel):
    """Retry budget."""

    ratio: Share = 0.1
    """Retries allowed per first attempt."""
    burst: float = Field(default=10.0, ge=0, le=10_000)
    max_attempts: int = Field(default=3, ge=1, le=10)


class EjectionSettings(SettingsModel):
    """When an upstream is ejected and for how long."""

    consecutive_failures: Count = 5
    latency_factor: float = Field(default=4.0, gt=1)
    """An upstream is ejected if its mean latency exceeds this multiple of the median of all."""
    latency_samples: Count = 20
    latency_floor_s: Seconds = 0.05
    base_s: Seconds = 5.0
    """Duration of the first ejection; doubles with each further one."""
    max_s: Seconds = 120.0
    max_share: Share = 0.3
    """Largest share of the upstreams that may be ejected at once."""
    reentry_s: Seconds = 10.0
    """Time over which a returning upstream is ramped up to its full share."""

    @model_validator(mode="after")
    def _check_durations(self) -> "EjectionSettings":
        if self.base_s > self.max_s:
            raise ValueError("base_s must be at most max_s")
        return self


class PermitSettings(SettingsModel):
    """Time limits of a permit to call an upstream."""

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
    """Every n-th dispatched request is of the lowest waiting class."""


class RequestsSection(SettingsModel):
    """Admission, retries and idempotency keys of requests to upstreams."""

    retries: RetrySettings = Field(default_factory=RetrySettings)
    is_hedging: bool = False
    """Whether idempotent lookups may be sent to a second executor when the first is slow."""
    ejection: EjectionSettings = Field(default_factory=EjectionSettings)
    permits: PermitSettings = Field(default_factory=PermitSettings)
    queue: QueueSettings = Field(default_factory=QueueSettings)
    key_memory_s: Seconds = 86_400.0
    """How long idempotency keys are kept; older ones are rejected."""
    leaving_grace_s: float = Field(default=2.0, gt=0, le=3)
    """Time from the first report that an upstream is leaving to the last new request to it."""


class OwnershipSection(SettingsModel):
    """Timings of owners and leases."""

    read_s: float = Field(default=READ_CAP_S, ge=0.5, le=READ_CAP_S)
    """How long after sending a read of the log's end its answer lets the sender act."""
    vouch_s: float = Field(default=PEER_CONFIRMATION_CAP_S, ge=0.5, le=PEER_CONFIRMATION_CAP_S)
    """How long after sending a heartbeat its echo lets the sender act."""
    flight_s: float = Field(default=FLIGHT_CAP_S, ge=0.05, le=FLIGHT_CAP_S)
    """Longest time from the last ownership check to a command's not-after time, skew included."""
    clock_rate_bound: float = Field(default=0.01, ge=0, lt=0.5)
    """Largest relative difference of a clock's rate from true time."""
    list_lag_s: Seconds = 30.0
    """A host missing from the platform's list for longer than this is permanently dead."""
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
    """Appends per second of the whole fleet."""
    gather_ms: float = Field(default=5.0, ge=0, le=1000)
    """Shortest time for which an append waits for further records to batch."""
    max_window_s: Seconds = 2.0
    """Interval between two appends of a host above which an event reports a short budget."""
    settle_s: Seconds = 30.0
    """The platform guarantees that an append takes effect this soon after sending or never."""
    retention_s: Seconds = 86_400.0
    """How long the platform guarantees that the log keeps records."""
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
    """The data centres that share the idempotency keys made from a given time on."""

    since: float = Field(ge=0)
    """Wall time in seconds since 1970; 0 in the first entry."""
    data_centres: tuple[Name, ...] = Field(min_length=1)

    @model_validator(mode="after")
    def _check_names(self) -> "KeyHomesSettings":
        if len(set(self.data_centres)) < len(self.data_centres):
            raise ValueError("data_centres must not name one twice")
        return self


class Departure(SettingsModel):
    """An upstream that is leaving or a host that is drained."""

    why: str = Field(default="", max_length=200)


class SharedSettings(SettingsModel):
    """The root of the shared tree.

    Sets are stored as mappings, so that two operators can add members without a conflict.
    """

    operators: tuple[str, ...] = ()
    """Authors who may change everything; while empty, anyone may change what has no owner."""
    teams: dict[Name, TeamSettings] = Field(default_factory=dict)
    classes: ClassesSettings = Field(default_factory=ClassesSettings)
    placement: PlacementSection = Field(default_factory=PlacementSection)
    requests: RequestsSection = Field(default_factory=RequestsSection)
    ownership: OwnershipSection = Field(default_factory=OwnershipSection)
    log: LogSection = Field(default_factory=LogSection)
    leaving_upstreams: dict[Name, Departure] = Field(default_factory=dict)
    """Upstreams that get no new work, by host id."""
    drains: dict[Name, Departure] = Field(default_factory=dict)
    """Workers and entry hosts to drain, by host id."""
    data_centres: dict[Name, DataCentreSettings] = Field(default_factory=dict)
    key_homes: tuple[KeyHomesSettings, ...] = ()
    """History of the data centres that share the keys; if empty, `data_centres` for all keys."""

    @model_validator(mode="after")
    def _check_key_homes(self) -> "SharedSettings":
        sinces = [one.since for one in self.key_homes]
        if sinces and sinces[0] != 0:
            raise ValueError("key_homes: since must be 0 in the first entry")
        if any(later <= earlier for earlier, later in pairwise(sinces)):
            raise ValueError("key_homes: since must increase from entry to entry")
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
        """Ids of the hosts to drain."""
        return frozenset(HostId(name) for name in self.drains)


def build_from_section(kind: type[D], section: SettingsModel, **overrides: Any) -> D:
    """Return a data class with the fields that it shares with `section`, and `overrides`."""
    names = {field.name for field in dataclasses.fields(cast(Any, kind))}
    shared = names & set(type(section).model_fields)
    return kind(**{name: getattr(section, name) for name in shared}, **overrides)
