"""Decodes the job submissions of the platform's callers into internal types."""

import re
from dataclasses import replace
from typing import Annotated, Final

import msgspec
from msgspec import Meta
from returns.result import Failure, Result, Success

from galenastall.state.cell.job_limits import MAX_TASKS
from galenastall.state.cell.jobs import CellJob, Queue, Recurrence, Step
from galenastall.state.cell.workspaces import NO_WORKSPACE
from galenastall.state.decoding import MAX_WHOLE, Amount, Finite, Quantity, Whole
from galenastall.state.errors import Reason, StepError
from galenastall.state.resources import Resources
from galenastall.transport.http_json import decode_json

PAYLOAD_LIMIT_BYTES: Final = 4_000
"""Longest specification, as defined by the platform."""
MAX_REPETITIONS: Final = 1_000_000
"""Occurrences of one job: one each second for eleven days."""
STEP_BYTES: Final = 640
"""Memory that a decoded step takes."""
_STEP: Final = "job.decode"
_TEXTS: Final = re.compile(rb'"(?:[^"\\]++|\\.)*+(?:"|\\?\Z)', re.DOTALL)
"""JSON texts, and one without its end: a search that fails would begin again at each quote."""
_Name = Annotated[str, Meta(max_length=1_000)]
"""A label, rack or image, none of which is nearly as long."""
_Integer = Annotated[int, Meta(ge=-MAX_WHOLE, le=MAX_WHOLE)]
_FIELD_ERROR: Final = re.compile(
    r"(?P<problem>.+?)(?:, got `\w+`)? - at `\$\.?(?P<path>[^`]*)`(?: \(value (?P<value>.*)\))?",
    re.DOTALL,
)
"""The decoder's message about one field, with the field's value if it can be shown."""
_BOUND: Final = re.compile(r"`(?:int|float)` (?P<sign>[<>]=) (?P<limit>[-+.\de]+)")


class WireStep(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """One step; callers omit fields that are 0, false or empty."""

    count: Whole = 0
    cpu: Amount = 0
    """Thousandths of a core."""
    memory_request_mb: Amount = 0
    gpus: Amount = 0
    estimated_ms: Quantity = 0.0
    after: list[Whole] = []
    gang_scheduled: bool = False
    same_rack: bool = False
    requirements: _Name = ""
    """One label that the executor must have."""
    data_rack: _Name = ""
    anti_affinity: Whole = 0
    """Most tasks of the step on one executor."""
    checkpointing: bool = False
    long_running: bool = False
    image: _Name = ""
    target_ms: Quantity = 0.0
    fills: bool = False
    allow_miss: Whole = 0

    def to_step(self) -> Step:
        """Convert to the internal type; no CPU is reserved for a filler task."""
        need = Resources(
            cores_milli=0 if self.fills else self.cpu,
            memory_mb=self.memory_request_mb,
            accelerators=self.gpus,
        )
        return Step(
            count=self.count,
            need=need,
            estimate_s=self.estimated_ms / 1000.0,
            after=tuple(dict.fromkeys(self.after)),
            is_gang=self.gang_scheduled,
            wants_one_rack=self.same_rack,
            label=self.requirements,
            data_rack=self.data_rack,
            most_per_executor=self.anti_affinity,
            is_checkpointing=self.checkpointing,
            is_long_running=self.long_running,
            is_filler=self.fills,
            image=self.image,
            tail_target_ms=int(self.target_ms),
            most_unavailable=self.allow_miss,
        )


class WireJob(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """A submission's body."""

    specification: str = ""
    steps: list[WireStep] = []
    repetitions: _Integer = 0
    first_run_ms: Finite = 0.0
    """Wall time of the first occurrence."""
    interval_ms: Finite = 0.0

    def recurrence(self) -> Recurrence | None:
        """Return when its steps run again; None for a job that runs once."""
        if self.repetitions <= 0:
            return None
        return Recurrence(
            first_due=self.first_run_ms / 1000.0,
            interval_s=self.interval_ms / 1000.0,
            times=self.repetitions,
        )


def count_objects(body: bytes) -> int:
    """Return how many JSON objects a body contains at most, without decoding it."""
    count = body.count(b"{")
    # Braces in texts are no objects, but removing the texts takes time.
    return count if count <= MAX_TASKS + 1 else _TEXTS.sub(b"", body).count(b"{")


def decoded_bytes(body: bytes) -> int:
    """Return about how much memory a decoded body takes."""
    return 2 * len(body) + min(count_objects(body), MAX_TASKS) * STEP_BYTES


def decode_job(
    body: bytes,
    *,
    job_id: str,
    queue: Queue,
    wall: float,
    peer: str,
    workspace: str = NO_WORKSPACE,
) -> Result[CellJob, StepError]:
    """Return the typed job, or INVALID naming the field and its value."""
    objects = count_objects(body)
    if objects > MAX_TASKS + 1:
        detail = f"body: at most {MAX_TASKS + 1} objects, got {objects}"
        return Failure(StepError(step=_STEP, peer=peer, reason=Reason.INVALID, detail=detail))
    decoded = decode_json(body, WireJob, step=_STEP, peer=peer)
    if isinstance(decoded, Failure):
        error = decoded.failure()
        return Failure(replace(error, detail=_described(error.detail)))
    wire = decoded.unwrap()
    problem = _problem_of(wire)
    if problem:
        return Failure(StepError(step=_STEP, peer=peer, reason=Reason.INVALID, detail=problem))
    return Success(
        CellJob(
            job_id=job_id,
            queue=queue,
            payload=wire.specification,
            steps=tuple(step.to_step() for step in wire.steps),
            recurrence=wire.recurrence(),
            submitted_at=wall,
            workspace=workspace,
        )
    )


def _described(message: str) -> str:
    """Return the decoder's message in the form `field: expected ..., got ...`."""
    found = _FIELD_ERROR.fullmatch(message)
    if found is None:
        return message
    problem = _BOUND.sub(_bound_text, found["problem"])
    got = "" if found["value"] is None else f", got {found['value']}"
    return f"{found['path'] or 'body'}: {problem[:1].lower()}{problem[1:]}{got}"


def _bound_text(bound: re.Match[str]) -> str:
    return f"{float(bound['limit']):.0f} or {'more' if bound['sign'] == '>=' else 'less'}"


def _problem_of(wire: WireJob) -> str:
    if len(wire.specification.encode()) > PAYLOAD_LIMIT_BYTES:
        size = len(wire.specification.encode())
        return f"specification: at most {PAYLOAD_LIMIT_BYTES} bytes, got {size}"
    if not wire.steps:
        return "steps: expected at least one, got []"
    if wire.repetitions > MAX_REPETITIONS:
        return f"repetitions: at most {MAX_REPETITIONS}, got {wire.repetitions}"
    if wire.repetitions > 0 and wire.interval_ms < 0:
        return f"intervalMs: expected 0 or more, got {wire.interval_ms}"
    for index, step in enumerate(wire.steps):
        problem = _problem_of_step(step, index)
        if problem:
            return f"steps[{index}].{problem}"
    tasks = sum(step.count for step in wire.steps)
    if tasks > MAX_TASKS:
        return f"steps: at most {MAX_TASKS} tasks together, got {tasks}"
    return ""


def _problem_of_step(step: WireStep, index: int) -> str:
    if not 1 <= step.count <= MAX_TASKS:
        return f"count: expected 1 to {MAX_TASKS}, got {step.count}"
    for earlier in step.after:
        if not 0 <= earlier < index:
            return f"after: expected numbers of earlier steps, got {earlier}"
    return ""
