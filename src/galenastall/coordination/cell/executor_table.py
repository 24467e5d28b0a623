"""The executors of a cell, indexed by id, by name and by host.

Thousands of executors send listings continuously, so the cost of handling one listing must not grow
with the size of the fleet.
"""

from collections import defaultdict
from collections.abc import Iterator

from galenastall.coordination.cell.executors import Executor, ExecutorInfo


class ExecutorTable:
    """All incarnations that are listed or may still run something."""

    def __init__(self) -> None:
        """Create an empty table."""
        self.by_id: dict[str, Executor] = {}
        """Modified only by the methods of this class, which keep the indexes consistent."""
        self.version = 0
        """Increases whenever an executor is added or removed."""
        self._ended_ids: set[str] = set()
        self._ids_by_name: defaultdict[str, set[str]] = defaultdict(set)
        self._ids_by_host: defaultdict[str, set[str]] = defaultdict(set)

    def add(self, executor: Executor) -> None:
        """Add an incarnation."""
        self.version += 1
        self.by_id[executor.executor_id] = executor
        self._ids_by_name[executor.name].add(executor.executor_id)
        self._ids_by_host[executor.info.host].add(executor.executor_id)

    def remove(self, executor_id: str) -> None:
        """Remove an incarnation if it is known."""
        executor = self.by_id.pop(executor_id, None)
        if executor is None:
            return
        self.version += 1
        _discard(self._ids_by_name, executor.name, executor_id)
        _discard(self._ids_by_host, executor.info.host, executor_id)

    def end(self, executor_id: str) -> None:
        """Remove an incarnation that has ended, and remember its id.

        Its entry stays in the platform's list for some heartbeats, and a delayed heartbeat may add
        it again seconds later.
        """
        self.remove(executor_id)
        self._ended_ids.add(executor_id)

    def has_ended(self, executor_id: str) -> bool:
        """Whether an incarnation is known to have ended."""
        return executor_id in self._ended_ids

    def set_info(self, executor: Executor, info: ExecutorInfo) -> None:
        """Apply the current entry of an incarnation in the platform's list."""
        if info.host != executor.info.host:
            _discard(self._ids_by_host, executor.info.host, executor.executor_id)
            self._ids_by_host[info.host].add(executor.executor_id)
        executor.set_info(info)

    def on_host(self, host: str) -> Iterator[Executor]:
        """Return the incarnations on a host, in no particular order; none if `host` is empty."""
        ids = self._ids_by_host.get(host, ()) if host else ()
        return (self.by_id[executor_id] for executor_id in ids)

    def named(self, name: str) -> list[Executor]:
        """Return the incarnations with a name, ordered by id."""
        return [self.by_id[executor_id] for executor_id in sorted(self._ids_by_name.get(name, ()))]

    def sharing_name_or_host(self, executor: Executor) -> list[Executor]:
        """Return the other incarnations with its name or on its host, ordered by id."""
        ids = {other.executor_id for other in self.on_host(executor.info.host)}
        ids |= self._ids_by_name.get(executor.name, set())
        ids.discard(executor.executor_id)
        return [self.by_id[executor_id] for executor_id in sorted(ids)]


def _discard(ids_by_key: defaultdict[str, set[str]], key: str, executor_id: str) -> None:
    ids = ids_by_key[key]
    ids.discard(executor_id)
    if not ids:
        del ids_by_key[key]
