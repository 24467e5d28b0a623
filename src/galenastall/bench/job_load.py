"""Submit jobs at drawn times, cancel some, follow them to their end, and keep what was said."""

import random
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any, Final

import msgspec
import trio
from returns.result import Failure, Result

from galenastall.bench.fleet import EntryHost, Fleet
from galenastall.bench.mixes import JobArrival
from galenastall.proof.history import (
    HistoryRecorder,
    JobAccepted,
    JobCancelled,
    JobEnded,
    JobSeen,
)
from galenastall.standin.task_payload import TaskPayload
from galenastall.state.errors import StepError
from galenastall.state.ids import JobId
from galenastall.state.work import JobSpec
from galenastall.transport.http_client import BufferedResponse

SUBMIT_TRIES: Final = 8
RETRY_S: Final = 0.5
POLL_EVERY_S: Final = 1.0
CALL_TIMEOUT_S: Final = 10.0
OK: Final = 200
CREATED: Final = 201
FORBIDDEN: Final = 403
NOT_FOUND: Final = 404
LIVE: Final = "live"


@dataclass(frozen=True, kw_only=True, slots=True)
class Cancellation:
    """A job to cancel and when, in seconds from the load's start."""

    job_id: JobId
    after_s: float


@dataclass(kw_only=True, slots=True)
class JobTally:
    """What became of the jobs."""

    accepted_at_by_id: dict[JobId, float] = field(default_factory=dict)
    due_at_by_id: dict[JobId, float] = field(default_factory=dict)
    data_centre_by_id: dict[JobId, str] = field(default_factory=dict)
    ended: dict[JobId, str] = field(default_factory=dict)
    refusals: Counter[str] = field(default_factory=Counter)
    unknown: int = 0
    """Submissions without any answer: nobody was promised anything."""

    def open_jobs(self) -> list[JobId]:
        """Return accepted jobs whose end was not seen."""
        return [job_id for job_id in self.accepted_at_by_id if job_id not in self.ended]


