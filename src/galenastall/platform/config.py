"""The operator's configuration as the platform's store holds it."""

from collections.abc import Mapping
from typing import Final

import msgspec
from returns.result import Failure, Result, Success

from galenastall.platform.calls import Address, PlatformCalls
from galenastall.platform.entries import decode_entry
from galenastall.platform.keyed_follower import KeyedFollower
from galenastall.protocol.cell.config import CellConfig, QueueRoute
from galenastall.state.cell.jobs import AdvisorTiming, Queue
from galenastall.state.errors import Reason, StepError
from galenastall.transport.logs import Recorder

TOPIC: Final = "keyed.op"
KEY: Final = "config"
POLL_S: Final = 0.9
"""Long poll for a change; a connection that has gone silent is found out within the 2 s bound."""


class WireAdvisor(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """What advice costs on a queue, in milliseconds."""

    decision_ms: float = 0.0
    period_ms: float = 0.0
    """For each executor named."""
    validity_ms: float = 0.0

    def to_timing(self) -> AdvisorTiming:
        """Return the product's type."""
        return AdvisorTiming(
            base_s=self.decision_ms / 1000.0,
            per_executor_s=self.period_ms / 1000.0,
            validity_s=self.validity_ms / 1000.0,
        )


class WireRoute(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """A queue, with the requests that belong to it."""

    name: str
    host: str = ""
    path_prefix: str = "/"
    service: str = ""
    priority: int = 1
    max_attempts: int = 1
    stretch: float = 1.0
    target_latency_ms: float = 0.0
    placement_advisor: WireAdvisor | None = None

    def to_route(self) -> QueueRoute:
        """Return the product's type."""
        advisor = self.placement_advisor
        return QueueRoute(
            host=self.host,
            path_prefix=self.path_prefix,
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

    name: str
    standby: bool = False


class WireConfig(msgspec.Struct, frozen=True, kw_only=True):
    """One version, whole."""

    version: int
    routes: list[WireRoute] = []
    services: list[WireService] = []

    def to_config(self) -> CellConfig:
        """Return the product's type."""
        return CellConfig(
            version=self.version,
            routes=tuple(route.to_route() for route in self.routes),
            services=frozenset(service.name for service in self.services),
            standby_services=frozenset(s.name for s in self.services if s.standby),
        )


class PlatformConfig:
    """ConfigPort over the store."""

    def __init__(self, *, calls: PlatformCalls, address: Address, recorder: Recorder) -> None:
        """Read from the store at `address`."""
        self._address = address
        self._follower = KeyedFollower(calls=calls, address=address, topic=TOPIC, recorder=recorder)

    def operator_values(self) -> Mapping[str, bytes]:
        """Return what was last read of all the operator's keys."""
        return self._follower.values_by_key

    async def wait(self) -> Result[CellConfig | None, StepError]:
        """Return the newest configuration after a change or the long poll's time."""
        answer = await self._follower.refresh(wait_s=POLL_S)
        if isinstance(answer, Failure):
            return answer
        value = self._follower.values_by_key.get(KEY)
        if value is None or not answer.unwrap():
            return Success(None)
        return decode_entry(value, WireConfig).map(WireConfig.to_config).alt(self._unreadable)

    def _unreadable(self, detail: str) -> StepError:
        return StepError(
            step="config.decode", peer=self._address(), reason=Reason.INVALID, detail=detail
        )
