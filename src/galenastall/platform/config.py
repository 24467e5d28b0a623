"""Reads the operator's configuration from the platform's store."""

from collections.abc import Mapping
from typing import Final

import msgspec
from returns.result import Failure, Result, Success

from galenastall.platform.access import digest_of
from galenastall.platform.amounts import WireAmount
from galenastall.platform.calls import AddressProvider, PlatformCalls
from galenastall.platform.entries import (
    EntryProblem,
    PathText,
    ShortText,
    decode_contained,
    decode_entry,
)
from galenastall.platform.keyed_follower import KeyedFollower
from galenastall.platform.shared_reads import SharedReads
from galenastall.platform.transfers import TransferSlot
from galenastall.protocol.cell.config import CallerAllowance, CellConfig, Credential, QueueRoute
from galenastall.state.cell.jobs import AdvisorTiming, Queue
from galenastall.state.cell.workspaces import Workspace
from galenastall.state.decoding import Finite, Quantity, Whole
from galenastall.state.errors import Reason, StepError
from galenastall.transport.logs import Recorder
from galenastall.transport.unexpected import record_unexpected

TOPIC: Final = "keyed.op"
KEY: Final = "config"
POLL_S: Final = 0.9
"""Time of a long poll: an unresponsive connection must be detected within the bound of 2 s."""


