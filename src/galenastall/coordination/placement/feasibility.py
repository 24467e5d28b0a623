"""Explain why a task can never run on a set of workers, and name the largest worker."""

from collections.abc import Iterable

from galenastall.state.hosts import HostKind, HostState, ListedHost
from galenastall.state.resources import NOTHING, Resources


def find_obstacle(need: Resources, capacities: Iterable[Resources]) -> str | None:
    """Return why `need` fits none of the workers even when idle, or None if it fits one.

    The text names the need and the largest worker. An empty set of workers is no obstacle, since
    that says nothing about the task.
    """
    if need.is_negative():
        return f"resources: {describe_amount(need)} has a negative amount"
    largest = NOTHING
    known = False
    for capacity in capacities:
        if need.fits_in(capacity):
            return None
        known = True
        largest = max(largest, capacity, key=_size)
    if not known:
        return None
    return f"needs {describe_amount(need)}; the largest worker has {describe_amount(largest)}"


def find_obstacle_on_hosts(need: Resources, hosts: Iterable[ListedHost]) -> str | None:
    """Return why `need` fits no worker of the platform's list, or None; for use at submission."""
    workers = (
        host.capacity
        for host in hosts
        if host.kind is HostKind.WORKER and host.state is HostState.LIVE
    )
    return find_obstacle(need, workers)


class CapacityShapes:
    """The distinct capacities of the owned workers with their counts; a fleet has few."""

    def __init__(self) -> None:
        """Start with no workers."""
        self._counts_by_shape: dict[tuple[int, int, int], int] = {}
        self._largest: Resources = NOTHING
        self._shapes: tuple[Resources, ...] = ()

    def add(self, capacity: Resources) -> None:
        """Add a worker's capacity."""
        shape = _shape(capacity)
        self._counts_by_shape[shape] = self._counts_by_shape.get(shape, 0) + 1
        self._update()

    def remove(self, capacity: Resources) -> None:
        """Remove the capacity of a worker that was added."""
        shape = _shape(capacity)
        self._counts_by_shape[shape] -= 1
        if not self._counts_by_shape[shape]:
            del self._counts_by_shape[shape]
        self._update()

    def _update(self) -> None:
        self._shapes = tuple(
            Resources(cores_milli=cores, memory_mb=memory, accelerators=accelerators)
            for cores, memory, accelerators in self._counts_by_shape
        )
        self._largest = NOTHING
        for shape in self._shapes:
            self._largest = self._largest.at_least(shape)

    @property
    def most(self) -> Resources:
        """The largest amount of each resource that any worker has."""
        return self._largest

    def obstacle(self, need: Resources) -> str | None:
        """Return why `need` fits no owned worker, or None."""
        return find_obstacle(need, self._shapes)


def _shape(amount: Resources) -> tuple[int, int, int]:
    return amount.cores_milli, amount.memory_mb, amount.accelerators


def _size(amount: Resources) -> tuple[int, int, int]:
    return amount.accelerators, amount.cores_milli, amount.memory_mb


def describe_amount(amount: Resources) -> str:
    """Return an amount as text, for refusals and explanations."""
    text = f"{amount.cores_milli / 1000:g} cores and {amount.memory_mb} MB"
    return f"{text} and {amount.accelerators} accelerators" if amount.accelerators else text
