"""Durable rows of jobs: the definition, written once, and the progress, written at each change."""

from dataclasses import fields, is_dataclass
from typing import Any, Final

import msgspec

from galenastall.state.cell.hosts import MOVE_PREFIX, WAVE_PREFIX, MoveRow, WaveRow
from galenastall.state.cell.jobs import CellJob
from galenastall.state.cell.leases import (
    CLOCK_KEY,
    LEASES_PREFIX,
    UnresponsiveRow,
    decode_clock,
    decode_unresponsive,
)
from galenastall.state.cell.number_ranges import NumberRange
from galenastall.state.cell.phases import JobPhase, TaskPhase
from galenastall.state.cell.speeds import SPEEDS_PREFIX, SpeedsRow
from galenastall.state.cell.workspaces import NO_WORKSPACE

JOB_PREFIX: Final = "job/"
"""Key prefix of definitions; a definition is deleted when its job has ended."""
PROGRESS_PREFIX: Final = "run/"
"""Key prefix of progress; kept as long as callers may query an ended job."""


class _Prefix:
    """The prefixes as dotted names, which `match` compares by value instead of capturing."""

    JOB = JOB_PREFIX
    PROGRESS = PROGRESS_PREFIX
    WAVE = WAVE_PREFIX
    MOVE = MOVE_PREFIX
    SPEEDS = SPEEDS_PREFIX
    LEASES = LEASES_PREFIX


class TaskRow(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Progress of one task."""

    occurrence: int
    step: int
    index: int
    phase: TaskPhase
    run: int
    """Number of its last run; increases with each start."""
    executor_id: str = ""
    """Executor that has or may have its last run; empty unless assigned."""
    failures: int = 0
    """Runs that ended as failed."""
    checkpoint: str = ""
    crashes: int = 0
    """Number of executors that crashed while running it."""
    blame: int = 0
    """Share of these crashes that is attributed to the task."""
    unanswered_by: str = ""
    """Executor that left a start of its last run without an answer; empty if none did."""
    assigned_ms: int = 0
    """Time on the cell's clock at which its last run was assigned; 0 if unknown or not assigned."""
    is_suspect: bool | None = None
    """Whether its next run has to start in isolation; None in rows that do not state it."""


class GangRow(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Progress of one gang beside that of its tasks; omitted until one of its runs has failed."""

    occurrence: int
    step: int
    failed_run: int
    """Number of its last run that is counted in the failures of its tasks."""


class StallRow(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Stalls of one task; omitted for a task of which no run has stalled."""

    occurrence: int
    step: int
    index: int
    given_up_runs: int
    """Runs that were stopped as stalled; each doubles the stall timeout of the next run."""


class ProgressRow(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Progress of one job; tasks that never had a run are omitted."""

    phase: JobPhase
    queue_name: str
    has_started: bool = False
    occurrences_opened: int = 0
    done_occurrences: tuple[int, ...] = ()
    """Numbers of completed occurrences in rows of earlier versions; replaced by `done_ranges`."""
    ended_at: float = 0.0
    """Wall time in seconds of the job's end; 0 until then."""
    tasks: tuple[TaskRow, ...] = ()
    done_before: int = 0
    """All occurrences with lower numbers are done; they are in no other field."""
    workspace: str = NO_WORKSPACE
    """Owner of the job; kept here because the definition is deleted before this row."""
    gangs: tuple[GangRow, ...] = ()
    stalls: tuple[StallRow, ...] = ()
    done_ranges: tuple[NumberRange, ...] = ()
    """Numbers of further completed occurrences of a recurring job; their tasks are omitted."""


class Rows(msgspec.Struct, frozen=True, kw_only=True):
    """All rows in the store, decoded."""

    jobs_by_id: dict[str, CellJob]
    progress_by_id: dict[str, ProgressRow]
    waves: tuple[WaveRow, ...] = ()
    moves: tuple[MoveRow, ...] = ()
    speeds: SpeedsRow | None = None
    clock_ms: int | None = None
    """The cell's clock when the last leader stored it; None if none did."""
    unresponsive: tuple[UnresponsiveRow, ...] = ()
    unreadable: tuple[str, ...] = ()
    """Keys whose values could not be decoded."""


def encode_job(job: CellJob) -> bytes:
    """Return the value of a definition's key, without the fields that have their defaults."""
    return msgspec.msgpack.encode(_without_defaults(job))


def _without_defaults(value: Any) -> Any:
    if is_dataclass(value):
        names_and_defaults = ((field.name, field.default) for field in fields(value))
        found = ((name, getattr(value, name), default) for name, default in names_and_defaults)
        return {name: _without_defaults(each) for name, each, default in found if each != default}
    if isinstance(value, tuple):
        return [_without_defaults(each) for each in value]
    return value


def encode_progress(row: ProgressRow) -> bytes:
    """Return the value of a progress key."""
    return msgspec.msgpack.encode(row)


def decode_rows(values_by_key: dict[str, bytes]) -> Rows:
    """Return the decoded rows; keys that cannot be decoded are listed in `unreadable`."""
    jobs_by_id: dict[str, CellJob] = {}
    progress_by_id: dict[str, ProgressRow] = {}
    waves: list[WaveRow] = []
    moves: list[MoveRow] = []
    speeds: SpeedsRow | None = None
    clock_ms: int | None = None
    unresponsive: tuple[UnresponsiveRow, ...] = ()
    unreadable: list[str] = []
    for key, value in values_by_key.items():
        prefix, _, name = key.partition("/")
        try:
            match f"{prefix}/":
                case _Prefix.JOB:
                    job = msgspec.msgpack.decode(value, type=CellJob)
                    jobs_by_id[job.job_id] = job
                case _Prefix.PROGRESS:
                    progress_by_id[name] = msgspec.msgpack.decode(value, type=ProgressRow)
                case _Prefix.WAVE:
                    waves.append(msgspec.msgpack.decode(value, type=WaveRow))
                case _Prefix.MOVE:
                    moves.append(msgspec.msgpack.decode(value, type=MoveRow))
                case _Prefix.SPEEDS:
                    speeds = msgspec.msgpack.decode(value, type=SpeedsRow)
                case _Prefix.LEASES if key == CLOCK_KEY:
                    clock_ms = decode_clock(value)
                case _Prefix.LEASES:
                    unresponsive = decode_unresponsive(value)
        except msgspec.MsgspecError:
            unreadable.append(key)
    return Rows(
        jobs_by_id=jobs_by_id,
        progress_by_id=progress_by_id,
        waves=tuple(waves),
        moves=tuple(moves),
        speeds=speeds,
        clock_ms=clock_ms,
        unresponsive=unresponsive,
        unreadable=tuple(unreadable),
    )
