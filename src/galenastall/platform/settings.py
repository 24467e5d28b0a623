"""Decodes the settings file that the platform writes for a process."""

import os
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final, TypeVar

from galenastall.coordination.cell.timings import CellTimings
from galenastall.platform.store import RECORD_BYTES, REQUEST_BYTES
from galenastall.protocol.addresses import MAX_PORT
from galenastall.state.decoding import DECODE_ERRORS, MAX_WHOLE, parse_whole, shorten
from galenastall.state.errors import GalenastallError
from galenastall.transport.client_limits import MEBIBYTE, ClientLimits, limits_within

SETTINGS_VARIABLE: Final = "GALENASTALL_SETTINGS"
"""Environment variable with the path of the settings file; named by the platform."""
ORDERS_BY_CALL: Final = "duty_call"
"""The only supported way of sending orders to executors."""
METRICS_PORT: Final = 9464
"""Also written out in the deploy file, which takes no placeholder there."""
FIRST_CLAIM_STEP_S: Final = 0.02
"""Delay between the claims of successive seed hosts, at the first start."""
BYTES_PER_S_PER_MBPS: Final = 125_000.0
LINK_MBPS_PER_CORE: Final = 20.0
"""Megabits per second that a leader transfers per core that it uses: on a slower link, the core
is not fully usable. Reading 2 MB of state then takes a second at most."""
FILE_RESERVE: Final = 200
"""Descriptors that the platform reserves for files; sockets share the others."""
MIN_RECORD_BYTES: Final = 512
"""The smallest limit of a record with which every key fits into a record."""
T = TypeVar("T")


class SettingsError(GalenastallError):
    """A field is missing or invalid; the message names it and its value."""


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreSettings:
    """The platform's metadata store."""

    address: str
    request_bytes: int
    """Largest body of one append."""
    record_bytes: int
    """Largest record."""


@dataclass(frozen=True, kw_only=True, slots=True)
class PlatformSettings:
    """The settings that the process takes from the file."""

    host_id: str
    data_centre: str
    callers_bind: str
    """Address that callers connect to."""
    readiness_bind: str
    """Address that the platform's load balancer probes for readiness."""
    peer_bind: str
    """Address that other entry hosts connect to."""
    metrics_bind: str
    store: StoreSettings
    advisor_address: str
    """Empty if the deployment has no placement advisor."""
    hosts_address: str
    """Service that lists hosts and takes orders to them; empty if the deployment has none."""
    seeds: tuple[str, ...]
    control_address: str
    cores: float
    link_mbps: float
    """Bandwidth of the host's own network link."""
    memory_mb: int
    file_descriptors: int
    may_start: bool
    """Whether the whole system is starting for the first time."""
    heartbeat_s: float
    """Interval between heartbeats of an executor to the store."""
    stop_grace_s: float
    """Time from the stop signal until the process is killed."""
    longest_lease_s: float
    maintenance_s: float
    """How long a host is down for maintenance."""

    @property
    def client_limits(self) -> ClientLimits:
        """Limits on what the clients of all HTTP servers may hold together."""
        return limits_within(
            memory_bytes=self.memory_mb * MEBIBYTE,
            sockets=max(self.file_descriptors - FILE_RESERVE, 0),
        )

    @property
    def leadership_weight(self) -> float:
        """Cores that the host can use as leader: no more than its link can keep busy."""
        return min(self.cores, self.link_mbps / LINK_MBPS_PER_CORE)

    @property
    def link_bytes_per_s(self) -> float:
        """What the host's own network link carries."""
        return self.link_mbps * BYTES_PER_S_PER_MBPS

    def claim_delay_s(self, jitter: float) -> float:
        """Return the delay before a claim: seeds first, in order; others by `jitter` (0 to 1)."""
        longest = CellTimings().claim_jitter_s
        if self.control_address in self.seeds:
            return self.seeds.index(self.control_address) * FIRST_CLAIM_STEP_S
        first = len(self.seeds) * FIRST_CLAIM_STEP_S
        return first + jitter * max(longest - first, FIRST_CLAIM_STEP_S)


def settings_path(environment: dict[str, str] | None = None) -> Path:
    """Return the path of the settings file; raises SettingsError if the variable is missing."""
    path = (environment if environment is not None else dict(os.environ)).get(SETTINGS_VARIABLE)
    if not path:
        raise SettingsError(f"{SETTINGS_VARIABLE}: not set; it names the settings file")
    return Path(path)


def load_settings(path: Path) -> PlatformSettings:
    """Return the settings; raises SettingsError naming the invalid field and its value."""
    return parse_settings(path, read_settings(path))


def read_settings(path: Path) -> str:
    """Return the file's text; raises SettingsError if it can't be read."""
    try:
        return path.read_text(encoding="utf-8")
    except OSError as error:
        raise SettingsError(f"{path}: can't be read: {error.strerror}") from error
    except UnicodeDecodeError as error:
        raise SettingsError(f"{path}: is not UTF-8: {error.reason}") from error


