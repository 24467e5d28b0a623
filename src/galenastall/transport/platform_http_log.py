"""Log and host list over HTTP and JSON."""

from collections.abc import Sequence
from dataclasses import dataclass
from urllib.parse import quote, urlencode

from returns.result import Result

from galenastall.protocol.platform import LogPage
from galenastall.state.errors import StepError
from galenastall.state.hosts import HostKind, HostListing
from galenastall.state.ids import DataCentre, Offset, StreamName
from galenastall.transport.platform_http_call import JsonCaller


@dataclass(frozen=True, kw_only=True, slots=True)
class AppendMessage:
    """Body of an append."""

    texts: tuple[str, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class AppendAnswer:
    """Offset of the first appended text."""

    offset: Offset


class HttpLog:
    """The log at one address; implements protocol.platform.LogService."""

    def __init__(self, *, address: str, caller: JsonCaller) -> None:
        self._address = address
        self._caller = caller

    async def append(
        self, *, stream: StreamName, texts: Sequence[str]
    ) -> Result[Offset, StepError]:
        """Append all texts atomically; see LogService."""
        answer = await self._caller.post(
            address=self._address,
            path=_path_of(stream),
            message=AppendMessage(texts=tuple(texts)),
            answer_type=AppendAnswer,
            step="log.append",
        )
        return answer.map(lambda appended: appended.offset)

    async def read(
        self, *, stream: StreamName, start: Offset, limit: int = 1000, wait_s: float = 0.0
    ) -> Result[LogPage, StepError]:
        """Read from `start`; see LogService."""
        return await self._caller.get(
            address=self._address,
            path=f"{_path_of(stream)}?start={start}&limit={limit}&wait_s={wait_s}",
            answer_type=LogPage,
            step="log.read",
            wait_s=wait_s,
        )


class HttpHostList:
    """The host list at one address; implements protocol.platform.HostListService."""

    def __init__(self, *, address: str, caller: JsonCaller) -> None:
        self._address = address
        self._caller = caller

    async def fetch(
        self,
        *,
        data_centre: DataCentre | None = None,
        kind: HostKind | None = None,
        known_version: str | None = None,
    ) -> Result[HostListing, StepError]:
        """Return the platform's current host list; see HostListService."""
        parameters = {"data_centre": data_centre, "kind": kind, "known_version": known_version}
        query = urlencode({name: value for name, value in parameters.items() if value})
        return await self._caller.get(
            address=self._address,
            path=f"/hosts?{query}" if query else "/hosts",
            answer_type=HostListing,
            step="host_list.fetch",
        )


def _path_of(stream: StreamName) -> str:
    return f"/log/{quote(stream, safe='')}"
