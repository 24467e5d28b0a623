"""HTTP routes of the stand-in's workers: one port, with a path for each worker."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Final

from returns.result import Failure, Result

from galenastall.protocol.platform import StartBatch, WorkerService
from galenastall.standin.memory_platform import MemoryPlatform
from galenastall.standin.platform_routes import respond, services_for
from galenastall.state.errors import Reason, StepError
from galenastall.state.registry import Registry
from galenastall.transport.http_json import error_response, parse_json
from galenastall.transport.http_messages import HttpRequest, HttpResponse
from galenastall.transport.http_routes import route
from galenastall.transport.platform_http_workers import (
    AcknowledgeMessage,
    RenewMessage,
    TasksMessage,
)

BODY_LIMIT_BYTES: Final = 16 * 1024 * 1024


CarryOut = Callable[[WorkerService, str, Any], Awaitable[Result[Any, StepError]]]


@dataclass(frozen=True, kw_only=True, slots=True)
class _Command:
    """A command's message type and handler."""

    message_type: type[Any]
    carry_out: CarryOut


_COMMANDS: Final[Registry[_Command]] = Registry(kind="worker command")


def _command(verb: str, message_type: type[Any]) -> Callable[[CarryOut], CarryOut]:
    def add(carry_out: CarryOut) -> CarryOut:
        _COMMANDS.register(verb)(_Command(message_type=message_type, carry_out=carry_out))
        return carry_out

    return add


class WorkerRoutes:
    """Routes of all workers."""

    def __init__(self, *, model: MemoryPlatform, address_of: Callable[[str], str]) -> None:
        """`address_of` maps the host id in the path to the worker's address."""
        self._model = model
        self._address_of = address_of

    @route("POST", "/workers/{host_id}/{verb}")
    async def command(self, request: HttpRequest) -> HttpResponse:
        """Execute one batched command."""
        verb = request.path_params["verb"]
        if verb not in _COMMANDS:
            return error_response(_no_such_verb(request, verb))
        command = _COMMANDS.get(verb)
        message = await parse_json(request, command.message_type, limit_bytes=BODY_LIMIT_BYTES)
        if isinstance(message, Failure):
            return error_response(message.failure())
        address = self._address_of(request.path_params["host_id"])
        workers = services_for(self._model, request).workers
        return respond(await command.carry_out(workers, address, message.unwrap()))

    @route("GET", "/workers/{host_id}/listing")
    async def listing(self, request: HttpRequest) -> HttpResponse:
        """Return running and finished tasks, or the changes since a cursor."""
        address = self._address_of(request.path_params["host_id"])
        workers = services_for(self._model, request).workers
        since = request.query.get("since", "")
        return respond(await workers.listing(address=address, since=since))


def _no_such_verb(request: HttpRequest, verb: str) -> StepError:
    detail = f"unknown worker command {verb!r}; allowed: {', '.join(_COMMANDS.names())}"
    return StepError(
        step="worker.command", peer=request.client, reason=Reason.NOT_FOUND, detail=detail
    )


@_command("start", StartBatch)
def _start(workers: WorkerService, address: str, batch: StartBatch) -> Awaitable[Any]:
    return workers.start(address=address, batch=batch)


@_command("renew", RenewMessage)
def _renew(workers: WorkerService, address: str, message: RenewMessage) -> Awaitable[Any]:
    return workers.renew(address=address, tasks=message.tasks, lease_until=message.lease_until)


@_command("checkpoint", TasksMessage)
def _checkpoint(workers: WorkerService, address: str, message: TasksMessage) -> Awaitable[Any]:
    return workers.checkpoint(address=address, tasks=message.tasks, epoch=message.epoch)


@_command("throttle", TasksMessage)
def _throttle(workers: WorkerService, address: str, message: TasksMessage) -> Awaitable[Any]:
    return workers.throttle(
        address=address, tasks=message.tasks, epoch=message.epoch, share=message.share
    )


@_command("stop", TasksMessage)
def _stop(workers: WorkerService, address: str, message: TasksMessage) -> Awaitable[Any]:
    return workers.stop(address=address, tasks=message.tasks, epoch=message.epoch)


@_command("acknowledge", AcknowledgeMessage)
def _acknowledge(
    workers: WorkerService, address: str, message: AcknowledgeMessage
) -> Awaitable[Any]:
    return workers.acknowledge(address=address, tasks=message.tasks)
