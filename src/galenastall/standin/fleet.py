"""Hosts of deployments at their specified sizes, for the demo, the tests and the server."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from galenastall.standin.executor import DEFAULT_CONNECTIONS, DEFAULT_SLOTS
from galenastall.state.hosts import HostKind, ListedHost
from galenastall.state.ids import DataCentre, HostId
from galenastall.state.resources import Resources

DONGMUN_WORKER = Resources(cores_milli=64_000, memory_mb=128 * 1024)
CITELIQ_WORKER = Resources(cores_milli=16_000, memory_mb=64 * 1024)
DONGMUN_DATA_CENTRES = tuple(map(DataCentre, ("gangnam", "mapo", "seongsu")))
CITELIQ_DATA_CENTRES = tuple(map(DataCentre, ("plateau", "almadies", "rufisque")))


@dataclass(frozen=True, kw_only=True, slots=True)
class FleetShape:
    """Size of a deployment; its hosts are spread evenly over the data centres."""

    data_centres: tuple[DataCentre, ...] = DONGMUN_DATA_CENTRES
    workers: int = 24
    executors: int = 24
    hosts_per_rack: int = 8
    worker_capacity: Resources = field(default_factory=lambda: DONGMUN_WORKER)
    slots: int = DEFAULT_SLOTS
    connections: int = DEFAULT_CONNECTIONS


DONGMUN = FleetShape()
CITELIQ = FleetShape(data_centres=CITELIQ_DATA_CENTRES, worker_capacity=CITELIQ_WORKER)


def make_hosts(shape: FleetShape) -> Iterator[ListedHost]:
    """Yield a deployment's workers and executors; in memory, a host's id is also its address."""
    for index in range(shape.workers):
        yield _make_worker(shape, index)
    for index in range(shape.executors):
        yield _make_executor(shape, index)


def _make_worker(shape: FleetShape, index: int) -> ListedHost:
    data_centre, rack, number = _place(shape, index)
    host_id = HostId(f"worker-{data_centre}-{number}")
    return ListedHost(
        host_id=host_id,
        kind=HostKind.WORKER,
        data_centre=data_centre,
        address=host_id,
        rack=f"{data_centre}-{rack}",
        capacity=shape.worker_capacity,
    )


def _make_executor(shape: FleetShape, index: int) -> ListedHost:
    data_centre, rack, number = _place(shape, index)
    host_id = HostId(f"executor-{data_centre}-{number}")
    return ListedHost(
        host_id=host_id,
        kind=HostKind.UPSTREAM,
        data_centre=data_centre,
        address=host_id,
        rack=f"{data_centre}-{rack}",
        slots=shape.slots,
        connections=shape.connections,
    )


def _place(shape: FleetShape, index: int) -> tuple[DataCentre, int, int]:
    number, at = divmod(index, len(shape.data_centres))
    return shape.data_centres[at], number // shape.hosts_per_rack, number
