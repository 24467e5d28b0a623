"""Client of the stand-in's control API, for benches and end-to-end tests."""

from collections.abc import Mapping
from typing import Any, Final, TypeVar

import msgspec
from returns.result import Failure, Result

from galenastall.standin.control_messages import (
    CutsMessage,
    ExecutionPage,
    Repeats,
    RunPage,
    StandinCounters,
    StateMessage,
    TrimMessage,
    ViolationReport,
)
from galenastall.standin.cuts import Cut
from galenastall.standin.faults import ExecutorFaults, HostListFaults, LogFaults, WorkerFaults
from galenastall.state.errors import StepError
from galenastall.state.hosts import HostState, ListedHost
from galenastall.state.ids import HostId, Offset, StreamName
from galenastall.transport.http_client import HttpClient, error_from_response
from galenastall.transport.http_json import decode_json

T = TypeVar("T")

TIMEOUT_S: Final = 10.0
_OK: Final = 200


class StandinControl:
    """Controls a running stand-in: fault settings, hosts, counters and records."""

    def __init__(self, *, client: HttpClient, address: str) -> None:
        """Connect to the control API at `address` (`IP:port`)."""
        self._client = client
        self._address = address

    async def set_log_faults(self, faults: LogFaults) -> Result[Any, StepError]:
        """Replace the log's fault settings."""
        return await self._send("PUT", "faults/log", faults, dict[str, LogFaults])

    async def set_host_list_faults(self, faults: HostListFaults) -> Result[Any, StepError]:
        """Replace the host list's fault settings."""
        return await self._send("PUT", "faults/host-list", faults, dict[str, HostListFaults])

    async def set_worker_faults(self, host: str, faults: WorkerFaults) -> Result[Any, StepError]:
        """Replace the fault settings of one worker, or of `all`."""
        return await self._send("PUT", f"faults/workers/{host}", faults, dict[str, WorkerFaults])

    async def set_executor_faults(
        self, host: str, faults: ExecutorFaults
    ) -> Result[Any, StepError]:
        """Replace the fault settings of one executor, or of `all`."""
        return await self._send(
            "PUT", f"faults/executors/{host}", faults, dict[str, ExecutorFaults]
        )

    async def change_faults(
        self, target: str, changes: Mapping[str, object]
    ) -> Result[Any, StepError]:
        """Change only the named fault settings of a target.

        Targets are `log`, `host-list`, `workers/ID` and `executors/ID`.
        """
        return await self._send("PATCH", f"faults/{target}", changes, dict[str, Any])

    async def set_cuts(self, *cuts: Cut) -> Result[CutsMessage, StepError]:
        """Replace all network cuts."""
        return await self._send("PUT", "cuts", CutsMessage(cuts=cuts), CutsMessage)

    async def hosts(self) -> Result[tuple[ListedHost, ...], StepError]:
        """Return the present hosts, without the list's lag."""
        return await self._send("GET", "hosts", None, tuple[ListedHost, ...])

    async def add_host(self, host: ListedHost) -> Result[ListedHost, StepError]:
        """List a host; a worker or upstream without an address is also started."""
        return await self._send("POST", "hosts", host, ListedHost)

    async def set_host_state(
        self, host_id: HostId, state: HostState
    ) -> Result[ListedHost, StepError]:
        """Change a host's state in the list."""
        return await self._send(
            "PUT", f"hosts/{host_id}/state", StateMessage(state=state), ListedHost
        )

    async def remove_host(self, host_id: HostId) -> Result[None, StepError]:
        """Stop a host and remove it from the list."""
        return await self._send("DELETE", f"hosts/{host_id}", None, type(None))

    async def trim(self, *, stream: StreamName, before: Offset) -> Result[None, StepError]:
        """Drop a stream's records older than `before`."""
        return await self._send(
            "POST", "trim", TrimMessage(stream=stream, before=before), type(None)
        )

    async def counters(self) -> Result[StandinCounters, StepError]:
        """Return the counters since the start."""
        return await self._send("GET", "counters", None, StandinCounters)

    async def runs(self, *, start: int = 0) -> Result[RunPage, StepError]:
        """Return a page of task runs."""
        return await self._send("GET", f"runs?start={start}", None, RunPage)

    async def executions(self, *, start: int = 0) -> Result[ExecutionPage, StepError]:
        """Return a page of executions."""
        return await self._send("GET", f"executions?start={start}", None, ExecutionPage)

    async def repeats(self) -> Result[Repeats, StepError]:
        """Return the requests and bodies that ran more than once on executors."""
        return await self._send("GET", "repeats", None, Repeats)

    async def violations(self) -> Result[ViolationReport, StepError]:
        """Return the invariant violations that the workers detected."""
        return await self._send("GET", "violations", None, ViolationReport)

    async def _send(
        self, method: str, path: str, message: object, answer_type: type[T]
    ) -> Result[T, StepError]:
        step = f"standin.{path.partition('/')[0].partition('?')[0]}"
        answer = await self._client.request(
            method=method,
            address=self._address,
            path=f"/control/{path}",
            timeout_s=TIMEOUT_S,
            headers={"content-type": "application/json"},
            body=b"" if message is None else msgspec.json.encode(message),
            step=step,
        )
        if isinstance(answer, Failure):
            return answer
        response = answer.unwrap()
        if response.status != _OK:
            return Failure(error_from_response(response, step=step, peer=self._address))
        return decode_json(response.body, answer_type, step=step, peer=self._address)
