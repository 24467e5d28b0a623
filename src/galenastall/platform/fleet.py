"""Reads the entries with which executors register in the platform's store."""

from dataclasses import replace
from ipaddress import AddressValueError, IPv4Address
from typing import Final

import msgspec
from returns.result import Failure, Result, Success

from galenastall.coordination.cell.executors import ExecutorInfo
from galenastall.platform.amounts import WireAmount
from galenastall.platform.calls import AddressProvider, PlatformCalls
from galenastall.platform.entries import ShortText, decode_contained, decode_entry
from galenastall.platform.keyed_follower import KeyedFollower
from galenastall.platform.names import name_problem
from galenastall.state.cell.executor_ids import make_executor_id
from galenastall.state.decoding import Quantity, Whole, parse_whole, shorten
from galenastall.state.errors import StepError
from galenastall.transport.logs import Recorder

TOPIC: Final = "keyed.servers"
HIGHEST_PORT: Final = 65_535
_READY: Final = "ready"
_DRAINING: Final = "draining"


class WireEntry(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """An executor's entry; its key is the executor's name."""

    service: ShortText
    address: ShortText
    state: ShortText
    zone: ShortText = ""
    capacity: WireAmount = WireAmount()
    labels: list[ShortText] = []
    """Its kind, then its rack."""
    machine: ShortText = ""
    """The host that it runs on; empty if the platform names none."""
    born: Whole | None = None
    """Start time in milliseconds since 1970; None if the executor does not report it."""
    drain_remaining_ms: Quantity = 0.0

    def problem(self) -> str:
        """Return the first error of the entry, with field and value; empty if it is valid."""
        if self.state not in {_READY, _DRAINING}:
            return f"state: expected {_READY} or {_DRAINING}, got {shorten(self.state)!r}"
        if not _is_address(self.address):
            return f"address: expected IP:port, got {shorten(self.address)!r}"
        return ""

    def to_info(self, name: str) -> ExecutorInfo:
        """Convert to the internal type; an unnamed host is identified by its address."""
        return ExecutorInfo(
            executor_id=make_executor_id(name, self.born),
            host=self.machine or self.address,
            address=self.address,
            data_centre=self.zone,
            service=self.service,
            capacity=self.capacity.to_resources(),
            labels=tuple(self.labels),
            rack=self.labels[1] if len(self.labels) > 1 else "",
            is_draining=self.state == _DRAINING,
            leaves_in_s=self.drain_remaining_ms / 1000.0,
        )


class PlatformFleet:
    """FleetPort on the platform's store."""

    def __init__(
        self, *, calls: PlatformCalls, address: AddressProvider, recorder: Recorder
    ) -> None:
        """Read from the store at `address`."""
        self._follower = KeyedFollower(calls=calls, address=address, topic=TOPIC, recorder=recorder)
        self._recorder = recorder
        self._infos_by_name: dict[str, ExecutorInfo] = {}
        self._values_by_name: dict[str, bytes] = {}
        self._unusable_names: set[str] = set()
        """Names whose entry can't be used, each reported once while that lasts."""

    async def read(self) -> Result[tuple[ExecutorInfo, ...], StepError]:
        """Return the current list of executors."""
        answer = await self._follower.refresh(wait_s=0.0)
        if isinstance(answer, Failure):
            return answer
        self._decode_changes()
        return Success(tuple(self._infos_by_name.values()))

    def _decode_changes(self) -> None:
        values_by_name = self._follower.values_by_key
        self._unusable_names = {name for name in self._unusable_names if name in values_by_name}
        for gone in self._infos_by_name.keys() - values_by_name.keys():
            del self._infos_by_name[gone]
        for name, value in values_by_name.items():
            if self._values_by_name.get(name) != value:
                self._apply_entry(name, value)
        self._values_by_name = dict(values_by_name)

    def _apply_entry(self, name: str, value: bytes) -> None:
        info = decode_contained(lambda: decode_info(name, value))
        if isinstance(info, Success):
            self._infos_by_name[name] = info.unwrap()
            self._unusable_names.discard(name)
            return
        if name not in self._unusable_names:
            info.failure().record(self._recorder, kind="fleet", name=name)
        self._set_unusable(name)

    def _set_unusable(self, name: str) -> None:
        self._unusable_names.add(name)
        known = self._infos_by_name.get(name)
        if known is not None:
            # It gets no new tasks; its runs go on, and end as its listings report.
            self._infos_by_name[name] = replace(known, is_usable=False)


def decode_info(name: str, value: bytes) -> Result[ExecutorInfo, str]:
    """Return the executor that an entry under `name` describes, or an error message."""
    problem = name_problem(name)
    if problem:
        return Failure(f"name: {problem}")
    return decode_executor(value).map(lambda entry: entry.to_info(name))


def decode_executor(value: bytes) -> Result[WireEntry, str]:
    """Return an executor's entry, or an error message."""
    return decode_entry(value, WireEntry).bind(_validate)


def _validate(entry: WireEntry) -> Result[WireEntry, str]:
    problem = entry.problem()
    return Failure(problem) if problem else Success(entry)


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    try:
        IPv4Address(host)
    except AddressValueError:
        return False
    return bool(parse_whole(port, most=HIGHEST_PORT))
