"""Sets of whole numbers that mostly follow each other, kept as ranges."""

from bisect import bisect_right
from collections.abc import Iterable, Iterator

NumberRange = tuple[int, int]
"""The numbers from the first one to the last one, both included."""


class NumberRanges:
    """A set of whole numbers; its size in memory is that of its ranges."""

    def __init__(self, ranges: Iterable[NumberRange] = ()) -> None:
        """Create a set of ascending ranges that neither overlap nor touch."""
        self._firsts: list[int] = []
        self._lasts: list[int] = []
        for first, last in ranges:
            self._firsts.append(first)
            self._lasts.append(last)

    def __contains__(self, number: int) -> bool:
        index = bisect_right(self._firsts, number) - 1
        return index >= 0 and number <= self._lasts[index]

    def __iter__(self) -> Iterator[NumberRange]:
        yield from zip(self._firsts, self._lasts, strict=True)

    def add(self, number: int) -> None:
        """Add one number."""
        if number in self:
            return
        index = bisect_right(self._firsts, number)
        touches_left = index > 0 and self._lasts[index - 1] == number - 1
        touches_right = index < len(self._firsts) and self._firsts[index] == number + 1
        if touches_left and touches_right:
            self._lasts[index - 1] = self._lasts.pop(index)
            del self._firsts[index]
        elif touches_left:
            self._lasts[index - 1] = number
        elif touches_right:
            self._firsts[index] = number
        else:
            self._firsts.insert(index, number)
            self._lasts.insert(index, number)

    def missing_below(self, end: int) -> Iterator[int]:
        """Yield the numbers from 0 up to `end`, without it, that are not in the set."""
        begin = 0
        for first, last in self:
            yield from range(begin, min(first, end))
            begin = last + 1
        yield from range(begin, end)
