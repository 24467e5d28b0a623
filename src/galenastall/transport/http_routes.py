"""Routes of handler objects: a decorator declares them, a table looks them up."""

from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from typing import Any, Final, TypeVar
from urllib.parse import unquote

from galenastall.transport.http_messages import HttpRequest, HttpResponse

Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]
M = TypeVar("M", bound=Callable[..., Awaitable[HttpResponse]])

_ROUTE_ATTRIBUTE: Final = "_galenastall_routes"


def route(method: str, template: str) -> Callable[[M], M]:
    """Mark an async method as the handler of `method` and the path `template`.

    `{name}` stands for one segment, `{name*}` at the end for the rest of the path.
    """

    def mark(function: M) -> M:
        marks = [*getattr(function, _ROUTE_ATTRIBUTE, []), (method, template)]
        setattr(function, _ROUTE_ATTRIBUTE, marks)
        return function

    return mark


@dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """A handler and the path template that it serves."""

    method: str
    template: str
    handler: Handler
    segments: tuple[str, ...]

    def match(self, parts: list[str]) -> dict[str, str] | None:
        """Return the decoded placeholders, or None if the path does not match."""
        params: dict[str, str] = {}
        for index, segment in enumerate(self.segments):
            if segment.endswith("*}"):
                params[segment[1:-2]] = unquote("/".join(parts[index:]))
                return params
            if index >= len(parts):
                return None
            if segment.startswith("{"):
                params[segment[1:-1]] = unquote(parts[index])
            elif segment != parts[index]:
                return None
        return params if len(parts) == len(self.segments) else None


class RouteTable:
    """All routes of a server; paths without placeholders take one dictionary lookup."""

    def __init__(self, *, handlers: Iterable[object]) -> None:
        """Collect the marked methods; raises ValueError if two declare the same route."""
        self._fixed_by_key: dict[tuple[str, str], Route] = {}
        self._templated: list[Route] = []
        templates: set[tuple[str, str]] = set()
        for handler in handlers:
            for found in _routes_of(handler):
                key = (found.method, found.template)
                if key in templates:
                    raise ValueError(f"route {found.method} {found.template} is claimed twice")
                templates.add(key)
                self._add(found)

    def _add(self, found: Route) -> None:
        if "{" in found.template:
            self._templated.append(found)
        else:
            self._fixed_by_key[found.method, found.template] = found

    def find(self, method: str, path: str) -> tuple[Route, dict[str, str]] | None:
        """Return the route and its placeholders, or None."""
        if fixed := self._fixed_by_key.get((method, path)):
            return fixed, {}
        parts = path.split("/")
        for candidate in self._templated:
            if candidate.method != method:
                continue
            params = candidate.match(parts)
            if params is not None:
                return candidate, params
        return None

    def allowed_methods(self, path: str) -> tuple[str, ...]:
        """Return the methods that this path supports, in sorted order."""
        parts = path.split("/")
        fixed = {method for method, known in self._fixed_by_key if known == path}
        matching = {found.method for found in self._templated if found.match(parts) is not None}
        return tuple(sorted(fixed | matching))


def _routes_of(handler: object) -> Iterable[Route]:
    for name in dir(type(handler)):
        marks: list[tuple[str, str]] = getattr(
            getattr(type(handler), name, None), _ROUTE_ATTRIBUTE, []
        )
        for method, template in marks:
            bound: Any = getattr(handler, name)
            segments = tuple(template.split("/"))
            yield Route(method=method, template=template, handler=bound, segments=segments)
