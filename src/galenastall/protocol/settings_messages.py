"""Messages by which entry hosts keep each other's shared tree up to date."""

from dataclasses import dataclass

from galenastall.protocol.codec import PEER_MESSAGES
from galenastall.state.ids import Offset
from galenastall.state.settings_records import SettingsChange, SettingsSnapshot


@PEER_MESSAGES.register("settings_position")
@dataclass(frozen=True, kw_only=True, slots=True)
class SettingsPosition:
    """How far the sender's tree has come; a few dozen bytes, sent with the pace of heartbeats."""

    next_offset: Offset
    digest: str
    """Empty while it can't be compared."""
    is_ready: bool


@PEER_MESSAGES.register("settings_position_ask")
@dataclass(frozen=True, kw_only=True, slots=True)
class SettingsPositionQuery:
    """Asks for a position."""


@PEER_MESSAGES.register("settings_fetch")
@dataclass(frozen=True, kw_only=True, slots=True)
class SettingsFetch:
    """Asks for what the sender lacks."""

    have: Offset
    """Offset of the next record that the sender would fold."""


@dataclass(frozen=True, kw_only=True, slots=True)
class FetchedChange:
    """A change with its offset."""

    offset: Offset
    change: SettingsChange


@PEER_MESSAGES.register("settings_fetched")
@dataclass(frozen=True, kw_only=True, slots=True)
class SettingsFetched:
    """The changes from `have` on, or the whole state if the answerer no longer has them all."""

    next_offset: Offset
    changes: tuple[FetchedChange, ...] = ()
    snapshot: SettingsSnapshot | None = None
