"""HTTP routes of the stand-in's executors and of its placement advisor."""

from typing import Any, Final

import msgspec
import trio

from galenastall.coordination.cell.commands import StartOrder, StopOrder
from galenastall.platform.names import parse_task, task_name
from galenastall.protocol.cell.executor_port import StartVerdict
from galenastall.standin.cell.executors import Executor, ExecutorSimulation
from galenastall.state.cell.executor_ids import executor_name, started_at_ms_of
from galenastall.transport.http_json import json_response
from galenastall.transport.http_messages import HttpRequest, HttpResponse
from galenastall.transport.http_routes import route

BODY_BYTES: Final = 100_000
OTHER_EXECUTOR: Final = 421
UNHEALTHY: Final = 503
SWEEP_INTERVAL_S: Final = 0.02
"""Interval between checks for ended runs, during a long poll."""
_REASON_BY_VERDICT: Final = {
    StartVerdict.FENCED: "fence",
    StartVerdict.OLD_RUN: "old",
    StartVerdict.TOO_LATE: "late",
    StartVerdict.NO_ROOM: "room",
}


class ExecutorRoutes:
    """Serves the current incarnation of an executor."""

    def __init__(self, *, simulation: ExecutorSimulation, executor_id: str) -> None:
        """Serve the executor `executor_id` of `simulation`."""
        self.simulation = simulation
        self.executor_id = executor_id

    @property
    def _executor(self) -> Executor:
        return self.simulation.executors[self.executor_id]

    def _is_addressed(self, request: HttpRequest) -> bool:
        return request.headers.get("expected-instance") == executor_name(self.executor_id)

    @route("POST", "/run-start")
    async def start(self, request: HttpRequest) -> HttpResponse:
        """Start a run."""
        message = await _read(request)
        task = parse_task(message["task"])
        if task is None:
            return HttpResponse(status=400)
        if not self._is_addressed(request):
            return HttpResponse(status=OTHER_EXECUTOR)
        order = StartOrder(
            task=task,
            run=message["run"],
            executor_id=self.executor_id,
            payload=message["specification"],
        )
        return self._answer(
            self._executor.start(order, message["deadlineMs"], message["fencingToken"])
        )

    @route("POST", "/run-stop")
    async def stop(self, request: HttpRequest) -> HttpResponse:
        """Stop a run."""
        message = await _read(request)
        task = parse_task(message["task"])
        if task is None:
            return HttpResponse(status=400)
        if not self._is_addressed(request):
            return HttpResponse(status=OTHER_EXECUTOR)
        order = StopOrder(task=task, run=message["run"], executor_id=self.executor_id)
        return self._answer(self._executor.stop(order, message["fencingToken"]))

    @route("POST", "/hold")
    async def hold(self, request: HttpRequest) -> HttpResponse:
        """Renew the lease and list running and ended runs."""
        message = await _read(request)
        if not self._is_addressed(request):
            return HttpResponse(status=OTHER_EXECUTOR)
        executor = self._executor
        verdict = executor.hold(
            message.get("deadlineMs"), message["ackPosition"], message["fencingToken"]
        )
        if verdict is not StartVerdict.STARTED:
            return self._answer(verdict)
        with trio.move_on_after(message.get("waitMs", 0) / 1000.0):
            while not executor.ended and executor.is_up:
                await trio.sleep(SWEEP_INTERVAL_S)
                self.simulation.sweep()
        if not executor.is_up:
            # The executor has restarted meanwhile and has lost its state.
            return HttpResponse(status=UNHEALTHY)
        return self._listing(executor)

    def _listing(self, executor: Executor) -> HttpResponse:
        listing = executor.listing()
        running = [
            [task_name(run.task), run.run, run.saved, run.percent, run.figure]
            for run in listing.running
        ]
        finished = [
            [end.position, task_name(end.task), end.run, end.end.value, end.saved]
            for end in listing.ended
        ]
        answer = {"clockMs": listing.clock_ms, "running": running, "finished": finished}
        born_ms = started_at_ms_of(executor.info.executor_id)
        return json_response(200, answer if born_ms is None else {**answer, "born": born_ms})

    def _answer(self, verdict: StartVerdict) -> HttpResponse:
        clock_ms = int(self._executor.clock_ms())
        if verdict is StartVerdict.STARTED:
            return json_response(200, {"clockMs": clock_ms})
        return json_response(409, {"clockMs": clock_ms, "reason": _REASON_BY_VERDICT[verdict]})


class AdvisorRoutes:
    """Approves all executors but those in `refused`, which is empty at first."""

    def __init__(self, *, validity_ms: int = 1500) -> None:
        """Tickets are valid for `validity_ms`."""
        self.refused: set[str] = set()
        self._validity_ms = validity_ms

    @route("POST", "/advise")
    async def advise(self, request: HttpRequest) -> HttpResponse:
        """Return tickets for the executors that may run a step."""
        message = await _read(request)
        approved = [
            [worker, f"ticket-{worker}"]
            for worker in message["workers"]
            if worker not in self.refused
        ]
        return json_response(200, {"approved": approved, "validityMs": self._validity_ms})


async def _read(request: HttpRequest) -> Any:
    return msgspec.json.decode((await request.read_body(BODY_BYTES)).unwrap())
