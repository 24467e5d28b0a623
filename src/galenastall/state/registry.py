"""Registries that decorators fill, for behaviour and types that vary by name."""

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

from galenastall.state.errors import UnknownNameError

T = TypeVar("T")


class Registry(Generic[T]):
    """Named entries of one kind, filled by a decorator when their module is imported."""

    def __init__(self, *, kind: str) -> None:
        """Create an empty registry; `kind` names its entries in error messages."""
        self._kind = kind
        self._entries_by_name: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that registers its target under `name`.

        Raises ValueError if another module already registered the name.
        """

        def add(entry: T) -> T:
            if name in self._entries_by_name:
                raise ValueError(f"{self._kind} {name!r} is registered twice")
            self._entries_by_name[name] = entry
            return entry

        return add

    def get(self, name: str) -> T:
        """Return the entry registered as `name`; raises UnknownNameError if there is none."""
        try:
            return self._entries_by_name[name]
        except KeyError:
            raise UnknownNameError(
                kind=self._kind, name=name, allowed=tuple(sorted(self._entries_by_name))
            ) from None

    def names(self) -> tuple[str, ...]:
        """Return all names in sorted order."""
        return tuple(sorted(self._entries_by_name))

    def __iter__(self) -> Iterator[tuple[str, T]]:
        return iter(sorted(self._entries_by_name.items()))

    def __contains__(self, name: object) -> bool:
        return name in self._entries_by_name
