"""The platform's machines, here called hosts, and the operator's maintenance waves."""

from collections.abc import Callable, Mapping
from typing import Final

import msgspec
from returns.result import Failure, Result, Success

from galenastall.coordination.cell.host_orders import HostOrder, HostOutcome
from galenastall.platform.amounts import WireAmount
from galenastall.platform.calls import AddressProvider, PlatformCalls, decode_answer, to_failure
from galenastall.platform.entries import ShortText, decode_contained, decode_entry
from galenastall.platform.log_wire import keyed_record
from galenastall.platform.store import PRODUCER
from galenastall.state.cell.hosts import HostState, MaintenanceWave, PoolHost
from galenastall.state.decoding import Quantity, Whole
from galenastall.state.errors import Reason, StepError
from galenastall.transport.http_client import BufferedResponse
from galenastall.transport.logs import Recorder

WAVE_KEY_PREFIX: Final = "wave/"
"""Prefix of the keys in which the operator writes waves, and of those with their states."""
STATUS_TOPIC: Final = "keyed.status"
CALL_TIMEOUT_S: Final = 1.0
_OK: Final = 200
_BAD_REQUEST: Final = 400
_CONFLICT: Final = 409
_FENCED: Final = "fence"
_STATE_BY_NAME: Final = {
    "up": HostState.UP,
    "moving": HostState.MOVING,
    "upkeep": HostState.MAINTENANCE,
    "down": HostState.DOWN,
}
_OUTCOME_BY_REASON: Final = {
    "busy": HostOutcome.BUSY,
    "wave": HostOutcome.NOT_POSSIBLE,
}


