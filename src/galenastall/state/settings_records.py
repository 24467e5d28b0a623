"""Records of the settings stream and the folded state that snapshots contain."""

import hashlib
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, Final

import msgspec

from galenastall.state.ids import ChangeId, Offset
from galenastall.state.records import RECORDS

DIGEST_BYTES: Final = 16
CONTENT_BYTES: Final = 8


class VerdictKind(StrEnum):
    """The fold's decision on a change."""

    ACCEPTED = "accepted"
    STALE = "stale"
    """Another change on the path was accepted first."""
    INVALID = "invalid"
    """The tree would not have been valid."""
    FORBIDDEN = "forbidden"
    """The author may not change this path."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Verdict:
    """The decision on one change, the same on every entry host."""

    change_id: ChangeId
    offset: Offset
    """Offset of the change; the path's new revision if it was accepted."""
    kind: VerdictKind
    path: str
    author: str
    content: str
    """Hash of the change, to distinguish a repeat from another change with the same id."""
    detail: str = ""
    """For operators; excluded from digests, as its wording varies between library versions."""

    @property
    def is_accepted(self) -> bool:
        """Whether the change is in force."""
        return self.kind is VerdictKind.ACCEPTED


@RECORDS.register("settings.change")
@dataclass(frozen=True, kw_only=True, slots=True)
class SettingsChange:
    """A request to replace one subtree; the fold decides on it at its offset."""

    change_id: ChangeId
    path: str
    base_revision: Offset
    """The path's revision that the author saw; NO_REVISION if there was none."""
    subtree: Any
    """Plain values; None removes the path, so its defaults apply."""
    author: str
    schema_version: int

    def content(self) -> str:
        """Return the hash of path, base revision, subtree and author."""
        fields = (self.path, self.base_revision, self.subtree, self.author)
        return _hash(fields, CONTENT_BYTES)


@dataclass(frozen=True, kw_only=True, slots=True)
class SettingsState:
    """The complete state of the fold; equal states have equal digests."""

    tree: dict[str, Any] = field(default_factory=dict)
    revisions: dict[str, int] = field(default_factory=dict)
    verdicts: tuple[Verdict, ...] = ()
    """The latest verdicts, oldest first."""
    schema_version: int = 0
    """Highest schema version of any change folded."""

    def digest(self) -> str:
        """Return the hash of the state's canonical JSON (sorted keys)."""
        decided = [
            (verdict.change_id, verdict.offset, verdict.kind, verdict.content)
            for verdict in self.verdicts
        ]
        return _hash((self.tree, self.revisions, decided, self.schema_version), DIGEST_BYTES)


@RECORDS.register("settings.snapshot")
@dataclass(frozen=True, kw_only=True, slots=True)
class SettingsSnapshot:
    """The folded state up to an offset, so that the log may trim older records."""

    covering: Offset
    """Offset of the last record folded into it; -1 for none."""
    digest: str
    state: SettingsState
    written_at: float = 0.0
    """Wall time in seconds, from which readers compute its age; not part of the digest."""


def _hash(value: object, size: int) -> str:
    canonical = msgspec.json.encode(value, order="sorted")
    return hashlib.blake2b(canonical, digest_size=size).hexdigest()
