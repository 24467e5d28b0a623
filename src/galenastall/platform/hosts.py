"""The platform's machines, here called hosts, and the operator's maintenance waves."""

from collections.abc import Callable, Mapping
from typing import Final
from urllib.parse import quote

import msgspec
from returns.result import Failure, Result, Success

from galenastall.coordination.cell.host_orders import HostOrder, HostOutcome
from galenastall.platform.amounts import WireAmount
from galenastall.platform.calls import AddressProvider, PlatformCalls, decode_answer, to_failure
from galenastall.platform.entries import ShortText, decode_contained, decode_entry
from galenastall.platform.log_wire import keyed_record
from galenastall.platform.names import MAX_NAME_BYTES
from galenastall.platform.store import PRODUCER
from galenastall.state.cell.hosts import HostState, MaintenanceWave, PoolHost
from galenastall.state.decoding import Quantity, Whole, shorten
from galenastall.state.errors import Reason, StepError
from galenastall.state.resources import NOTHING
from galenastall.transport.http_client import BufferedResponse
from galenastall.transport.logs import Recorder

WAVE_KEY_PREFIX: Final = "wave/"
"""Prefix of the keys in which the operator writes waves, and of those with their states."""
STATUS_TOPIC: Final = "keyed.status"
CALL_TIMEOUT_S: Final = 1.0
MAX_PAGES: Final = 1_000
"""Pages of a list of machines; one that names ever new pages would never end."""
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

    machine: ShortText
    pool: ShortText
    state: ShortText
    labels: list[ShortText] = []
    """Its kind, then its rack."""
    capacity: WireAmount = WireAmount()
    id: ShortText | None = None
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

    machines: list[msgspec.Raw] = []
    """Each a `WireMachine`, decoded on its own so that an unusable one does not fail the list."""
    next_page_token: ShortText | None = None


class WireNamedMachine(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """What must be known of a machine that can't be used."""

    machine: ShortText

    def to_host(self) -> PoolHost:
        """Return a host that is down: it is on the list, and gets no order."""
        return PoolHost(host=self.machine, pool="", state=HostState.DOWN, capacity=NOTHING)


def decode_machine(value: bytes) -> Result[PoolHost, str]:
    """Return a machine of the list, or an error message."""
    return decode_entry(value, WireMachine).bind(_validate)


def _validate(machine: WireMachine) -> Result[PoolHost, str]:
    if 0 < len(machine.machine.encode()) <= MAX_NAME_BYTES:
        return Success(machine.to_host())
    detail = f"expected 1 to {MAX_NAME_BYTES} bytes, got {shorten(machine.machine)!r}"
    return Failure(f"machine: {detail}")


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
        self._unusable_names: set[str] = set()
        """Machines that can't be used, each reported once while that lasts."""
        self._waves_by_value: dict[bytes, MaintenanceWave | None] = {}

    def waves(self) -> tuple[MaintenanceWave, ...]:
        """Return the waves that were last read."""
        values_by_key = {
            key: value
            for key, value in self._operator_values().items()
            if key.startswith(WAVE_KEY_PREFIX)
        }
        found = [self._decode_wave(key, value) for key, value in values_by_key.items()]
        current = {value: self._waves_by_value[value] for value in values_by_key.values()}
        self._waves_by_value = current
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
        paths: set[str] = set()
        while path not in paths and len(paths) < MAX_PAGES:
            paths.add(path)
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
            for raw in found.machines:
                host = self._decode_machine(bytes(raw))
                if isinstance(host, Failure):
                    return Failure(self._cut(step, f"machines[{len(hosts)}]: {host.failure()}"))
                hosts.append(host.unwrap())
            if not found.next_page_token:
                self._unusable_names &= {host.host for host in hosts}
                return Success(tuple(hosts))
            path = f"/machines?pageToken={quote(found.next_page_token, safe='')}"
        detail = f"nextPageToken: names a page that was read already, or more than {MAX_PAGES}"
        return Failure(self._cut(step, detail))

    def _decode_machine(self, raw: bytes) -> Result[PoolHost, str]:
        """Return a machine, down if it can't be used, or an error message if it has no name.

        Without its name the list would be incomplete, and nothing may be ordered by that.
        """
        host = decode_contained(lambda: decode_machine(raw))
        if isinstance(host, Success):
            self._unusable_names.discard(host.unwrap().host)
            return Success(host.unwrap())
        named = decode_entry(raw, WireNamedMachine).map(WireNamedMachine.to_host)
        if isinstance(named, Failure):
            return Failure(host.failure().cause)
        name = named.unwrap().host
        if name not in self._unusable_names:
            self._unusable_names.add(name)
            host.failure().record(self._recorder, kind="machine", name=name)
        return named

    def _cut(self, step: str, detail: str) -> StepError:
        return StepError(step=step, peer=self._address(), reason=Reason.CUT, detail=detail)

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
