"""Find workers with capacity for a shape without scanning all of them.

Workers are kept in a grid: by free accelerators, then by a logarithmic bucket of free cores, and
within a bucket sorted by free memory. A search starts at the tightest bucket that may fit and stops
at enough candidates, so its cost grows with the number of occupied buckets (at most four per power
of two) and the logarithm of a bucket's length, not with the number of workers.
"""

from bisect import bisect_left, insort
from collections.abc import Iterator
from itertools import islice
from random import Random
from typing import Final

from sortedcontainers import SortedDict

from galenastall.coordination.placement.placement_state import Worker
from galenastall.state.ids import HostId
from galenastall.state.resources import Resources

NO_ACCELERATORS: Final = -1
"""Level of workers without accelerators; that of others is their number of free accelerators."""

_SINGLE_BUCKETS: Final = 4
"""Each amount below this has its own bucket."""
_BOUNDARY_SCAN: Final = 16
"""Entries examined in the bucket that fits only in part, before larger buckets are tried."""


def bucket_of(amount: int) -> int:
    """Return the bucket of a free amount: four per power of two, monotone in the amount."""
    if amount < _SINGLE_BUCKETS:
        return max(amount, 0)
    bits = amount.bit_length()
    return (bits << 2) | ((amount >> (bits - 3)) & 3)


class _Grid:
    """The workers of one level, by bucket of free cores and then free memory.

    Buckets are plain sorted lists, short enough for insertion to be cheaper than in a tree.
    """

    __slots__ = ("entries_by_bucket",)

    def __init__(self) -> None:
        self.entries_by_bucket: SortedDict = SortedDict()

    def add(self, bucket: int, entry: tuple[int, int]) -> None:
        entries = self.entries_by_bucket.get(bucket)
        if entries is None:
            self.entries_by_bucket[bucket] = [entry]
        else:
            insort(entries, entry)

    def remove(self, bucket: int, entry: tuple[int, int]) -> None:
        entries = self.entries_by_bucket[bucket]
        del entries[bisect_left(entries, entry)]
        if not entries:
            del self.entries_by_bucket[bucket]


class WorkerIndex:
    """The workers that may be given tasks, searchable by available capacity; one entry each."""

    def __init__(self, *, rng: Random) -> None:
        """Start empty; `rng` draws the samples."""
        self._rng = rng
        self._grids_by_level: SortedDict = SortedDict()
        self._workers_by_slot: dict[int, Worker] = {}
        self._keys_by_slot: dict[int, tuple[int, int, tuple[int, int]]] = {}
        self._sampled: list[Worker] = []
        self._positions_by_slot: dict[int, int] = {}
        self._by_id: SortedDict = SortedDict()
        self._accelerated_by_slot: dict[int, Worker] = {}

    def put(self, worker: Worker) -> None:
        """Add a worker under its available capacity, or move it there."""
        slot = worker.slot
        level = worker.available_accelerators if worker.has_accelerators else NO_ACCELERATORS
        key = (level, bucket_of(worker.available_cores), (worker.available_memory, slot))
        old = self._keys_by_slot.get(slot)
        if old == key:
            return
        if old is None:
            self._add(worker)
        else:
            self._remove_entry(old)
        grid = self._grids_by_level.get(level)
        if grid is None:
            grid = self._grids_by_level[level] = _Grid()
        grid.add(key[1], key[2])
        self._keys_by_slot[slot] = key

    def drop(self, worker: Worker) -> None:
        """Remove a worker from all searches; ignored if it is not in the index."""
        key = self._keys_by_slot.pop(worker.slot, None)
        if key is None:
            return
        self._remove_entry(key)
        del self._workers_by_slot[worker.slot]
        del self._by_id[worker.worker_id]
        self._accelerated_by_slot.pop(worker.slot, None)
        position = self._positions_by_slot.pop(worker.slot)
        last = self._sampled.pop()
        if last is not worker:
            self._sampled[position] = last
            self._positions_by_slot[last.slot] = position

    def candidates(self, amount: Resources, limit: int) -> list[Worker]:
        """Return workers that fit, tightest first; empty only if none fits.

        The search stops at `limit`, but the bucket that fits only in part may exceed it.

        Workers without accelerators come first, then those with the fewest free, so that
        accelerators stay free for the tasks that need them.
        """
        found: list[Worker] = []
        lowest = amount.accelerators or NO_ACCELERATORS
        for level in self._grids_by_level.irange(lowest):
            self._collect(self._grids_by_level[level], amount, limit, found)
            if found:
                return found
        return found

    def sample(self, amount: Resources, limit: int) -> list[Worker]:
        """Return those that fit among up to `limit` workers drawn at random."""
        drawn = self.draw(limit, accelerated=amount.accelerators > 0)
        return [worker for worker in drawn if worker.can_fit(amount)]

    def draw(self, limit: int, *, accelerated: bool = False) -> list[Worker]:
        """Return up to `limit` different workers drawn at random, whether they fit or not."""
        drawn_from = list(self._accelerated_by_slot.values()) if accelerated else self._sampled
        return self._rng.sample(drawn_from, min(limit, len(drawn_from)))

    def in_order(self) -> Iterator[Worker]:
        """Return all workers in id order, for policies that scan all of them."""
        return iter(self._by_id.values())

    def get(self, worker_id: HostId) -> Worker | None:
        """Return the worker if it is in the index."""
        worker: Worker | None = self._by_id.get(worker_id)
        return worker

    def __len__(self) -> int:
        return len(self._sampled)

    def _add(self, worker: Worker) -> None:
        self._workers_by_slot[worker.slot] = worker
        self._by_id[worker.worker_id] = worker
        self._positions_by_slot[worker.slot] = len(self._sampled)
        self._sampled.append(worker)
        if worker.has_accelerators:
            self._accelerated_by_slot[worker.slot] = worker

    def _remove_entry(self, key: tuple[int, int, tuple[int, int]]) -> None:
        level, bucket, entry = key
        grid = self._grids_by_level[level]
        grid.remove(bucket, entry)
        if not grid.entries_by_bucket:
            del self._grids_by_level[level]

    def _collect(self, grid: _Grid, amount: Resources, limit: int, found: list[Worker]) -> None:
        cores = amount.cores_milli
        first = (amount.memory_mb, -1)
        boundary = bucket_of(cores)
        by_slot = self._workers_by_slot
        rest: list[tuple[int, int]] = []
        for bucket in grid.entries_by_bucket.irange(boundary):
            entries = grid.entries_by_bucket[bucket]
            start = bisect_left(entries, first)
            if bucket == boundary:
                for _, slot in entries[start : start + _BOUNDARY_SCAN]:
                    worker = by_slot[slot]
                    if worker.available_cores >= cores:
                        found.append(worker)
                rest = entries[start + _BOUNDARY_SCAN :]
            else:
                for _, slot in entries[start : start + limit - len(found)]:
                    found.append(by_slot[slot])
            if len(found) >= limit:
                return
        if not found:
            fitting = (by_slot[slot] for _, slot in rest if by_slot[slot].available_cores >= cores)
            found.extend(islice(fitting, limit))
