"""Keeps this host's configuration: never an older version than one already in force."""

from typing import Any, Final

import trio
from returns.result import Failure

from galenastall.coordination.cell.config_age import UNKNOWN_VERSION, is_outdated
from galenastall.protocol.cell.config import CellConfig
from galenastall.protocol.cell.messages import ConfigAnswer, GetConfig
from galenastall.protocol.cell.ports import ConfigPort
from galenastall.protocol.peers import PeerLink
from galenastall.state.ids import HostId
from galenastall.transport.logs import Recorder

RETRY_S: Final = 0.3
"""Pause after a read that failed."""
PEER_TIMEOUT_S: Final = 0.8
"""Wait for another host's configuration."""
LOOK_WITHIN_S: Final = 0.4
"""Longest look for a newer version: callers wait for it."""
LOOK_EVERY_S: Final = 0.3
"""Least time between two looks: any number of unknown keys costs three looks a second."""


class ConfigKeeper:
    """Follows the configuration, from the store and from whichever host has a newer version."""

    def __init__(self, *, port: ConfigPort, link: PeerLink, recorder: Recorder) -> None:
        """Read from `port`."""
        self._port = port
        self._link = link
        self._recorder = recorder
        self._heard = trio.Event()
        self._source: HostId | None = None
        """Whom to ask: the host that was last heard of."""
        self._is_lost = False
        self._in_force_since = 0.0
        self._look: trio.Event | None = None
        """Set at the end of the look that is under way."""
        self._looked_at = float("-inf")
        self.config: CellConfig | None = None
        link.handle(GetConfig, self._on_get)

    def current(self) -> CellConfig | None:
        """Return the configuration in force; None before the first."""
        return self.config

    @property
    def version(self) -> int:
        """The version in force; 0 before the first."""
        return self.config.version if self.config is not None else UNKNOWN_VERSION

    def is_outdated(self, version: int) -> bool:
        """Whether a call that was let in by an older version must be looked at anew."""
        held_for_s = trio.current_time() - self._in_force_since
        return is_outdated(version=version, own_version=self.version, held_for_s=held_for_s)

    def hear_of(self, version: int, host: HostId | None) -> None:
        """Note that a host has this version."""
        if host is None:
            return
        if version >= self.version:
            self._source = host
        if version > self.version:
            self._heard.set()

    async def look(self) -> None:
        """Look for a newer version now, at the store and at a host; one look serves all callers."""
        if self._look is not None:
            with trio.move_on_after(LOOK_WITHIN_S):
                await self._look.wait()
            return
        if trio.current_time() - self._looked_at < LOOK_EVERY_S:
            return
        self._look = trio.Event()
        try:
            with trio.move_on_after(LOOK_WITHIN_S):
                await self._look_everywhere()
        finally:
            self._looked_at = trio.current_time()
            self._look.set()
            self._look = None

    async def _look_everywhere(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._look_at_store, nursery.cancel_scope)
            nursery.start_soon(self._ask_source)

    async def _look_at_store(self, others: trio.CancelScope) -> None:
        answer = await self._port.newest()
        if isinstance(answer, Failure):
            self._recorder.record("config.look_failed", cause=str(answer.failure()))
            return
        self._take(answer.unwrap(), source="store")
        others.cancel()

    async def run(self) -> None:
        """Follow until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow_hosts)
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

    async def _follow_hosts(self) -> None:
        while True:
            await self._heard.wait()
            self._heard = trio.Event()
            await self._ask_source()

    async def _ask_source(self) -> None:
        source = self._source
        if source is None or source == self._link.host_id:
            return
        answer = await self._link.call(
            peer=source,
            message=GetConfig(known_version=self.version),
            timeout_s=PEER_TIMEOUT_S,
        )
        if not isinstance(answer, Failure):
            found: ConfigAnswer = answer.unwrap()
            self._take(found.config, source=str(source))

    def _take(self, config: CellConfig | None, *, source: str) -> None:
        if config is None:
            return
        if self.config is not None and config.version <= self.config.version:
            return
        self.config = config
        self._in_force_since = trio.current_time()
        self._recorder.record(
            "config.in_force",
            peer=source,
            fields={
                "version": str(config.version),
                "routes": str(len(config.routes)),
                "workspaces": str(len(config.workspaces)),
                "keys": str(len(config.credentials)),
            },
        )

    async def _on_get(self, _: HostId, message: GetConfig) -> Any:
        config = self.config
        is_newer = config is not None and config.version > message.known_version
        return ConfigAnswer(config=config if is_newer else None)
