"""Records of the settings stream, and the folded state that snapshots carry."""

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
    """What the fold decided on a change."""

    ACCEPTED = "accepted"
    STALE = "stale"
    """Another change on the path came first."""
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
    """Hash of the change, to tell a repeat from another change under the same id."""
    detail: str = ""
    """For people; not part of digests, as its wording may differ between versions of libraries."""

    @property
    def is_accepted(self) -> bool:
        """Whether the change is in force."""
        return self.kind is VerdictKind.ACCEPTED


@RECORDS.register("settings.change")
@dataclass(frozen=True, kw_only=True, slots=True)
class SettingsChange:
    """A wish to replace one subtree; the fold decides on it at its offset."""

    change_id: ChangeId
    path: str
    base_revision: Offset
    """The path's revision that the author saw; NO_REVISION if there was none."""
    subtree: Any
    """Plain values; None removes the path, so that defaults apply."""
    author: str
    schema_version: int

    def content(self) -> str:
        """Return the hash of what the change says."""
        said = (self.path, self.base_revision, self.subtree, self.author)
        return _hash(said, CONTENT_BYTES)


@dataclass(frozen=True, kw_only=True, slots=True)
class SettingsState:
    """All that the fold knows; equal states have equal digests."""

    tree: dict[str, Any] = field(default_factory=dict)
    revisions: dict[str, int] = field(default_factory=dict)
    verdicts: tuple[Verdict, ...] = ()
    """The last ones, oldest first."""
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
    """The folded state up to an offset, so that older records may be dropped by the log."""

    covering: Offset
    """Offset of the last record folded into it; -1 for none."""
    digest: str
    state: SettingsState
    written_at: float = 0.0
    """Wall time in seconds, so that all know its age; not part of the digest."""


def _hash(value: object, size: int) -> str:
    canonical = msgspec.json.encode(value, order="sorted")
    return hashlib.blake2b(canonical, digest_size=size).hexdigest()
