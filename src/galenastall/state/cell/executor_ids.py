"""Ids of executors.

An executor may start again under the name that it had. It then holds and knows nothing of before,
so it has an id of its own: the platform's name of it, and the time of its start.
"""

from typing import Final

_SEPARATOR: Final = "@"


def make_executor_id(name: str, started_at_ms: int | None) -> str:
    """Return the id of the incarnation born at `born_ms` since 1970; None where that is not known.

    Different names and times give different ids, whatever characters a name holds.
    """
    if started_at_ms is None and _SEPARATOR not in name:
        return name
    return f"{name}{_SEPARATOR}{'' if started_at_ms is None else started_at_ms}"


def executor_name(executor_id: str) -> str:
    """Return what the platform calls an executor in all of its incarnations."""
    name, separator, _ = executor_id.rpartition(_SEPARATOR)
    return name if separator else executor_id


def started_at_ms_of(executor_id: str) -> int | None:
    """Return when an incarnation was born, in milliseconds since 1970; None if not told."""
    _, separator, started_at_ms = executor_id.rpartition(_SEPARATOR)
    return int(started_at_ms) if separator and started_at_ms else None
