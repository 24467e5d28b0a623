"""Amounts and summaries as wire rows without field names, since heartbeats carry many."""

import msgspec

from galenastall.coordination.placement.placement_commands import CapacitySummary, LargestAmount
from galenastall.state.resources import Resources


class AmountRow(msgspec.Struct, frozen=True, array_like=True):
    """One amount of resources."""

    cores_milli: int
    memory_mb: int
    accelerators: int


class LargestAmountRow(msgspec.Struct, frozen=True, array_like=True):
    """The largest free amount by one resource: that resource, and the amount."""

    by: str
    free: AmountRow


class SummaryRow(msgspec.Struct, frozen=True, array_like=True):
    """A capacity summary."""

    workers: int
    capacity: AmountRow
    free: AmountRow
    holes: tuple[LargestAmountRow, ...]
    largest_worker: tuple[LargestAmountRow, ...]
    waiting_by_class: dict[str, int]
    running: int
    oldest_wait_s: float


def pack_amount(amount: Resources) -> AmountRow:
    """Return an amount as a row."""
    return AmountRow(amount.cores_milli, amount.memory_mb, amount.accelerators)


def unpack_amount(row: AmountRow) -> Resources:
    """Return the amount of a row."""
    return Resources(
        cores_milli=row.cores_milli, memory_mb=row.memory_mb, accelerators=row.accelerators
    )


def pack_summary(summary: CapacitySummary) -> SummaryRow:
    """Return a summary as a row."""
    return SummaryRow(
        summary.workers,
        pack_amount(summary.capacity),
        pack_amount(summary.free),
        tuple(_pack_largest(largest) for largest in summary.holes),
        tuple(_pack_largest(largest) for largest in summary.largest_worker),
        dict(summary.waiting_by_class),
        summary.running,
        round(summary.oldest_wait_s, 3),
    )


def unpack_summary(row: SummaryRow) -> CapacitySummary:
    """Return the summary of a row."""
    return CapacitySummary(
        workers=row.workers,
        capacity=unpack_amount(row.capacity),
        free=unpack_amount(row.free),
        holes=tuple(_unpack_largest(largest) for largest in row.holes),
        largest_worker=tuple(_unpack_largest(largest) for largest in row.largest_worker),
        waiting_by_class=row.waiting_by_class,
        running=row.running,
        oldest_wait_s=row.oldest_wait_s,
    )


def _pack_largest(largest: LargestAmount) -> LargestAmountRow:
    return LargestAmountRow(largest.by, pack_amount(largest.free))


def _unpack_largest(row: LargestAmountRow) -> LargestAmount:
    return LargestAmount(by=row.by, free=unpack_amount(row.free))