class JobLoad:
    """One run of job arrivals against a fleet."""

    def __init__(
        self,
        *,
        fleet: Fleet,
        recorder: HistoryRecorder,
        arrivals: Iterable[JobArrival],
        cancellations: Iterable[Cancellation] = (),
        rng: random.Random,
    ) -> None:
        """Prepare; `run` starts the clock."""
        self._fleet = fleet
        self._recorder = recorder
        self._arrivals = tuple(arrivals)
        self._cancellations = tuple(cancellations)
        self._rng = rng
        self.tally = JobTally()

    async def run(self, *, settle_s: float) -> JobTally:
        """Submit everything, then wait until all jobs ended, at most `settle_s` longer."""
        began = trio.current_time()
        async with trio.open_nursery() as nursery:
            for cancellation in self._cancellations:
                nursery.start_soon(self._cancel, cancellation, began)
            for arrival in self._arrivals:
                await trio.sleep_until(began + arrival.after_s)
                nursery.start_soon(self._submit, arrival)
        with trio.move_on_after(settle_s):
            while self.tally.open_jobs():
                await self._poll_all()
                await trio.sleep(POLL_EVERY_S)
        await self._poll_all()
        return self.tally

    async def _submit(self, arrival: JobArrival) -> None:
        """Submit until answered, in one data centre, since elsewhere it would be another job."""
        due = self._fleet.clock.wall()
        data_centre = self._rng.choice(tuple(self._fleet.plan.entry_hosts_by_data_centre))
        for _ in range(SUBMIT_TRIES):
            answered = await self._call("POST", data_centre, "/v1/jobs", _message(arrival))
            if isinstance(answered, Failure):
                await trio.sleep(RETRY_S)
                continue
            answer = answered.unwrap()
            if answer.status in (OK, CREATED):
                self._accepted(arrival.spec, data_centre, due)
                return
            if answer.status == FORBIDDEN:
                self.tally.refusals["can never run"] += 1
                return
            self.tally.refusals[f"status {answer.status}"] += 1
            await trio.sleep(RETRY_S)
        self.tally.unknown += 1

    def _accepted(self, spec: JobSpec, data_centre: str, due: float) -> None:
        now, job_id = self._fleet.clock.wall(), spec.job_id
        self.tally.accepted_at_by_id[job_id] = now
        self.tally.due_at_by_id[job_id] = due
        self.tally.data_centre_by_id[job_id] = data_centre
        event = JobAccepted(at=now, job_id=job_id, idempotent=spec.idempotent)
        self._recorder.record(event)

    async def _cancel(self, cancellation: Cancellation, began: float) -> None:
        await trio.sleep_until(began + cancellation.after_s)
        job_id = cancellation.job_id
        data_centre = self.tally.data_centre_by_id.get(job_id)
        if data_centre is None:
            return
        answered = await self._call("POST", data_centre, f"/v1/jobs/{job_id}/cancel", {})
        if not isinstance(answered, Failure) and answered.unwrap().status == OK:
            event = JobCancelled(at=self._fleet.clock.wall(), job_id=job_id)
            self._recorder.record(event)

    async def _poll_all(self) -> None:
        for job_id in self.tally.open_jobs():
            await self._poll(job_id)

    async def _poll(self, job_id: JobId) -> None:
        data_centre = self.tally.data_centre_by_id[job_id]
        answered = await self._call("GET", data_centre, f"/v1/jobs/{job_id}")
        if isinstance(answered, Failure):
            return
        answer, now = answered.unwrap(), self._fleet.clock.wall()
        if answer.status == NOT_FOUND:
            self._recorder.record(JobSeen(at=now, job_id=job_id, known=False))
            return
        if answer.status != OK:
            return
        state = msgspec.json.decode(answer.body)["state"]
        if state == LIVE:
            self._recorder.record(JobSeen(at=now, job_id=job_id, known=True))
            return
        self.tally.ended[job_id] = state
        self._recorder.record(JobEnded(at=now, job_id=job_id, state=state))

    async def _call(
        self, method: str, data_centre: str, path: str, message: Any = None
    ) -> Result[BufferedResponse, StepError]:
        """Call a ready entry host of the data centre, any one if none says that it is ready."""
        hosts = [
            host
            for host in self._fleet.entry_hosts_by_id.values()
            if host.data_centre == data_centre
        ]
        self._rng.shuffle(hosts)
        for host in hosts:
            if await self._is_ready(host):
                return await self._send(host, method, path, message)
        return await self._send(hosts[0], method, path, message)

    async def _is_ready(self, host: EntryHost) -> bool:
        answer = await self._send(host, "GET", "/readyz", None, timeout_s=1.0)
        return not isinstance(answer, Failure) and answer.unwrap().status == OK

    async def _send(
        self,
        host: EntryHost,
        method: str,
        path: str,
        message: Any,
        *,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> Result[BufferedResponse, StepError]:
        return await self._fleet.client.request(
            method=method,
            address=host.http_address,
            path=path,
            timeout_s=timeout_s,
            headers={"content-type": "application/json"},
            body=b"" if message is None else msgspec.json.encode(message),
            step="bench.job",
        )


def _message(arrival: JobArrival) -> dict[str, Any]:
    """Return the body of a submission; the payload tells the stand-in what happens in truth."""
    spec = arrival.spec
    real = TaskPayload(
        run_s=arrival.real_run_s,
        peak_mb=arrival.real.memory_mb,
        cores_milli=arrival.real.cores_milli,
    )
    return {
        "job_id": spec.job_id,
        "team": spec.team,
        "workload": spec.workload.value,
        "urgency": spec.urgency.name.lower(),
        "tasks": spec.tasks,
        "resources": {
            "cores_milli": spec.resources.cores_milli,
            "memory_mb": spec.resources.memory_mb,
            "accelerators": spec.resources.accelerators,
        },
        "run_s": spec.run_s,
        "deadline": spec.deadline,
        "checkpointable": spec.checkpointable,
        "idempotent": spec.idempotent,
        "kind": spec.kind,
        "payload": msgspec.json.encode(real).decode(),
    }
