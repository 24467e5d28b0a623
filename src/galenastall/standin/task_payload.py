"""Simulated behaviour of a task on a stand-in worker, read from its payload."""

from typing import Final

import msgspec

from galenastall.state.work import TaskSpec, Workload

DEFAULT_RUN_S: Final = 1.0
"""Run time, in seconds, of a task that sets none in its declaration or its payload."""


class TaskPayload(msgspec.Struct, frozen=True, kw_only=True):
    """Real behaviour of a task; absent fields default to the declared size."""

    run_s: float | None = None
    """Real run time in seconds; omitted for services, as JSON has no `inf`."""
    peak_mb: int | None = None
    cores_milli: int | None = None
    accelerators: int | None = None
    ramp_s: float = 0.0
    """Seconds of run time over which memory grows from nothing to its peak."""
    fail: bool = False
    """Whether the run ends as failed."""


_decoder = msgspec.json.Decoder(TaskPayload)
_EMPTY_PAYLOAD: Final = TaskPayload()


def read_payload(text: str) -> TaskPayload:
    """Parse a payload; text that isn't a matching JSON object gives the defaults."""
    if not text:
        return _EMPTY_PAYLOAD
    try:
        return _decoder.decode(text)
    except msgspec.MsgspecError:
        return _EMPTY_PAYLOAD


def run_time_of(task: TaskSpec, payload: TaskPayload) -> float:
    """Return the real run time in seconds; infinite for services that set none."""
    if payload.run_s is not None:
        return payload.run_s
    if task.run_s is not None:
        return task.run_s
    return float("inf") if task.workload is Workload.SERVICE else DEFAULT_RUN_S