def parse_settings(path: Path, text: str) -> PlatformSettings:
    """Return the settings in the text of the file at `path`; raises SettingsError."""
    try:
        table = tomllib.loads(text)
    except DECODE_ERRORS as error:
        raise SettingsError(f"{path}: is not TOML: {shorten(str(error))}") from error
    return decode_settings(table)


def decode_settings(table: dict[str, Any]) -> PlatformSettings:
    """Return the settings of a decoded file; unknown fields are ignored."""
    orders = _get(table, "orders", str, default=ORDERS_BY_CALL)
    if orders != ORDERS_BY_CALL:
        raise SettingsError(f"orders: expected {ORDERS_BY_CALL!r}, got {_shown(orders)}")
    form = _get(table, "platform.form", str, default="log")
    if form != "log":
        raise SettingsError(f"platform.form: expected 'log', got {_shown(form)}")
    ip = _get(table, "ipAddress", str)
    ports = _get(table, "internalPortRange", list)
    match ports:
        case [int(first), int(last)] if 0 < first < last <= MAX_PORT:
            pass
        case _:
            raise SettingsError(
                f"internalPortRange: expected two ascending ports, got {_shown(ports)}"
            )
    return PlatformSettings(
        host_id=_get(table, "nodeName", str),
        data_centre=_get(table, "zone", str),
        callers_bind=_address(table, "listenAddresses.front"),
        readiness_bind=_address(table, "listenAddresses.readiness"),
        peer_bind=f"{ip}:{first}",
        metrics_bind=f"{ip}:{METRICS_PORT}",
        store=StoreSettings(
            address=_address(table, "platform.address"),
            request_bytes=_size(table, "platform.requestBytes", default=REQUEST_BYTES),
            record_bytes=_size(table, "platform.recordBytes", default=RECORD_BYTES),
        ),
        advisor_address=_address(table, "placementAdvisor", default=""),
        hosts_address=_address(table, "cloudApi.address", default=""),
        seeds=_texts(table, "seedNodes"),
        control_address=_get(table, "listenAddresses.control", str, default=""),
        cores=_number(table, "limits.cpuShare", 1.0) * _number(table, "limits.cpuCores", 1.0),
        link_mbps=_number(table, "limits.linkMbps", 1000.0),
        memory_mb=_whole(table, "limits.memoryMb", default=300),
        file_descriptors=_whole(table, "limits.fileDescriptors", default=4_100),
        may_start=_get(table, "bootstrap", bool, default=False),
        heartbeat_s=_number(table, "heartbeatMs", 1500.0) / 1000.0,
        stop_grace_s=_number(table, "bounds.graceS", 6.0),
        maintenance_s=_number(table, "bounds.maintenanceS", 2.0),
        longest_lease_s=_number(table, "bounds.maxHoldMs", 10_000.0) / 1000.0,
    )


def _find(table: dict[str, Any], name: str) -> Any:
    value: Any = table
    for part in name.split("."):
        if not isinstance(value, dict) or part not in value:
            return None
        value = value[part]
    return value


def _get(table: dict[str, Any], name: str, kind: type[T], *, default: T | None = None) -> T:
    value = _find(table, name)
    if value is None:
        if default is None:
            raise SettingsError(f"{name}: missing")
        return default
    if not isinstance(value, kind) or (kind is int and isinstance(value, bool)):
        raise SettingsError(f"{name}: expected {kind.__name__}, got {_shown(value)}")
    return value


def _address(table: dict[str, Any], name: str, *, default: str | None = None) -> str:
    """Return a host and a port; whether the host is there is not checked."""
    value = _get(table, name, str, default=default)
    host, _, port = value.rpartition(":")
    is_printable = host.isascii() and host.isprintable() and " " not in host
    if value and not (host and is_printable and parse_whole(port, most=MAX_PORT) is not None):
        raise SettingsError(f"{name}: expected IP:port, got {_shown(value)}")
    return value


def _texts(table: dict[str, Any], name: str) -> tuple[str, ...]:
    values = _get(table, name, list, default=[])
    if not all(isinstance(value, str) for value in values):
        raise SettingsError(f"{name}: expected a list of str, got {_shown(values)}")
    return tuple(values)


def _shown(value: object) -> str:
    """Return a value as error messages show it; it may have too many digits to be shown."""
    try:
        return shorten(repr(value))
    except ValueError:
        return "a number with too many digits"


def _whole(table: dict[str, Any], name: str, *, default: int) -> int:
    value = _get(table, name, int, default=default)
    if not 0 <= value <= MAX_WHOLE:
        raise SettingsError(f"{name}: expected 0 to {MAX_WHOLE}, got {_shown(value)}")
    return value


def _size(table: dict[str, Any], name: str, *, default: int) -> int:
    value = _whole(table, name, default=default)
    if value < MIN_RECORD_BYTES:
        raise SettingsError(f"{name}: expected at least {MIN_RECORD_BYTES} bytes, got {value}")
    return value


def _number(table: dict[str, Any], name: str, default: float) -> float:
    value = _find(table, name)
    if value is None:
        return default
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not 0 < value <= MAX_WHOLE:
        raise SettingsError(f"{name}: expected a number above 0, got {_shown(value)}")
    return float(value)
