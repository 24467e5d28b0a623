"""Settings file of a stand-in process: fleet sizes, seed, ports and initial fault settings."""

from collections.abc import Iterator
from pathlib import Path
from typing import Annotated, Literal

from pydantic import Field
from returns.result import Result

from galenastall.protocol.addresses import BindAddress, ReachableAddress
from galenastall.protocol.process_settings import Name
from galenastall.protocol.yaml_files import load_yaml
from galenastall.standin.executor import DEFAULT_CONNECTIONS, DEFAULT_SLOTS
from galenastall.standin.faults import (
    BeyondSlots,
    ExecutorFaults,
    HostListFaults,
    LogFaults,
    WorkerFaults,
)
from galenastall.standin.fleet import FleetShape
from galenastall.standin.service_time import ServiceTime
from galenastall.state.hosts import HostKind, ListedHost
from galenastall.state.ids import DataCentre, HostId
from galenastall.state.resources import Resources
from galenastall.state.settings_problems import SettingsModel, SettingsProblems, check_tree

MB_PER_GB = 1024
MILLI_PER_CORE = 1000

Count = Annotated[int, Field(ge=0, le=5000)]


class WorkerSettings(SettingsModel):
    """Size of each worker and its initial fault settings."""

    count: Count = 24
    cores: int = Field(default=64, ge=1)
    memory_gb: int = Field(default=128, ge=1)
    accelerators: int = Field(default=0, ge=0)
    compares_epochs: bool = False
    usage_lag_seconds: float = Field(default=5.0, ge=0)

    def capacity(self) -> Resources:
        """Return the capacity of one worker."""
        return Resources(
            cores_milli=self.cores * MILLI_PER_CORE,
            memory_mb=self.memory_gb * MB_PER_GB,
            accelerators=self.accelerators,
        )

    def faults(self) -> WorkerFaults:
        """Return the initial fault settings of each worker."""
        return WorkerFaults(
            compares_epochs=self.compares_epochs, usage_lag_s=self.usage_lag_seconds
        )


class ServiceTimeSettings(SettingsModel):
    """Service times of executors."""

    distribution: Literal["fixed", "exponential", "lognormal"] = "fixed"
    mean_ms: float = Field(default=20.0, ge=0)
    sigma: float = Field(default=1.0, ge=0)
    """Spread of the lognormal distribution."""


class ExecutorSettings(SettingsModel):
    """Size of each executor and its initial fault settings."""

    count: Count = 24
    slots: int = Field(default=DEFAULT_SLOTS, ge=1)
    connections: int = Field(default=DEFAULT_CONNECTIONS, ge=1)
    beyond_slots: Literal["queue", "refuse"] = "queue"
    answer_bytes: int = Field(default=256, ge=0)
    service_time: ServiceTimeSettings = Field(default_factory=ServiceTimeSettings)

    def faults(self) -> ExecutorFaults:
        """Return the initial fault settings of each executor."""
        service = self.service_time
        return ExecutorFaults(
            beyond_slots=BeyondSlots(self.beyond_slots),
            answer_bytes=self.answer_bytes,
            service=ServiceTime(
                distribution=service.distribution,
                mean_s=service.mean_ms / 1000,
                sigma=service.sigma,
            ),
        )


class LogSettings(SettingsModel):
    """Initial fault settings of the log."""

    appends_per_second: float = Field(default=500.0, gt=0)
    keep_records: int | None = Field(default=None, ge=1)
    keep_seconds: float | None = Field(default=None, gt=0)

    def faults(self) -> LogFaults:
        """Return the log's initial fault settings."""
        return LogFaults(
            appends_per_s=self.appends_per_second,
            keep_records=self.keep_records,
            keep_s=self.keep_seconds,
        )


class EntryHostSettings(SettingsModel):
    """An entry host that the platform's list shows from the start."""

    data_centre: Name
    http_address: ReachableAddress
    peer_address: ReachableAddress


class StandinSettings(SettingsModel):
    """Settings of a stand-in process."""

    bind: BindAddress = "127.0.0.1:0"
    """Address of the log and host list; workers and executors use other ports on its IP."""
    control_bind: BindAddress = "127.0.0.1:0"
    """Address of the control API."""
    seed: int = 1
    data_centres: tuple[Name, ...] = Field(min_length=1)
    hosts_per_rack: int = Field(default=8, ge=1)
    host_list_lag_seconds: float = Field(default=1.0, ge=0)
    entry_hosts: dict[Name, EntryHostSettings] = Field(default_factory=dict)
    """Entry hosts by host id; others are added over the control port."""
    workers: WorkerSettings = Field(default_factory=WorkerSettings)
    executors: ExecutorSettings = Field(default_factory=ExecutorSettings)
    log: LogSettings = Field(default_factory=LogSettings)

    def shape(self) -> FleetShape:
        """Return the fleet shape of these settings."""
        return FleetShape(
            data_centres=tuple(map(DataCentre, self.data_centres)),
            workers=self.workers.count,
            executors=self.executors.count,
            hosts_per_rack=self.hosts_per_rack,
            worker_capacity=self.workers.capacity(),
            slots=self.executors.slots,
            connections=self.executors.connections,
        )

    def listed_entry_hosts(self) -> Iterator[ListedHost]:
        """Yield the rows of the entry hosts."""
        for name, entry in self.entry_hosts.items():
            yield ListedHost(
                host_id=HostId(name),
                kind=HostKind.ENTRY,
                data_centre=DataCentre(entry.data_centre),
                address=entry.http_address,
                peer_address=entry.peer_address,
            )

    def host_list_faults(self) -> HostListFaults:
        """Return the host list's initial fault settings."""
        return HostListFaults(lag_s=self.host_list_lag_seconds)


def load_standin_settings(path: Path) -> Result[StandinSettings, SettingsProblems]:
    """Return the validated settings of a file, or all problems in it."""
    return load_yaml(path).bind(lambda tree: check_tree(StandinSettings, tree, source=str(path)))
