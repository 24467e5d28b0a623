"""What a task really does on a stand-in worker, as its payload says."""

from typing import Final

import msgspec

from galenastall.state.work import TaskSpec, Workload

DEFAULT_RUN_S: Final = 1.0
"""Run time of a task that neither declares one nor carries it in its payload, in seconds."""


class TaskPayload(msgspec.Struct, frozen=True, kw_only=True):
    """Real behaviour of a task; what is absent follows the declared size."""

    run_s: float | None = None
    """Real run time in seconds; `inf` can't be written, leave it out for services."""
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
    """Return the payload's behaviour; text that isn't such a JSON object says nothing."""
    if not text:
        return _EMPTY_PAYLOAD
    try:
        return _decoder.decode(text)
    except msgspec.MsgspecError:
        return _EMPTY_PAYLOAD


def run_time_of(task: TaskSpec, payload: TaskPayload) -> float:
    """Return the real run time in seconds; infinite for services that don't say."""
    if payload.run_s is not None:
        return payload.run_s
    if task.run_s is not None:
        return task.run_s
    return float("inf") if task.workload is Workload.SERVICE else DEFAULT_RUN_S
