"""What a cell needs of the platform besides its executors: store, lists, configuration, advice."""

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
    """The newest claim."""

    token: int
    host_id: str
    address: str
    weight: float = 0.0
    """Weight of the host; 0 if the claim does not name it."""


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreView:
    """What a look at the store shows of who leads."""

    leader: LeaderRecord | None
    log_end: int
    """End of the state; it moves with each claim, and while a leader is confirmed."""


class StatePort(Protocol):
    """Durable state of the cell; writes are fenced by token.

    Failures: CONFLICT says that a newer token stands. UNREACHABLE, OVERLOADED and UNAVAILABLE
    say that nothing was done. After TIMEOUT and CUT the call may have been carried out, or may
    be carried out later.
    """

    @property
    def append_bytes(self) -> int:
        """Most that one append may write, keys and values together."""

    async def claim(
        self, *, host_id: str, address: str, weight: float, log_end: int
    ) -> Result[int, StepError]:
        """Append a claim and return its token; tokens are unique and rise.

        `tip` is the state's end as the claimant last saw it: CONFLICT says that something has been
        written since, by a leader or another claimant, and that nothing was appended.
        """

    async def fence(self, *, token: int) -> Result[None, StepError]:
        """Have all writes under lower tokens refused from now on."""

    async def append(
        self, *, token: int, sequence: int, values_by_key: dict[str, bytes], timeout_s: float
    ) -> Result[None, StepError]:
        """Write all values or none; repeating a sequence number repeats nothing."""

    async def load(self) -> Result[dict[str, bytes], StepError]:
        """Return the newest value of each key."""

    async def poll(self) -> Result[StoreView, StepError]:
        """Return who claimed last and how far the state goes."""


class FleetPort(Protocol):
    """The platform's list of executors."""

    async def read(self) -> Result[tuple[ExecutorInfo, ...], StepError]:
        """Return the list as it is now."""


class ConfigPort(Protocol):
    """The operator's configuration."""

    async def wait(self) -> Result[CellConfig | None, StepError]:
        """Return the newest configuration once it may have changed, None if there is none."""

    async def newest(self) -> Result[CellConfig | None, StepError]:
        """Return the newest configuration now, None if it was returned before."""


class AdvisorPort(Protocol):
    """The placement advisor."""

    async def advise(
        self, *, step: StepKey, executor_ids: tuple[str, ...], timeout_s: float
    ) -> Result[AdviceAnswer, StepError]:
        """Return which of the executors may run the step."""


class HostsPort(Protocol):
    """The platform's hosts and the operator's waves of maintenance."""

    def waves(self) -> tuple[MaintenanceWave, ...]:
        """Return the waves that the configuration's last reads have shown."""

    async def list_hosts(self) -> Result[tuple[PoolHost, ...], StepError]:
        """Return the hosts of all pools."""

    async def order(
        self, order: HostOrder, *, holder: str, token: int
    ) -> Result[HostOutcome, StepError]:
        """Give an order; CONFLICT says that a newer leader has given one to this host."""

    async def report_wave(
        self, number: int, *, is_completed: bool, token: int, sequence: int
    ) -> Result[None, StepError]:
        """Tell the operator of a wave's state; fenced and repeatable like the cell's state."""
