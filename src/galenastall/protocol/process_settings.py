"""Settings file of one process: its identity, addresses and trusted peers.

Everything that operators change at run time is in the shared tree instead.
"""

from pathlib import Path
from typing import Annotated, Literal

from pydantic import Field, StringConstraints, model_validator
from returns.result import Result

from galenastall.protocol.addresses import BindAddress, ReachableAddress, is_wildcard, split_address
from galenastall.protocol.yaml_files import load_yaml
from galenastall.state.settings_problems import SettingsModel, SettingsProblems, check_tree

Name = Annotated[str, StringConstraints(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$")]
"""Lower-case letters, digits, dots and hyphens."""
CurveKey = Annotated[str, StringConstraints(min_length=40, max_length=40)]
"""A CURVE key in the 40 characters of Z85."""


class TlsSettings(SettingsModel):
    """PEM files for TLS of the HTTP API."""

    cert_file: Path
    """Certificate chain shown to callers."""
    key_file: Path
    ca_file: Path | None = None
    """CA that must have signed callers' certificates; None accepts callers without one."""


class CurveSettings(SettingsModel):
    """CURVE keys of the zmq socket; entry hosts with any other key can't connect."""

    public_key: CurveKey
    secret_key: CurveKey
    allowed_by_host_id: dict[Name, CurveKey] = Field(default_factory=dict)
    """Public key of every entry host that may connect; each may claim only its own host id."""


class PlatformAccess(SettingsModel):
    """Access to the platform."""

    adapter: Name
    """A name registered in PLATFORM_ADAPTERS."""
    address: ReachableAddress
    timeout_seconds: float = Field(default=5.0, gt=0, le=120)
    """Longest wait for an answer, in addition to the wait of a long poll."""


class MemoryLimits(SettingsModel):
    """Bounds on what this process keeps in memory."""

    total_mb: int = Field(default=256, ge=64)
    """Readiness is lost above this resident size, in mebibytes."""
    waiting_requests: int = Field(default=1000, ge=1)
    body_buffer_kb: int = Field(default=64, ge=4)
    """Maximum of a request's body that is buffered at a time, in kibibytes."""
    log_queue_records: int = Field(default=10_000, ge=1)
    """Records waiting for group commit before new ones are refused."""


class ProcessSettings(SettingsModel):
    """Settings of one entry host's process."""

    host_id: Name
    data_centre: Name
    rack: str = ""
    http_bind: BindAddress
    http_address: ReachableAddress | None = None
    """Where others reach the HTTP API; required if `http_bind` covers all interfaces."""
    peer_bind: BindAddress
    peer_address: ReachableAddress | None = None
    """Where peers reach the zmq socket; required if `peer_bind` covers all interfaces."""
    platform: PlatformAccess
    seeds: dict[Name, ReachableAddress] = Field(default_factory=dict)
    """Peer addresses by host id, for a start without access to the platform's list."""
    tls: TlsSettings | None = None
    curve: CurveSettings | None = None
    drain_timeout_seconds: float = Field(default=30.0, ge=0, le=3600)
    """Longest wait for callers' requests in progress at a planned stop."""
    log_level: Literal["debug", "info", "warning", "error"] = "info"
    clock_skew_bound_ms: int = Field(default=500, ge=0, le=60_000)
    """Assumed bound on the difference between the wall clocks of two hosts."""
    timeline_ring_events: int = Field(default=20_000, ge=100, le=1_000_000)
    timeline_detail_share: float = Field(default=1.0, ge=0, le=1)
    """Share of request ids whose individual steps are kept; the same ids on all entry hosts."""
    memory: MemoryLimits = Field(default_factory=MemoryLimits)

    @model_validator(mode="after")
    def _check_addresses(self) -> "ProcessSettings":
        for side, bind, address in (
            ("http", self.http_bind, self.http_address),
            ("peer", self.peer_bind, self.peer_address),
        ):
            if is_wildcard(bind) and address is None:
                raise ValueError(f"{side}_bind {bind} covers all interfaces: set {side}_address")
        if self.http_bind == self.peer_bind and split_address(self.http_bind)[1] != 0:
            raise ValueError("http_bind and peer_bind must differ")
        return self


def load_process_settings(path: Path) -> Result[ProcessSettings, SettingsProblems]:
    """Return the validated settings of a process's file, or all problems in it."""
    return load_yaml(path).bind(lambda tree: check_tree(ProcessSettings, tree, source=str(path)))
