"""Keeps this host's configuration up to date, and never replaces it by an older version."""

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
"""Time-out for another host's configuration."""
REFRESH_WITHIN_S: Final = 0.4
"""Time-out of a refresh, which callers wait for."""
REFRESH_EVERY_S: Final = 0.3
"""Minimum time between two refreshes, so that any number of unknown keys costs three a second."""


class ConfigWatcher:
    """Follows the configuration in the store, and at the host that last announced a newer one."""

    def __init__(self, *, port: ConfigPort, link: PeerLink, recorder: Recorder) -> None:
        """Read from `port`, and from other hosts through `link`."""
        self._port = port
        self._link = link
        self._recorder = recorder
        self._newer_version_seen = trio.Event()
        self._source: HostId | None = None
        """The host that last announced this version or a newer one."""
        self._newest_announced = UNKNOWN_VERSION
        self._is_lost = False
        self._in_force_since = 0.0
        self._refresh_ended: trio.Event | None = None
        """Set when the refresh under way ends; None if there is none."""
        self._refreshed_at = float("-inf")
        self.config: CellConfig | None = None
        link.handle(GetConfig, self._on_get)

    def current(self) -> CellConfig | None:
        """Return the configuration in force; None before the first."""
        return self.config

    @property
    def version(self) -> int:
        """The version in force; 0 before the first."""
        return self.config.version if self.config is not None else UNKNOWN_VERSION

    @property
    def newest_known_version(self) -> int:
        """The newest version that is in force here or that any host has announced."""
        return max(self.version, self._newest_announced)

    def is_outdated(self, version: int) -> bool:
        """Whether a call admitted by this version must be admitted again by the current one."""
        held_for_s = trio.current_time() - self._in_force_since
        return is_outdated(version=version, own_version=self.version, held_for_s=held_for_s)

    def note_version(self, version: int, host: HostId | None) -> None:
        """Record that a host has this version."""
        self._newest_announced = max(self._newest_announced, version)
        if host is None:
            return
        if version >= self.version:
            self._source = host
        if version > self.version:
            self._newer_version_seen.set()

    async def look(self) -> None:
        """Query the store and a host for a newer version; concurrent callers share one query."""
        if self._refresh_ended is not None:
            with trio.move_on_after(REFRESH_WITHIN_S):
                await self._refresh_ended.wait()
            return
        if trio.current_time() - self._refreshed_at < REFRESH_EVERY_S:
            return
        self._refresh_ended = trio.Event()
        try:
            with trio.move_on_after(REFRESH_WITHIN_S):
                await self._query_all()
        finally:
            self._refreshed_at = trio.current_time()
            self._refresh_ended.set()
            self._refresh_ended = None

    async def _query_all(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._query_store, nursery.cancel_scope)
            nursery.start_soon(self._query_source)

    async def _query_store(self, other_query: trio.CancelScope) -> None:
        answer = await self._port.newest()
        if isinstance(answer, Failure):
            self._recorder.record("config.look_failed", cause=str(answer.failure()))
            return
        self._adopt(answer.unwrap(), source="store")
        other_query.cancel()

    async def run(self) -> None:
        """Follow the configuration until cancelled."""
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
                self._adopt(answer.unwrap(), source="store")

    async def _follow_hosts(self) -> None:
        while True:
            await self._newer_version_seen.wait()
            self._newer_version_seen = trio.Event()
            await self._query_source()

    async def _query_source(self) -> None:
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
            self._adopt(found.config, source=str(source))

    def _adopt(self, config: CellConfig | None, *, source: str) -> None:
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
