"""Identifiers: plain strings and numbers, each with a distinct type."""

from enum import StrEnum
from typing import NewType

HostId = NewType("HostId", str)
"""An entry host, worker or upstream, as the platform's list names it."""
Incarnation = NewType("Incarnation", str)
"""Identifies one run of an entry host's process; a restarted process has a new one."""
DataCentre = NewType("DataCentre", str)
TeamPath = NewType("TeamPath", str)
"""A team, as a slash-separated path in the shared tree, for example `board/packs`."""
JobId = NewType("JobId", str)
TaskId = NewType("TaskId", str)
"""`<job id>/<index>`."""
RequestId = NewType("RequestId", str)
AttemptId = NewType("AttemptId", str)
"""`<request id>#<attempt>`, unique for each attempt."""
ChangeId = NewType("ChangeId", str)
RecordId = NewType("RecordId", str)
"""Chosen by the writer, so that a repeated append can be detected."""
StreamName = NewType("StreamName", str)
"""A stream of the platform's log."""
Offset = NewType("Offset", int)
"""Position of a record in its stream."""
Epoch = NewType("Epoch", int)
"""Fencing number of an owner: the offset of its claim."""
OwnableId = NewType("OwnableId", str)
"""`<kind>/<name>` of something that has at most one owner at a time."""

SETTINGS_STREAM = StreamName("settings")
"""Stream of the shared settings tree, followed by every entry host."""


class OwnableKind(StrEnum):
    """Kinds of ownables."""

    WORKER = "worker"
    UPSTREAM = "upstream"
    KEYS = "keys"
    """A shard of idempotency keys."""
    JOBS = "jobs"
    """A shard of jobs."""


def make_ownable_id(kind: OwnableKind, name: str) -> OwnableId:
    """Return the id of the ownable of this kind and name."""
    return OwnableId(f"{kind.value}/{name}")


def split_ownable_id(ownable: OwnableId) -> tuple[OwnableKind, str]:
    """Return kind and name; raises ValueError for a malformed id."""
    kind, _, name = ownable.partition("/")
    return OwnableKind(kind), name


def data_centre_stream(data_centre: DataCentre) -> StreamName:
    """Return the stream that carries a data centre's ownership, jobs and keys."""
    return StreamName(f"data-centre.{data_centre}")


def make_task_id(job: JobId, index: int) -> TaskId:
    """Return the id of a job's task."""
    return TaskId(f"{job}/{index}")


def job_of_task(subject: str) -> JobId | None:
    """Return the job of a task's id, or None if `subject` is not a task id."""
    job, _, index = subject.rpartition("/")
    return JobId(job) if job and index.isdecimal() else None


def split_task_id(task: TaskId) -> tuple[JobId, int]:
    """Return the job and the index of a task."""
    job, _, index = task.rpartition("/")
    return JobId(job), int(index)
