"""Messages of the stand-in's control API."""

from dataclasses import dataclass
from typing import Final

from galenastall.standin.cuts import Cut
from galenastall.standin.executor_log import Execution, ExecutorCounters
from galenastall.standin.log import LogCounters
from galenastall.standin.run import RunRecord
from galenastall.standin.violations import Violation
from galenastall.state.hosts import HostState
from galenastall.state.ids import Offset, StreamName

ALL_HOSTS: Final = "all"
"""Selects every host of a kind, in place of a host id."""


@dataclass(frozen=True, kw_only=True, slots=True)
class StateMessage:
    """A change of a host's state in the list."""

    state: HostState


@dataclass(frozen=True, kw_only=True, slots=True)
class TrimMessage:
    """Drops a stream's records before an offset."""

    stream: StreamName
    before: Offset


@dataclass(frozen=True, kw_only=True, slots=True)
class CutsMessage:
    """The complete set of active network cuts."""

    cuts: tuple[Cut, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class StandinCounters:
    """Counters of the stand-ins since their start."""

    log: LogCounters
    worker_calls_by_host: dict[str, dict[str, int]]
    executors_by_host: dict[str, ExecutorCounters]
    runs: int
    """Task runs started on all workers."""
    running: int
    violations_by_kind: dict[str, int]


@dataclass(frozen=True, kw_only=True, slots=True)
class RunPage:
    """A page of task runs, in order of start."""

    records: tuple[RunRecord, ...]
    next: int
    """Position at which the next page starts."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ExecutionPage:
    """A page of executions, in order of arrival."""

    records: tuple[Execution, ...]
    next: int
    """Position at which the next page starts."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Repeats:
    """Run counts of requests and bodies that ran more than once on executors."""

    runs_by_request: dict[str, int]
    runs_by_body: dict[str, int]


@dataclass(frozen=True, kw_only=True, slots=True)
class ViolationReport:
    """Invariant violations: counts of all, and the first ones in full."""

    counts_by_kind: dict[str, int]
    kept: tuple[Violation, ...]