class WireAdvisor(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """Timing of placement advice for a queue, in milliseconds."""

    decision_ms: Quantity = 0.0
    period_ms: Quantity = 0.0
    """Added for each executor in a request."""
    validity_ms: Quantity = 0.0

    def to_timing(self) -> AdvisorTiming:
        """Convert to the internal type."""
        return AdvisorTiming(
            base_s=self.decision_ms / 1000.0,
            per_executor_s=self.period_ms / 1000.0,
            validity_s=self.validity_ms / 1000.0,
        )


class WireRoute(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """A queue, with the host and path prefix of its requests."""

    name: ShortText
    host: PathText = ""
    path_prefix: PathText = "/"
    service: ShortText = ""
    priority: Whole = 1
    max_attempts: Whole = 1
    stretch: Quantity = 1.0
    target_latency_ms: Quantity = 0.0
    placement_advisor: WireAdvisor | None = None
    public: bool = False

    def to_route(self) -> QueueRoute:
        """Convert to the internal type."""
        advisor = self.placement_advisor
        return QueueRoute(
            host=self.host,
            path_prefix=self.path_prefix,
            is_public=self.public,
            queue=Queue(
                name=self.name,
                service=self.service,
                priority=self.priority,
                max_attempts=self.max_attempts,
                stretch=self.stretch,
                target_s=self.target_latency_ms / 1000.0,
                advisor=None if advisor is None else advisor.to_timing(),
            ),
        )


class WireService(msgspec.Struct, frozen=True, kw_only=True):
    """A pool of hosts."""

    name: ShortText
    standby: bool = False


class WireLimits(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """What callers may send, and how long they may take."""

    max_header_bytes: Whole = 0
    max_body_bytes: Whole = 0
    header_timeout_ms: Quantity = 0.0
    idle_timeout_ms: Quantity = 0.0

    def to_allowance(self) -> CallerAllowance:
        """Convert to the internal type."""
        return CallerAllowance(
            head_bytes=self.max_header_bytes,
            body_bytes=self.max_body_bytes,
            head_s=self.header_timeout_ms / 1000.0,
            idle_s=self.idle_timeout_ms / 1000.0,
        )


class WireTenant(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """A tenant, with the API keys of its callers."""

    name: ShortText = ""
    api_keys: list[str] = []
    weight: Finite = 1.0
    upper_limit: WireAmount = WireAmount()
    """Limit on what it has running across all executors; 0 means no limit."""

    def to_workspace(self) -> Workspace:
        """Convert to the internal type."""
        return Workspace(name=self.name, weight=self.weight, limit=self.upper_limit.to_resources())

    def to_credentials(self) -> list[Credential]:
        """Return its keys as stored: digests instead of keys."""
        return [Credential(digest=digest_of(key), workspace=self.name) for key in self.api_keys]


class WireConfig(msgspec.Struct, frozen=True, kw_only=True):
    """One complete version of the configuration."""

    version: Whole
    routes: list[WireRoute] = []
    services: list[WireService] = []
    limits: WireLimits = WireLimits()
    tenants: list[WireTenant] | None = None
    """None in deployments without tenants."""

    def problem(self) -> str:
        """Return the first error in the tenants, with field and value but without any key."""
        return _problem_of(self.tenants or [])

    def to_config(self) -> CellConfig:
        """Convert to the internal type."""
        return CellConfig(
            version=self.version,
            routes=tuple(route.to_route() for route in self.routes),
            services=frozenset(service.name for service in self.services),
            standby_services=frozenset(s.name for s in self.services if s.standby),
            workspaces=tuple(tenant.to_workspace() for tenant in self.tenants or []),
            credentials=tuple(c for tenant in self.tenants or [] for c in tenant.to_credentials()),
            requires_keys=self.tenants is not None,
            callers=self.limits.to_allowance(),
        )


def decode_config(value: bytes) -> Result[CellConfig, str]:
    """Return a configuration, or an error message without any key."""
    return decode_entry(value, WireConfig).bind(_validate)


def _problem_of(tenants: list[WireTenant]) -> str:
    holders_by_key: dict[str, str] = {}
    names: set[str] = set()
    for index, tenant in enumerate(tenants):
        field_path = f"tenants[{index}]"
        if not tenant.name:
            return f"{field_path}.name: expected a name, got {tenant.name!r}"
        if tenant.name in names:
            return f"{field_path}.name: duplicate name {tenant.name!r}"
        names.add(tenant.name)
        if not tenant.weight >= 0:
            return f"{field_path}.weight: expected 0 or more, got {tenant.weight}"
        for number, key in enumerate(tenant.api_keys):
            holder = holders_by_key.setdefault(key, tenant.name)
            if not key or holder != tenant.name:
                error = f"also belongs to {holder!r}" if key else "is empty"
                return f"{field_path}.apiKeys[{number}]: {error}"
    return ""


def _validate(wire: WireConfig) -> Result[CellConfig, str]:
    problem = wire.problem()
    return Failure(problem) if problem else Success(wire.to_config())


class PlatformConfig:
    """ConfigPort on the platform's store."""

    def __init__(
        self, *, calls: PlatformCalls, address: AddressProvider, recorder: Recorder
    ) -> None:
        """Read from the store at `address`."""
        self._address = address
        self._recorder = recorder
        self._transfers = TransferSlot(on_received=self._report_received)
        self._follower = KeyedFollower(
            calls=calls,
            address=address,
            topic=TOPIC,
            recorder=recorder,
            transfers=self._transfers,
        )
        self._reads = SharedReads(follower=self._follower, transfers=self._transfers)
        self._decoded_value = b""
        self._decoded: Result[CellConfig, StepError] | None = None
        """What `_decoded_value` says; None before the first."""
        self._waited_value = b""
        """The value whose configuration or error `wait` has returned last."""
        self._newest_value = b""
        """The same of `newest`."""

    def operator_values(self) -> Mapping[str, bytes]:
        """Return the values last read of all the operator's keys."""
        return self._follower.values_by_key

    @property
    def is_receiving(self) -> bool:
        """Whether a response with a newer configuration has begun to arrive."""
        return self._transfers.is_taken

    async def wait(self) -> Result[CellConfig | None, StepError]:
        """Wait for a change, up to the long poll's time; return the new configuration or None.

        It also returns what a read of `newest` has found whose caller was cancelled.
        """
        if self._value() == self._waited_value:
            answer = await self._reads.wait(POLL_S)
            if isinstance(answer, Failure):
                return answer
        value = self._value()
        if value == self._waited_value:
            return Success(None)
        self._waited_value = value
        return self._decode(value)

    async def newest(self) -> Result[CellConfig | None, StepError]:
        """Return the newest configuration without waiting for one; None if it was returned."""
        answer = await self._reads.read_now()
        if isinstance(answer, Failure):
            return answer
        value = self._value()
        if value in (self._waited_value, self._newest_value):
            return Success(None)
        self._newest_value = value
        return self._decode(value)

    def _value(self) -> bytes:
        return self._follower.values_by_key.get(KEY, b"")

    def _decode(self, value: bytes) -> Result[CellConfig | None, StepError]:
        if not value:
            return Success(None)
        if self._decoded is None or value != self._decoded_value:
            self._decoded = decode_contained(lambda: decode_config(value)).alt(self._unreadable)
            self._decoded_value = value
        return self._decoded.map(lambda config: config)

    def _report_received(self, size_bytes: int, took_s: float) -> None:
        self._recorder.record(
            "config.received",
            peer=self._address(),
            fields={"bytes": str(size_bytes), "took_ms": f"{took_s * 1000:.0f}"},
        )

    def _unreadable(self, problem: EntryProblem) -> StepError:
        if problem.error is not None:
            record_unexpected(self._recorder, "config.unexpected", problem.error, subjects=(KEY,))
        return StepError(
            step="config.decode", peer=self._address(), reason=Reason.INVALID, detail=problem.cause
        )
