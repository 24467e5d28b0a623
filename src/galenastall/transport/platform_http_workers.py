"""Workers over HTTP and JSON; a worker's address is `IP:port`, or `IP:port/path`."""

from collections.abc import Sequence
from dataclasses import dataclass
from urllib.parse import quote

from returns.result import Result

from galenastall.protocol.platform import StartBatch, TaskAnswer, WorkerListing
from galenastall.state.errors import StepError
from galenastall.state.ids import Epoch, TaskId
from galenastall.transport.platform_http_call import JsonCaller

Answers = Result[tuple[TaskAnswer, ...], StepError]


@dataclass(frozen=True, kw_only=True, slots=True)
class RenewMessage:
    """Body of a renewal."""

    tasks: tuple[TaskId, ...]
    lease_until: float
    """Wall time in seconds."""


@dataclass(frozen=True, kw_only=True, slots=True)
class TasksMessage:
    """Body of a checkpoint, a throttle or a stop."""

    tasks: tuple[TaskId, ...]
    epoch: Epoch
    share: float = 1.0
    """Share of its speed that a throttled task keeps, 0 to 1."""


@dataclass(frozen=True, kw_only=True, slots=True)
class AcknowledgeMessage:
    """Body of an acknowledgement."""

    tasks: tuple[TaskId, ...]


class HttpWorkers:
    """Workers by address; implements protocol.platform.WorkerService."""

    def __init__(self, *, caller: JsonCaller) -> None:
        self._caller = caller

    async def start(self, *, address: str, batch: StartBatch) -> Answers:
        """Start tasks; see WorkerService."""
        return await self._post(address, "start", batch)

    async def renew(self, *, address: str, tasks: Sequence[TaskId], lease_until: float) -> Answers:
        """Extend leases; see WorkerService."""
        message = RenewMessage(tasks=tuple(tasks), lease_until=lease_until)
        return await self._post(address, "renew", message)

    async def checkpoint(self, *, address: str, tasks: Sequence[TaskId], epoch: Epoch) -> Answers:
        """Save and stop tasks; see WorkerService."""
        message = TasksMessage(tasks=tuple(tasks), epoch=epoch)
        return await self._post(address, "checkpoint", message)

    async def throttle(
        self, *, address: str, tasks: Sequence[TaskId], epoch: Epoch, share: float
    ) -> Answers:
        """Throttle tasks; see WorkerService."""
        message = TasksMessage(tasks=tuple(tasks), epoch=epoch, share=share)
        return await self._post(address, "throttle", message)

    async def stop(self, *, address: str, tasks: Sequence[TaskId], epoch: Epoch) -> Answers:
        """Stop tasks; see WorkerService."""
        return await self._post(address, "stop", TasksMessage(tasks=tuple(tasks), epoch=epoch))

    async def acknowledge(
        self, *, address: str, tasks: Sequence[TaskId]
    ) -> Result[None, StepError]:
        """Forget finished tasks; see WorkerService."""
        host, path = _split(address)
        return await self._caller.post(
            address=host,
            path=f"{path}/acknowledge",
            message=AcknowledgeMessage(tasks=tuple(tasks)),
            answer_type=type(None),
            step="worker.acknowledge",
        )

    async def listing(self, *, address: str, since: str = "") -> Result[WorkerListing, StepError]:
        """List running and finished tasks; see WorkerService."""
        host, path = _split(address)
        query = f"?since={quote(since, safe='')}" if since else ""
        return await self._caller.get(
            address=host,
            path=f"{path}/listing{query}",
            answer_type=WorkerListing,
            step="worker.listing",
        )

    async def _post(self, address: str, verb: str, message: object) -> Answers:
        host, path = _split(address)
        return await self._caller.post(
            address=host,
            path=f"{path}/{verb}",
            message=message,
            answer_type=tuple[TaskAnswer, ...],
            step=f"worker.{verb}",
        )


def _split(address: str) -> tuple[str, str]:
    host, slash, path = address.partition("/")
    return host, f"{slash}{path}"
