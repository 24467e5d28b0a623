"""Interfaces of a cell to the platform, except executors: store, lists, configuration, advisor."""

from dataclasses import dataclass
from typing import Protocol

from returns.result import Result

from galenastall.coordination.cell.executors import ExecutorInfo
from galenastall.coordination.cell.host_orders import HostOrder, HostOutcome
from galenastall.protocol.cell.config import CellConfig
from galenastall.protocol.cell.messages import AdviceAnswer
from galenastall.state.cell.hosts import MaintenanceWave, PoolHost
from galenastall.state.cell.jobs import StepKey
from galenastall.state.errors import StepError


@dataclass(frozen=True, kw_only=True, slots=True)
class LeaderRecord:
    """The newest claim of leadership."""

    token: int
    host_id: str
    """Empty if the claim can't be read."""
    address: str
    weight: float = 0.0
    """Weight of the host; 0 if the claim does not state it."""


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreView:
    """Result of polling the store for the leader."""

    leader: LeaderRecord | None
    log_end: int
    """End offset of the state log; it advances with each claim, and while a leader is confirmed."""


@dataclass(frozen=True, kw_only=True, slots=True)
class StatePage:
    """One page of the state."""

    values_by_key: dict[str, bytes]
    next_after: str = ""
    """The key after which the next page begins; empty on the last page."""


class StatePort(Protocol):
    """Durable state of the cell; writes are fenced by token.

    Failures: CONFLICT means that a newer token exists. INVALID means that nothing was done and that
    the same call fails whenever it is sent. UNREACHABLE, OVERLOADED and UNAVAILABLE
    mean that nothing was done. After TIMEOUT and CUT the call may have been carried out, or may
    still be carried out later.
    """

    @property
    def append_bytes(self) -> int:
        """Maximum bytes that one append may write, keys and values together."""

    @property
    def record_bytes(self) -> int:
        """Maximum bytes of one key and its value together."""

    async def claim(
        self, *, host_id: str, address: str, weight: float, log_end: int
    ) -> Result[int, StepError]:
        """Append a claim and return its token; tokens are unique and increasing.

        `tip` is the state's end as the claimant last saw it: CONFLICT says that something has been
        written since, by a leader or another claimant, and that nothing was appended.
        """

    async def fence(self, *, token: int) -> Result[None, StepError]:
        """Reject all writes under lower tokens from now on."""

    async def append(
        self, *, token: int, sequence: int, values_by_key: dict[str, bytes], timeout_s: float
    ) -> Result[None, StepError]:
        """Write all values or none; idempotent by sequence number."""

    async def load_page(self, *, after: str) -> Result[StatePage, StepError]:
        """Return the newest values of the keys that sort after `after`, as many as fit a page."""

    async def poll(self) -> Result[StoreView, StepError]:
        """Return the newest claim and the end of the state log."""


class FleetPort(Protocol):
    """The platform's list of executors."""

    async def read(self) -> Result[tuple[ExecutorInfo, ...], StepError]:
        """Return the current list."""


class ConfigPort(Protocol):
    """The operator's configuration."""

    @property
    def is_receiving(self) -> bool:
        """Whether a response with a newer configuration has begun to arrive."""

    async def wait(self) -> Result[CellConfig | None, StepError]:
        """Wait until the configuration may have changed, and return it; None if there is none."""

    async def newest(self) -> Result[CellConfig | None, StepError]:
        """Return the newest configuration at once; None if it was returned before.

        Cancelling it does not end a response that has begun to arrive: `wait` returns its result.
        """


class AdvisorPort(Protocol):
    """The placement advisor."""

    async def advise(
        self, *, step: StepKey, executor_ids: tuple[str, ...], timeout_s: float
    ) -> Result[AdviceAnswer, StepError]:
        """Return which of the executors may run the step."""


class HostsPort(Protocol):
    """The platform's hosts and the operator's maintenance waves."""

    def waves(self) -> tuple[MaintenanceWave, ...]:
        """Return the waves found by the last reads of the configuration."""

    async def list_hosts(self) -> Result[tuple[PoolHost, ...], StepError]:
        """Return the hosts of all pools."""

    async def order(
        self, order: HostOrder, *, holder: str, token: int
    ) -> Result[HostOutcome, StepError]:
        """Send an order; CONFLICT means that a newer leader has sent one to this host."""

    async def report_wave(
        self, number: int, *, is_completed: bool, token: int, sequence: int
    ) -> Result[None, StepError]:
        """Report a wave's state to the operator; fenced and idempotent like writes of the state."""
