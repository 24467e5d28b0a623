"""Receives a configuration from another host, part by part."""

from typing import Any, Final

import trio
from returns.result import Failure, Result, Success

from galenastall.protocol.cell.config import CellConfig
from galenastall.protocol.cell.messages import (
    ConfigAnswer,
    ConfigPart,
    GetConfig,
    GetConfigPart,
)
from galenastall.protocol.cell.packed_config import PartialConfig
from galenastall.protocol.peers import PeerLink
from galenastall.state.errors import Reason, StepError
from galenastall.state.ids import HostId

PART_TIMEOUTS_S: Final = (0.6, 1.2)
"""Time-outs of the tries for one part; the last one bears with a link that other traffic fills.
They are few, since the next transfer, from whichever host, continues after the last part."""
RETRY_S: Final = 0.1
"""Pause between two tries, some of which fail at once."""
WHOLE_TIMEOUT_S: Final = 3.0
"""Time-out for the answer of an older program, which sends all in one message."""
_STEP: Final = "config.transfer"


class ConfigTransfer:
    """Requests one part after the other, and continues a failed transfer where it ended."""

    def __init__(self, *, link: PeerLink) -> None:
        """Ask other hosts through `link`."""
        self._link = link
        self._partial = PartialConfig()

    async def receive(
        self, host: HostId, *, known_version: int
    ) -> Result[CellConfig | None, StepError]:
        """Return the host's configuration; None if it is not newer than `known_version`.

        A version that replaces another one at the host meanwhile is received from its start.
        """
        if self._partial.version <= known_version:
            self._partial = PartialConfig()
        while not self._partial.is_complete:
            answer = await self._get_part(host, known_version)
            if isinstance(answer, Failure):
                is_older_program = answer.failure().reason is Reason.INVALID
                return await self._get_whole(host, known_version) if is_older_program else answer
            part: ConfigPart = answer.unwrap()
            if part.version <= known_version:
                return Success(None)
            added = self._partial.add(part)
            if isinstance(added, Failure):
                return self._give_up(host, added.failure())
        return self._unpack(host)

    def _unpack(self, host: HostId) -> Result[CellConfig | None, StepError]:
        found = self._partial.unpack()
        if isinstance(found, Failure):
            return self._give_up(host, found.failure())
        self._partial = PartialConfig()
        return Success(found.unwrap())

    def _give_up(self, host: HostId, detail: str) -> Result[CellConfig | None, StepError]:
        """Drop what has arrived, since it can't be continued."""
        self._partial = PartialConfig()
        return Failure(StepError(step=_STEP, peer=host, reason=Reason.CUT, detail=detail))

    async def _get_part(self, host: HostId, known_version: int) -> Result[Any, StepError]:
        message = GetConfigPart(
            known_version=known_version, digest=self._partial.digest, offset=self._partial.offset
        )
        *earlier_s, last_s = PART_TIMEOUTS_S
        for timeout_s in earlier_s:
            answer = await self._link.call(peer=host, message=message, timeout_s=timeout_s)
            if isinstance(answer, Success) or answer.failure().reason is Reason.INVALID:
                return answer
            await trio.sleep(RETRY_S)
        return await self._link.call(peer=host, message=message, timeout_s=last_s)

    async def _get_whole(
        self, host: HostId, known_version: int
    ) -> Result[CellConfig | None, StepError]:
        answer = await self._link.call(
            peer=host,
            message=GetConfig(known_version=known_version),
            timeout_s=WHOLE_TIMEOUT_S,
        )
        return answer.map(_config_of)


def _config_of(answer: ConfigAnswer) -> CellConfig | None:
    return answer.config
