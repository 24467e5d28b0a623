"""Reloads the settings file of a running process, on a signal or when the file has changed."""

from dataclasses import fields
from pathlib import Path
from typing import Final

import trio

from galenastall.platform.settings import (
    PlatformSettings,
    SettingsError,
    parse_settings,
    read_settings,
)
from galenastall.transport.logs import Level, Recorder

POLL_INTERVAL_S: Final = 1.0
"""Interval between checks of the file; a change must be in force within 2 s."""
RELOADABLE_FIELDS: Final = frozenset({"store", "advisor_address", "hosts_address"})
"""Fields applied at once; a change of any other needs a restart, which the platform does."""


class LiveSettings:
    """The newest valid settings."""

    def __init__(self, *, path: Path, settings: PlatformSettings, recorder: Recorder) -> None:
        """Start with `settings`, read from `path`."""
        self._path = path
        self._recorder = recorder
        self._last_error = ""
        self._text = ""
        """The file's text at the last read; parsing it takes 1.6 ms, reading it 0.05 ms."""
        self.settings = settings

    def store_address(self) -> str:
        """Return the current address of the store."""
        return self.settings.store.address

    def advisor_address(self) -> str:
        """Return the current address of the placement advisor."""
        return self.settings.advisor_address

    def hosts_address(self) -> str:
        """Return the current address of the service that takes orders to hosts."""
        return self.settings.hosts_address

    async def run(self) -> None:
        """Check for changes until cancelled."""
        while True:
            await trio.sleep(POLL_INTERVAL_S)
            self.reload(is_requested=False)

    def reload(self, *, is_requested: bool) -> None:
        """Read the file; an invalid one is logged and changes nothing."""
        try:
            text = read_settings(self._path)
            if text == self._text and not is_requested:
                return
            self._text = text
            settings = parse_settings(self._path, text)
        except SettingsError as error:
            if is_requested or str(error) != self._last_error:
                self._recorder.record("host.reload_failed", cause=str(error), level=Level.WARNING)
            self._last_error = str(error)
            return
        self._last_error = ""
        changed = _changed(self.settings, settings)
        self.settings = settings
        if changed or is_requested:
            cause = "reload requested by a signal" if is_requested else "the file has changed"
            self._recorder.record("host.reloaded", cause=cause, fields=changed)


def _changed(old: PlatformSettings, new: PlatformSettings) -> dict[str, str]:
    """Return the fields that differ, each with when its new value applies."""
    return {
        field.name: "in force" if field.name in RELOADABLE_FIELDS else "from the next start on"
        for field in fields(PlatformSettings)
        if getattr(old, field.name) != getattr(new, field.name)
    }
