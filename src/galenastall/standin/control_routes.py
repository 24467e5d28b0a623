"""Control API of the stand-in: fault settings, hosts, counters, runs and violations."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, fields
from typing import Any, Final, Protocol

import msgspec
from returns.result import Failure, Result

from galenastall.standin.control_messages import (
    ALL_HOSTS,
    CutsMessage,
    ExecutionPage,
    Repeats,
    RunPage,
    StandinCounters,
    StateMessage,
    TrimMessage,
    ViolationReport,
)
from galenastall.standin.faults import ExecutorFaults, HostListFaults, LogFaults, WorkerFaults
from galenastall.standin.memory_platform import MemoryPlatform
from galenastall.state.errors import Reason, StepError
from galenastall.state.hosts import HostKind, ListedHost
from galenastall.state.ids import HostId
from galenastall.transport.http_json import decode_json, error_response, json_response, parse_json
from galenastall.transport.http_messages import HttpRequest, HttpResponse
from galenastall.transport.http_routes import route

PAGE_RECORDS: Final = 10_000
"""Maximum runs or executions in one response."""


class HostManager(Protocol):
    """Starts hosts on ports of their own and stops them."""

    def start_host(self, host: ListedHost) -> ListedHost:
        """Start a host without an address and list it; one with an address is only listed."""

    def remove_host(self, host_id: HostId) -> None:
        """Stop a host and remove it from the list; raises KeyError for an unknown host."""


@dataclass(frozen=True, kw_only=True, slots=True)
class _FaultAccessor:
    """Reads and replaces the fault settings of one target."""

    faults_type: type[Any]
    read: Callable[[], Any]
    write: Callable[[Any], None]


class ControlRoutes:
    """Routes under /control."""

    def __init__(self, *, model: MemoryPlatform, host_manager: HostManager) -> None:
        self._model = model
        self._host_manager = host_manager

    @route("GET", "/control/faults/{target*}")
    async def faults(self, request: HttpRequest) -> HttpResponse:
        """Return a target's fault settings by name."""
        accessors = self._fault_accessors(request.path_params["target"])
        if not accessors:
            return _not_found(request, request.path_params["target"])
        return json_response(200, {name: accessor.read() for name, accessor in accessors.items()})

    @route("PUT", "/control/faults/{target*}")
    async def set_faults(self, request: HttpRequest) -> HttpResponse:
        """Replace fault settings of `log`, `host-list`, `workers/<id>` or `executors/<id>`."""
        return await self._write_faults(request, is_replacement=True)

    @route("PATCH", "/control/faults/{target*}")
    async def change_faults(self, request: HttpRequest) -> HttpResponse:
        """Change only the fault settings that the body names."""
        return await self._write_faults(request, is_replacement=False)

    async def _write_faults(self, request: HttpRequest, *, is_replacement: bool) -> HttpResponse:
        target = request.path_params["target"]
        accessors = self._fault_accessors(target)
        if not accessors:
            return _not_found(request, target)
        changes = await parse_json(request, dict[str, Any])
        if isinstance(changes, Failure):
            return error_response(changes.failure())
        parsed: dict[str, Any] = {}
        for name, accessor in accessors.items():
            kept = {} if is_replacement else msgspec.to_builtins(accessor.read())
            faults = _parse_faults(request, kept, changes.unwrap(), accessor.faults_type)
            if isinstance(faults, Failure):
                return error_response(faults.failure())
            parsed[name] = faults.unwrap()
        for name, faults in parsed.items():
            accessors[name].write(faults)
        return json_response(200, parsed)

    @route("GET", "/control/cuts")
    async def cuts(self, request: HttpRequest) -> HttpResponse:
        """Return the active network cuts."""
        return json_response(200, CutsMessage(cuts=self._model.cuts.current()))

    @route("PUT", "/control/cuts")
    async def set_cuts(self, request: HttpRequest) -> HttpResponse:
        """Replace all network cuts."""
        message = await parse_json(request, CutsMessage)
        if isinstance(message, Failure):
            return error_response(message.failure())
        self._model.cuts.replace(message.unwrap().cuts)
        return json_response(200, message.unwrap())

    @route("GET", "/control/hosts")
    async def hosts(self, request: HttpRequest) -> HttpResponse:
        """Return the present hosts, without the list's lag."""
        return json_response(200, tuple(self._model.host_list.current().values()))

    @route("POST", "/control/hosts")
    async def add_host(self, request: HttpRequest) -> HttpResponse:
        """List a host; a worker or upstream without an address is also started."""
        host = await parse_json(request, ListedHost)
        if isinstance(host, Failure):
            return error_response(host.failure())
        return json_response(200, self._host_manager.start_host(host.unwrap()))

    @route("PUT", "/control/hosts/{host_id}/state")
    async def set_state(self, request: HttpRequest) -> HttpResponse:
        """Change a host's state in the list."""
        message = await parse_json(request, StateMessage)
        if isinstance(message, Failure):
            return error_response(message.failure())
        host_id = HostId(request.path_params["host_id"])
        if host_id not in self._model.host_list.current():
            return _not_found(request, host_id)
        self._model.host_list.set_state(host_id, message.unwrap().state)
        return json_response(200, self._model.host_list.current()[host_id])

    @route("DELETE", "/control/hosts/{host_id}")
    async def remove_host(self, request: HttpRequest) -> HttpResponse:
        """Stop a host and remove it from the list."""
        host_id = HostId(request.path_params["host_id"])
        if host_id not in self._model.host_list.current():
            return _not_found(request, host_id)
        self._host_manager.remove_host(host_id)
        return json_response(200, None)

    @route("POST", "/control/trim")
    async def trim(self, request: HttpRequest) -> HttpResponse:
        """Drop a stream's records older than an offset."""
        message = await parse_json(request, TrimMessage)
        if isinstance(message, Failure):
            return error_response(message.failure())
        trim = message.unwrap()
        self._model.log.trim(stream=trim.stream, before=trim.before)
        return json_response(200, None)

    @route("GET", "/control/counters")
    async def counters(self, request: HttpRequest) -> HttpResponse:
        """Return the counters since the start."""
        return json_response(200, counters_of(self._model))

    @route("GET", "/control/runs")
    async def runs(self, request: HttpRequest) -> HttpResponse:
        """Return task runs from the position `start`."""
        self._model.workers.settle()
        records, position = self._model.workers.ledger.records.page(
            _parse_start(request), PAGE_RECORDS
        )
        return json_response(200, RunPage(records=records, next=position))

    @route("GET", "/control/executions")
    async def executions(self, request: HttpRequest) -> HttpResponse:
        """Return executions from the position `start`."""
        records, position = self._model.executors.log.records.page(
            _parse_start(request), PAGE_RECORDS
        )
        return json_response(200, ExecutionPage(records=records, next=position))

    @route("GET", "/control/repeats")
    async def repeats(self, request: HttpRequest) -> HttpResponse:
        """Return the requests and bodies that ran more than once on executors."""
        log = self._model.executors.log
        repeats = Repeats(
            runs_by_request=log.repeated_requests(), runs_by_body=log.repeated_bodies()
        )
        return json_response(200, repeats)

    @route("GET", "/control/violations")
    async def violations(self, request: HttpRequest) -> HttpResponse:
        """Return the invariant violations that the workers detected."""
        self._model.workers.settle()
        seen = self._model.workers.violations
        report = ViolationReport(counts_by_kind=dict(seen.counts_by_kind), kept=tuple(seen.kept))
        return json_response(200, report)

    def _fault_accessors(self, target: str) -> dict[str, _FaultAccessor]:
        kind, _, host = target.partition("/")
        if target == "log":
            return {"log": self._log_accessor()}
        if target == "host-list":
            return {"host-list": self._host_list_accessor()}
        if kind == "workers":
            hosts = self._hosts(HostKind.WORKER, host)
            return {found.host_id: self._worker_accessor(found.address) for found in hosts}
        if kind == "executors":
            hosts = self._hosts(HostKind.UPSTREAM, host)
            return {found.host_id: self._executor_accessor(found.address) for found in hosts}
        return {}

    def _hosts(self, kind: HostKind, host: str) -> Iterable[ListedHost]:
        model = self._model
        return (
            found
            for found in model.host_list.current().values()
            if found.kind is kind
            and host in (found.host_id, ALL_HOSTS)
            and (
                found.address in model.workers.by_address
                or found.address in model.executors.by_address
            )
        )

    def _log_accessor(self) -> _FaultAccessor:
        log = self._model.log
        return _FaultAccessor(faults_type=LogFaults, read=lambda: log.faults, write=log.set_faults)

    def _host_list_accessor(self) -> _FaultAccessor:
        hosts = self._model.host_list
        return _FaultAccessor(
            faults_type=HostListFaults, read=lambda: hosts.faults, write=hosts.set_faults
        )

    def _worker_accessor(self, address: str) -> _FaultAccessor:
        workers = self._model.workers
        return _FaultAccessor(
            faults_type=WorkerFaults,
            read=lambda: workers.by_address[address].faults,
            write=lambda faults: workers.set_faults(address, faults),
        )

    def _executor_accessor(self, address: str) -> _FaultAccessor:
        executors = self._model.executors
        return _FaultAccessor(
            faults_type=ExecutorFaults,
            read=lambda: executors.by_address[address].faults,
            write=lambda faults: executors.set_faults(address, faults),
        )


