"""Orders to hosts, and their outcomes."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Generic, TypeVar

K = TypeVar("K", int, str)


class HostOutcome(StrEnum):
    """Outcome of an order to a host."""

    DONE = "done"
    """Carried out, by this order or an earlier one."""
    NOT_POSSIBLE = "not_possible"
    """There is no such host, or the order does not apply to it."""
    BUSY = "busy"
    """The host is not up, or is leaving."""
    UNKNOWN = "unknown"
    """No answer: it may have been carried out, or may still be."""


@dataclass(frozen=True, kw_only=True, slots=True)
class HostOrder:
    """An order to take a host down for a maintenance wave or move it to a pool; idempotent."""

    host: str
    wave: int = 0
    """0 for a move."""
    pool: str = ""
    """Empty for maintenance."""


class WriteAhead(Generic[K]):
    """Keys with rows to write, and the orders to send once those rows are durable."""

    def __init__(self) -> None:
        """Start with nothing to write."""
        self._keys: set[K] = set()
        self._orders: list[HostOrder] = []

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to write."""
        return not self._keys

    def mark(self, key: K, order: HostOrder | None = None) -> None:
        """Schedule a write of a key's row, and optionally an order to send after it."""
        self._keys.add(key)
        if order is not None:
            self._orders.append(order)

    def take_keys(self) -> list[K]:
        """Return and clear the keys to write."""
        keys = sorted(self._keys)
        self._keys.clear()
        return keys

    def take_orders(self) -> tuple[HostOrder, ...]:
        """Return and clear the orders that depend on the last keys taken."""
        orders, self._orders = tuple(self._orders), []
        return orders
