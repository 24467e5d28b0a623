"""Amounts of processor, memory and accelerators, exact in integer units."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True, order=False)
class Resources:
    """An amount of each resource; all integers, so that sums are exact."""

    cores_milli: int = 0
    """Thousandths of a processor core."""
    memory_mb: int = 0
    """Mebibytes."""
    accelerators: int = 0
    """Whole accelerators."""

    def __add__(self, other: "Resources") -> "Resources":
        return Resources(
            cores_milli=self.cores_milli + other.cores_milli,
            memory_mb=self.memory_mb + other.memory_mb,
            accelerators=self.accelerators + other.accelerators,
        )

    def __sub__(self, other: "Resources") -> "Resources":
        return Resources(
            cores_milli=self.cores_milli - other.cores_milli,
            memory_mb=self.memory_mb - other.memory_mb,
            accelerators=self.accelerators - other.accelerators,
        )

    def times(self, count: int) -> "Resources":
        """Return `count` times the amount."""
        return Resources(
            cores_milli=self.cores_milli * count,
            memory_mb=self.memory_mb * count,
            accelerators=self.accelerators * count,
        )

    def fits_in(self, available: "Resources") -> bool:
        """Return whether `available` has at least this much of each resource."""
        return (
            self.cores_milli <= available.cores_milli
            and self.memory_mb <= available.memory_mb
            and self.accelerators <= available.accelerators
        )

    def count_in(self, available: "Resources", limit: int) -> int:
        """Return how many times this amount fits into `available`, at most `limit`."""
        count = limit
        if self.cores_milli:
            count = min(count, available.cores_milli // self.cores_milli)
        if self.memory_mb:
            count = min(count, available.memory_mb // self.memory_mb)
        if self.accelerators:
            count = min(count, available.accelerators // self.accelerators)
        return max(count, 0)

    def is_negative(self) -> bool:
        """Return whether any amount is below zero."""
        return self.cores_milli < 0 or self.memory_mb < 0 or self.accelerators < 0

    def at_least(self, other: "Resources") -> "Resources":
        """Return the larger of the two amounts for each resource."""
        return Resources(
            cores_milli=max(self.cores_milli, other.cores_milli),
            memory_mb=max(self.memory_mb, other.memory_mb),
            accelerators=max(self.accelerators, other.accelerators),
        )

    def dominant_share(self, total: "Resources") -> float:
        """Return the largest share of `total` over the resources, 0 to 1."""
        shares = (
            self.cores_milli / total.cores_milli if total.cores_milli else 0.0,
            self.memory_mb / total.memory_mb if total.memory_mb else 0.0,
            self.accelerators / total.accelerators if total.accelerators else 0.0,
        )
        return max(shares)


NOTHING = Resources()
"""The empty amount."""
