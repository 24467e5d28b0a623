"""Keeps this host's configuration up to date, and never replaces it by an older version."""

from typing import Final

import trio
from returns.result import Failure, Result

from galenastall.coordination.cell.config_age import UNKNOWN_VERSION, is_outdated
from galenastall.coordination.cell.config_sources import RECHECK_S, ConfigSources
from galenastall.node.cell.config_server import ConfigServer
from galenastall.node.cell.config_transfer import ConfigTransfer
from galenastall.protocol.cell.config import CellConfig
from galenastall.protocol.cell.ports import ConfigPort
from galenastall.protocol.peers import PeerLink
from galenastall.state.errors import Reason, StepError
from galenastall.state.ids import HostId
from galenastall.transport.logs import Recorder

RETRY_S: Final = 0.3
"""Pause after a read that failed."""
REFRESH_WITHIN_S: Final = 0.4
"""How long a caller waits for a refresh, which goes on without it."""
REFRESH_EVERY_S: Final = 0.3
"""Minimum time between two refreshes, so that any number of unknown keys costs three a second."""


class ConfigWatcher:
    """Follows the configuration in the store, and at other hosts where the store does not deliver.

    Reads and transfers belong to tasks of `run`: once they have begun to arrive they end when they
    are done, not when a caller no longer waits for them.
    """

    def __init__(self, *, port: ConfigPort, link: PeerLink, recorder: Recorder) -> None:
        """Read from `port`, and from other hosts through `link`."""
        self._port = port
        self._link = link
        self._recorder = recorder
        self._sources = ConfigSources()
        self._transfer = ConfigTransfer(link=link)
        self._transfer_scope: trio.CancelScope | None = None
        """Scope of the transfer under way; None if there is none."""
        self._changed = trio.Event()
        """Set and replaced when whom to ask must be decided again."""
        self._newest_announced = UNKNOWN_VERSION
        self._is_lost = False
        self._in_force_since = 0.0
        self._read_wanted = trio.Event()
        """Set from the start of a refresh until its read of the store ends."""
        self._refresh_ended: trio.Event | None = None
        """Set when the refresh under way ends; None if there is none."""
        self._refreshed_at = float("-inf")
        self.config: CellConfig | None = None
        ConfigServer(link=link, current=self.current)

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
        if host is None or host == self._link.host_id:
            return
        if self._sources.on_announced(version, host, now=trio.current_time()):
            self._notify_changed()

    async def look(self) -> None:
        """Wait for a look at the store for a newer version, and at a host if the store is away.

        Concurrent callers share one; it goes on when they no longer wait. It first reads the store,
        and if that fails waits for the host that is asked instead.
        """
        if self._refresh_ended is None:
            now = trio.current_time()
            if now - self._refreshed_at < REFRESH_EVERY_S:
                return
            self._refresh_ended = trio.Event()
            self._sources.on_look(now=now)
            self._read_wanted.set()
            self._notify_changed()
        with trio.move_on_after(REFRESH_WITHIN_S):
            await self._refresh_ended.wait()

    async def run(self) -> None:
        """Follow the configuration until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow_store)
            nursery.start_soon(self._follow_hosts)
            nursery.start_soon(self._refresh_when_wanted)

    async def _follow_store(self) -> None:
        while True:
            answer = await self._port.wait()
            self._on_store_read(is_failed=isinstance(answer, Failure))
            if isinstance(answer, Failure):
                if not self._is_lost:
                    self._recorder.record("config.lost", cause=str(answer.failure()))
                self._is_lost = True
                await trio.sleep(RETRY_S)
                continue
            self._is_lost = False
            self._adopt(answer.unwrap(), source="store")

    async def _refresh_when_wanted(self) -> None:
        while True:
            await self._read_wanted.wait()
            give_up_at = trio.current_time() + REFRESH_WITHIN_S
            answer = await self._read_newest(give_up_at)
            self._read_wanted = trio.Event()
            self._on_store_read(is_failed=isinstance(answer, Failure))
            if isinstance(answer, Failure):
                self._recorder.record("config.look_failed", cause=str(answer.failure()))
                await self._wait_for_host(give_up_at)
            else:
                self._adopt(answer.unwrap(), source="store")
            self._end_refresh()

    async def _read_newest(self, give_up_at: float) -> Result[CellConfig | None, StepError]:
        """Read from the store; gives up a read that has not begun to arrive by `give_up_at`.

        A read that began while the store was away must not delay those of later callers.
        """
        answer: Result[CellConfig | None, StepError] = Failure(
            StepError(
                step="config.look",
                peer="store",
                reason=Reason.TIMEOUT,
                detail=f"no answer in {REFRESH_WITHIN_S:g} s",
            )
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cancel_unless_receiving, nursery.cancel_scope, give_up_at)
            answer = await self._port.newest()
            nursery.cancel_scope.cancel()
        return answer

    async def _cancel_unless_receiving(self, scope: trio.CancelScope, at: float) -> None:
        await trio.sleep_until(at)
        while self._port.is_receiving:  # noqa: ASYNC110 - the port has no event for it
            await trio.sleep(RECHECK_S)
        scope.cancel()

    async def _wait_for_host(self, give_up_at: float) -> None:
        """Wait until the host that is asked in place of the store has answered."""
        if self._refresh_ended is None or not self._is_host_asked():
            return
        with trio.CancelScope(deadline=give_up_at):
            await self._refresh_ended.wait()

    def _on_store_read(self, *, is_failed: bool) -> None:
        self._sources.on_store_read(is_failed=is_failed)
        self._notify_changed()

    def _is_host_asked(self) -> bool:
        """Whether a host is being asked, or is about to be."""
        if self._transfer_scope is not None:
            return True
        found = self._sources.next_host(now=trio.current_time(), is_receiving=False)
        return found is not None and found.after_s == 0

    def _end_refresh_unless_reading(self) -> None:
        """End the refresh, unless the store is still being read: it may have a newer version."""
        self._sources.on_look_ended()
        if not self._read_wanted.is_set():
            self._end_refresh()

    def _end_refresh(self) -> None:
        """Let the callers that wait for the refresh go on."""
        self._sources.on_look_ended()
        if self._refresh_ended is not None:
            self._refreshed_at = trio.current_time()
            self._refresh_ended.set()
            self._refresh_ended = None

    async def _follow_hosts(self) -> None:
        """Transfer newer versions from other hosts, one at a time."""
        while True:
            changed = self._changed
            found = self._sources.next_host(
                now=trio.current_time(), is_receiving=self._port.is_receiving
            )
            if found is not None and found.after_s == 0:
                await self._transfer_from(HostId(found.host))
                continue
            with trio.move_on_after(float("inf") if found is None else found.after_s):
                await changed.wait()

    async def _transfer_from(self, host: HostId) -> None:
        with trio.CancelScope() as scope:
            self._transfer_scope = scope
            try:
                answer = await self._transfer.receive(host, known_version=self.version)
            finally:
                self._transfer_scope = None
        if scope.cancelled_caught:
            return
        if isinstance(answer, Failure):
            self._on_not_transferred(host, cause=str(answer.failure()))
        elif answer.unwrap() is None:
            if self._sources.has_newer:
                self._on_not_transferred(host, cause="it does not have the version it announced")
            self._sources.on_not_newer(host)
        else:
            self._adopt(answer.unwrap(), source=str(host))
        self._end_refresh_unless_reading()

    def _on_not_transferred(self, host: HostId, *, cause: str) -> None:
        self._sources.on_transfer_failed(host, now=trio.current_time())
        self._recorder.record("config.not_transferred", peer=host, cause=cause)

    def _adopt(self, config: CellConfig | None, *, source: str) -> None:
        if config is None:
            return
        if self.config is not None and config.version <= self.config.version:
            return
        self.config = config
        self._in_force_since = trio.current_time()
        self._sources.on_in_force(config.version, now=self._in_force_since)
        if self._transfer_scope is not None and not self._sources.has_newer:
            self._transfer_scope.cancel()
        self._end_refresh_unless_reading()
        self._notify_changed()
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

    def _notify_changed(self) -> None:
        event, self._changed = self._changed, trio.Event()
        event.set()
