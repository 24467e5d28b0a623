"""Durable rows of a job: its definition, written once, and its progress, written at each change."""

from typing import Final

import msgspec

from galenastall.state.cell.hosts import MOVE_PREFIX, WAVE_PREFIX, MoveRow, WaveRow
from galenastall.state.cell.jobs import CellJob
from galenastall.state.cell.phases import JobPhase, TaskPhase
from galenastall.state.cell.workspaces import NO_WORKSPACE

JOB_PREFIX: Final = "job/"
"""Keys of definitions; dropped when the job has ended."""
PROGRESS_PREFIX: Final = "run/"
"""Keys of progress; kept for as long as callers may ask for an ended job."""


class _Prefix:
    """The prefixes as names that a match can compare with."""

    JOB = JOB_PREFIX
    PROGRESS = PROGRESS_PREFIX
    WAVE = WAVE_PREFIX
    MOVE = MOVE_PREFIX


class TaskRow(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Progress of one task."""

    occurrence: int
    step: int
    index: int
    phase: TaskPhase
    run: int
    """Number of its last run; rises with each start."""
    executor_id: str = ""
    """Where its last run is, or may be; empty unless assigned."""
    failures: int = 0
    """Runs that ended as failed."""
    checkpoint: str = ""
    crashes: int = 0
    """Executors that have crashed under it."""
    blame: int = 0
    """How much of these crashes is put down to it."""


class ProgressRow(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Progress of one job; tasks that never had a run are left out."""

    phase: JobPhase
    queue_name: str
    has_started: bool = False
    occurrences_opened: int = 0
    done_occurrences: tuple[int, ...] = ()
    """Numbers of a timed job's other occurrences that are done; their tasks are left out."""
    ended_at: float = 0.0
    """Wall time in seconds of its end; 0 while it goes on."""
    tasks: tuple[TaskRow, ...] = ()
    done_before: int = 0
    """All occurrences with lower numbers are done; they are not named one by one."""
    workspace: str = NO_WORKSPACE
    """Owner of the job; its definition is dropped before this row."""


class Rows(msgspec.Struct, frozen=True, kw_only=True):
    """Everything that the store keeps about jobs."""

    jobs_by_id: dict[str, CellJob]
    progress_by_id: dict[str, ProgressRow]
    waves: tuple[WaveRow, ...] = ()
    moves: tuple[MoveRow, ...] = ()
    unreadable: tuple[str, ...] = ()
    """Keys whose values could not be decoded."""


def encode_job(job: CellJob) -> bytes:
    """Return the value of a definition's key."""
    return msgspec.msgpack.encode(job)


def encode_progress(row: ProgressRow) -> bytes:
    """Return the value of a progress key."""
    return msgspec.msgpack.encode(row)


def decode_rows(values_by_key: dict[str, bytes]) -> Rows:
    """Return the typed rows; what can't be read is named, not dropped in silence."""
    jobs_by_id: dict[str, CellJob] = {}
    progress_by_id: dict[str, ProgressRow] = {}
    waves: list[WaveRow] = []
    moves: list[MoveRow] = []
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
        except msgspec.MsgspecError:
            unreadable.append(key)
    return Rows(
        jobs_by_id=jobs_by_id,
        progress_by_id=progress_by_id,
        waves=tuple(waves),
        moves=tuple(moves),
        unreadable=tuple(unreadable),
    )
