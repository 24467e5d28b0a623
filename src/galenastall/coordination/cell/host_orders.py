"""Orders to hosts, and what becomes of them."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Generic, TypeVar

K = TypeVar("K", int, str)


class HostOutcome(StrEnum):
    """What became of an order to a host."""

    DONE = "done"
    """Now or before."""
    NOT_POSSIBLE = "not_possible"
    """There is no such host, or the order does not fit it."""
    BUSY = "busy"
    """It is not up, or leaves."""
    UNKNOWN = "unknown"
    """No answer: it may have been carried out, or may be later."""


@dataclass(frozen=True, kw_only=True, slots=True)
class HostOrder:
    """Take a host down for a wave of maintenance, or move it to a pool; repeating does no harm."""

    host: str
    wave: int = 0
    """0 for a move."""
    pool: str = ""
    """Empty for maintenance."""


class WriteAhead(Generic[K]):
    """Keys whose rows are to be written, and the orders that leave once they are."""

    def __init__(self) -> None:
        """Create one with nothing to write."""
        self._keys: set[K] = set()
        self._orders: list[HostOrder] = []

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to write."""
        return not self._keys

    def mark(self, key: K, order: HostOrder | None = None) -> None:
        """Have a key's row written, and an order sent after it."""
        self._keys.add(key)
        if order is not None:
            self._orders.append(order)

    def take_keys(self) -> list[K]:
        """Return and forget the keys to write."""
        keys = sorted(self._keys)
        self._keys.clear()
        return keys

    def take_orders(self) -> tuple[HostOrder, ...]:
        """Return and forget the orders that belong to the keys taken last."""
        orders, self._orders = tuple(self._orders), []
        return orders