def counters_of(model: MemoryPlatform) -> StandinCounters:
    """Return the counters of the stand-ins since their start."""
    model.workers.settle()
    return StandinCounters(
        log=model.log.counters,
        worker_calls_by_host={
            worker.host_id: dict(worker.calls_by_step)
            for worker in model.workers.by_address.values()
        },
        executors_by_host={
            executor.host_id: executor.counters for executor in model.executors.by_address.values()
        },
        runs=model.workers.ledger.runs,
        running=model.workers.ledger.running(),
        violations_by_kind=dict(model.workers.violations.counts_by_kind),
    )


def _parse_faults(
    request: HttpRequest, kept: dict[str, Any], changes: dict[str, Any], faults_type: type[Any]
) -> Result[Any, StepError]:
    """Parse fault settings; returns INVALID also for an unknown key."""
    allowed = sorted(field.name for field in fields(faults_type))
    unknown = sorted(set(changes) - set(allowed))
    if unknown:
        detail = f"unknown key {unknown[0]!r}; allowed: {', '.join(allowed)}"
        return Failure(_error(request, Reason.INVALID, detail))
    body = msgspec.json.encode({**kept, **changes})
    return decode_json(body, faults_type, step="control", peer=request.client)


def _parse_start(request: HttpRequest) -> int:
    text = request.query.get("start", "0")
    return int(text) if text.isdecimal() else 0


def _not_found(request: HttpRequest, name: str) -> HttpResponse:
    return error_response(
        _error(request, Reason.NOT_FOUND, f"no host or fault target named {name!r}")
    )


def _error(request: HttpRequest, reason: Reason, detail: str) -> StepError:
    return StepError(step="control", peer=request.client, reason=reason, detail=detail)
