"""Executor ids.

An executor may restart under its previous name, without any of its earlier runs or state. Each
incarnation therefore has its own id: the platform's name of the executor and its start time.
"""

from typing import Final

from galenastall.state.decoding import parse_whole

_SEPARATOR: Final = "@"


def make_executor_id(name: str, started_at_ms: int | None) -> str:
    """Return the id of an incarnation; `started_at_ms` is milliseconds since 1970, None if unknown.

    Different names and times give different ids, whatever characters a name contains.
    """
    if started_at_ms is None and _SEPARATOR not in name:
        return name
    return f"{name}{_SEPARATOR}{'' if started_at_ms is None else started_at_ms}"


def executor_name(executor_id: str) -> str:
    """Return the platform's name of an executor, which all its incarnations share."""
    name, separator, _ = executor_id.rpartition(_SEPARATOR)
    return name if separator else executor_id


def started_at_ms_of(executor_id: str) -> int | None:
    """Return the start time of an incarnation in milliseconds since 1970; None if unknown."""
    _, separator, started_at_ms = executor_id.rpartition(_SEPARATOR)
    return parse_whole(started_at_ms) if separator else None
