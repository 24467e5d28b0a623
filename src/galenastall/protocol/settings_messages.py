"""Peer messages by which entry hosts synchronise the shared tree."""

from dataclasses import dataclass

from galenastall.protocol.codec import PEER_MESSAGES
from galenastall.state.ids import Offset
from galenastall.state.settings_records import SettingsChange, SettingsSnapshot


@PEER_MESSAGES.register("settings_position")
@dataclass(frozen=True, kw_only=True, slots=True)
class SettingsPosition:
    """Position of the sender's tree; a few dozen bytes, sent at the rate of heartbeats."""

    next_offset: Offset
    digest: str
    """Empty while the state is incomparable."""
    is_ready: bool


@PEER_MESSAGES.register("settings_position_ask")
@dataclass(frozen=True, kw_only=True, slots=True)
class SettingsPositionQuery:
    """Requests the receiver's position."""


@PEER_MESSAGES.register("settings_fetch")
@dataclass(frozen=True, kw_only=True, slots=True)
class SettingsFetch:
    """Requests the changes that the sender lacks."""

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
    """The changes from `have` on, or a snapshot if the sender no longer has them all."""

    next_offset: Offset
    changes: tuple[FetchedChange, ...] = ()
    snapshot: SettingsSnapshot | None = None