class WireMachine(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """One machine of a pool."""

    machine: str
    pool: str
    state: str
    labels: list[str] = []
    """Its kind, then its rack."""
    capacity: WireAmount = WireAmount()
    id: str | None = None
    """Name of its executor, if it has one."""

    def to_host(self) -> PoolHost:
        """Convert to the internal type; an unknown state counts as down."""
        return PoolHost(
            host=self.machine,
            pool=self.pool,
            state=_STATE_BY_NAME.get(self.state, HostState.DOWN),
            capacity=self.capacity.to_resources(),
            labels=tuple(self.labels),
            executor_id=self.id or "",
        )


class WireMachines(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """One page of the list of machines."""

    machines: list[WireMachine] = []
    next_page_token: str | None = None


class WireWave(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """A maintenance wave as the operator writes it."""

    wave: Whole
    machines: list[ShortText] = []
    duration_s: Quantity = 0.0
    upper_limit: Whole = 1
    """Most machines that may be down for the wave at once."""

    def to_wave(self) -> MaintenanceWave:
        """Convert to the internal type."""
        return MaintenanceWave(
            number=self.wave,
            hosts=tuple(self.machines),
            duration_s=self.duration_s,
            most_down=max(self.upper_limit, 1),
        )


class WireRefusal(msgspec.Struct, frozen=True, kw_only=True):
    """Why an order was refused."""

    reason: str = ""


class PlatformHosts:
    """HostsPort over HTTP, with the waves that the operator writes to the store."""

    def __init__(
        self,
        *,
        calls: PlatformCalls,
        address: AddressProvider,
        store: AddressProvider,
        operator_values: Callable[[], Mapping[str, bytes]],
        recorder: Recorder,
    ) -> None:
        """`operator_values` returns the values last read of the operator's keys."""
        self._calls = calls
        self._address = address
        self._store = store
        self._operator_values = operator_values
        self._recorder = recorder
        self._waves_by_value: dict[bytes, MaintenanceWave | None] = {}

    def waves(self) -> tuple[MaintenanceWave, ...]:
        """Return the waves that were last read."""
        found = [
            self._decode_wave(key, value)
            for key, value in self._operator_values().items()
            if key.startswith(WAVE_KEY_PREFIX)
        ]
        return tuple(wave for wave in found if wave is not None)

    def _decode_wave(self, key: str, value: bytes) -> MaintenanceWave | None:
        if value not in self._waves_by_value:
            wave = decode_contained(lambda: decode_entry(value, WireWave).map(WireWave.to_wave))
            if isinstance(wave, Failure):
                wave.failure().record(self._recorder, kind="wave", name=key)
            self._waves_by_value[value] = wave.value_or(None)
        return self._waves_by_value[value]

    async def list_hosts(self) -> Result[tuple[PoolHost, ...], StepError]:
        """Read all pages of the list of machines."""
        step = "hosts.list"
        hosts: list[PoolHost] = []
        path = "/machines"
        while True:
            answer = await self._calls.get(
                step=step, address=self._address(), path=path, timeout_s=CALL_TIMEOUT_S
            )
            if isinstance(answer, Failure):
                return answer
            response = answer.unwrap()
            if response.status != _OK:
                return to_failure(response, step=step, peer=self._address())
            page = decode_answer(response, WireMachines, step=step, peer=self._address())
            if isinstance(page, Failure):
                return page
            found = page.unwrap()
            hosts += [machine.to_host() for machine in found.machines]
            if not found.next_page_token:
                return Success(tuple(hosts))
            path = f"/machines?pageToken={found.next_page_token}"

    async def order(
        self, order: HostOrder, *, holder: str, token: int
    ) -> Result[HostOutcome, StepError]:
        """Move a machine to another pool, or begin its maintenance."""
        step = "hosts.order"
        path, message = "/machine-upkeep", {"machine": order.host, "wave": order.wave}
        if order.pool:
            path, message = "/machine-move", {"machine": order.host, "pool": order.pool}
        answer = await self._calls.post_json(
            step=step,
            address=self._address(),
            path=path,
            message=message,
            timeout_s=CALL_TIMEOUT_S,
            headers={"Lease-Holder": holder, "Fencing-Token": str(token)},
        )
        if isinstance(answer, Failure):
            return answer
        return self._outcome(answer.unwrap(), step)

    def _outcome(self, response: BufferedResponse, step: str) -> Result[HostOutcome, StepError]:
        if response.status == _OK:
            return Success(HostOutcome.DONE)
        if response.status == _BAD_REQUEST:
            return Success(HostOutcome.NOT_POSSIBLE)
        if response.status != _CONFLICT:
            return to_failure(response, step=step, peer=self._address())
        body = decode_answer(response, WireRefusal, step=step, peer=self._address())
        reason = body.value_or(WireRefusal()).reason
        if reason == _FENCED:
            detail = "a newer leader has sent an order to this host"
            return Failure(
                StepError(step=step, peer=self._address(), reason=Reason.CONFLICT, detail=detail)
            )
        return Success(_OUTCOME_BY_REASON.get(reason, HostOutcome.BUSY))

    async def report_wave(
        self, number: int, *, is_completed: bool, token: int, sequence: int
    ) -> Result[None, StepError]:
        """Write a wave's state to the topic that the operator reads."""
        step = "hosts.tell"
        state = "completed" if is_completed else "running"
        fence = f"producer={PRODUCER}&epoch={token}&sequence={sequence}"
        answer = await self._calls.post(
            step=step,
            address=self._store(),
            path=f"/log-append?topic={STATUS_TOPIC}&part=0&{fence}",
            body=keyed_record(f"{WAVE_KEY_PREFIX}{number}", msgspec.json.encode({"state": state})),
            timeout_s=CALL_TIMEOUT_S,
        )
        if isinstance(answer, Failure):
            return answer
        response = answer.unwrap()
        if response.status == _OK:
            return Success(None)
        if response.status == _CONFLICT:
            detail = "a newer leader has written to the status topic"
            return Failure(
                StepError(step=step, peer=self._store(), reason=Reason.CONFLICT, detail=detail)
            )
        return to_failure(response, step=step, peer=self._store())
