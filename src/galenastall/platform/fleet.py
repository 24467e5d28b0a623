"""Executors as they register themselves in the platform's store."""

import msgspec
from returns.result import Failure, Result, Success

from galenastall.coordination.cell.executors import ExecutorInfo
from galenastall.platform.calls import Address, PlatformCalls
from galenastall.platform.keyed_follower import KeyedFollower
from galenastall.state.errors import StepError
from galenastall.state.resources import Resources
from galenastall.transport.logs import Level, Recorder

TOPIC = "keyed.servers"
_DRAINING = "draining"


class WireCapacity(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """What an executor offers."""

    cpu: int = 0
    """Thousandths of a core."""
    memory_request_mb: int = 0
    gpus: int = 0

    def to_resources(self) -> Resources:
        """Return the product's type."""
        return Resources(
            cores_milli=self.cpu, memory_mb=self.memory_request_mb, accelerators=self.gpus
        )


class WireEntry(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """An executor's own entry; its key is its id."""

    service: str
    address: str
    zone: str = ""
    state: str = "ready"
    capacity: WireCapacity = WireCapacity()
    labels: list[str] = []
    """Its kind, then its rack."""
    machine: str = ""
    """The host that it is a life of; empty where the platform names none."""
    drain_remaining_ms: float = 0.0

    def to_info(self, executor_id: str) -> ExecutorInfo:
        """Return the product's type; an unnamed host is told by its address."""
        return ExecutorInfo(
            executor_id=executor_id,
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
    """FleetPort over the store."""

    def __init__(self, *, calls: PlatformCalls, address: Address, recorder: Recorder) -> None:
        """Read from the store at `address`."""
        self._follower = KeyedFollower(calls=calls, address=address, topic=TOPIC)
        self._recorder = recorder
        self._infos_by_id: dict[str, ExecutorInfo] = {}
        self._values_by_id: dict[str, bytes] = {}

    async def read(self) -> Result[tuple[ExecutorInfo, ...], StepError]:
        """Return the list as it is now."""
        answer = await self._follower.refresh(wait_s=0.0)
        if isinstance(answer, Failure):
            return answer
        self._decode_changes()
        return Success(tuple(self._infos_by_id.values()))

    def _decode_changes(self) -> None:
        values_by_id = self._follower.values_by_key
        for gone in self._infos_by_id.keys() - values_by_id.keys():
            del self._infos_by_id[gone]
        for executor_id, value in values_by_id.items():
            if self._values_by_id.get(executor_id) is value:
                continue
            try:
                entry = msgspec.json.decode(value, type=WireEntry)
            except msgspec.MsgspecError as error:
                self._recorder.record(
                    "fleet.unreadable",
                    subjects=(executor_id,),
                    cause=str(error),
                    level=Level.WARNING,
                )
                continue
            self._infos_by_id[executor_id] = entry.to_info(executor_id)
        self._values_by_id = dict(values_by_id)
