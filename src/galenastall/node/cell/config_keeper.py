"""Keeps this host's configuration: never an older version than one already in force."""

from typing import Any, Final

import trio
from returns.result import Failure

from galenastall.protocol.cell.config import CellConfig
from galenastall.protocol.cell.messages import ConfigAnswer, GetConfig
from galenastall.protocol.cell.ports import ConfigPort
from galenastall.protocol.peers import PeerLink
from galenastall.state.ids import HostId
from galenastall.transport.logs import Recorder

RETRY_S: Final = 0.3
"""Pause after a read that failed."""
PEER_TIMEOUT_S: Final = 0.8
"""Wait for the leader's configuration."""


class ConfigKeeper:
    """Follows the configuration, from the store or, where that fails, from the leader."""

    def __init__(self, *, port: ConfigPort, link: PeerLink, recorder: Recorder) -> None:
        """Read from `port`."""
        self._port = port
        self._link = link
        self._recorder = recorder
        self._heard_version = 0
        self._heard = trio.Event()
        self._is_lost = False
        self.leader: HostId | None = None
        """Whom to ask; set by whoever follows the leadership."""
        self.config: CellConfig | None = None
        link.handle(GetConfig, self._on_get)

    def current(self) -> CellConfig | None:
        """Return the configuration in force; None before the first."""
        return self.config

    def hear_of(self, version: int, leader: HostId | None) -> None:
        """Note that the leader has this version."""
        self.leader = leader
        if self.config is None or version > self.config.version:
            self._heard_version = version
            self._heard.set()

    async def run(self) -> None:
        """Follow until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow_leader)
            while True:
                answer = await self._port.wait()
                if isinstance(answer, Failure):
                    if not self._is_lost:
                        self._recorder.record("config.lost", cause=str(answer.failure()))
                    self._is_lost = True
                    await trio.sleep(RETRY_S)
                    continue
                self._is_lost = False
                self._take(answer.unwrap(), source="store")

    async def _follow_leader(self) -> None:
        while True:
            await self._heard.wait()
            self._heard = trio.Event()
            if self.leader is None:
                continue
            known = self.config.version if self.config else 0
            answer = await self._link.call(
                peer=self.leader,
                message=GetConfig(known_version=known),
                timeout_s=PEER_TIMEOUT_S,
            )
            if not isinstance(answer, Failure):
                found: ConfigAnswer = answer.unwrap()
                self._take(found.config, source=str(self.leader))

    def _take(self, config: CellConfig | None, *, source: str) -> None:
        if config is None:
            return
        if self.config is not None and config.version <= self.config.version:
            return
        self.config = config
        self._recorder.record(
            "config.in_force",
            peer=source,
            fields={"version": str(config.version), "routes": str(len(config.routes))},
        )

    async def _on_get(self, _: HostId, message: GetConfig) -> Any:
        config = self.config
        is_newer = config is not None and config.version > message.known_version
        return ConfigAnswer(config=config if is_newer else None)
