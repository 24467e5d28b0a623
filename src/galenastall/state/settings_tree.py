"""Deterministic fold of the settings stream: compare-and-set by offset order, no coordinator.

A change is accepted at its offset if its path's revision is still the one that its author saw, the
author may change the path, and the whole tree is valid afterwards. Every entry host folds the same
records in the same order and so reaches the same verdict. The state in force never moves backwards.

Verdicts are kept for the last MAX_VERDICTS changes, and a repeat of one of these is ignored. A
later repeat of an accepted change is stale, because accepting it raised the path's revision above
its base. So the bound limits how long a status can be queried, not safety.
"""

from collections import OrderedDict, deque
from typing import Any, Final

from returns.result import Failure, Result, Success

from galenastall.state.ids import ChangeId, Offset
from galenastall.state.key_home_history import HISTORY_SCHEMA, find_moved_keys
from galenastall.state.records import LoggedRecord
from galenastall.state.settings_authority import find_denial_reason
from galenastall.state.settings_paths import (
    Revisions,
    Tree,
    get_subtree,
    overlap,
    replace_subtree,
    split_path,
)
from galenastall.state.settings_problems import check_tree
from galenastall.state.settings_records import (
    SettingsChange,
    SettingsSnapshot,
    SettingsState,
    Verdict,
    VerdictKind,
)
from galenastall.state.shared_settings import SCHEMA_VERSION, SharedSettings

MAX_VERDICTS: Final = 512
MAX_DETAIL_CHARS: Final = 300
MAX_HELD_RECORDS: Final = 20_000
"""Records held while a gap before them is open; beyond it the oldest are dropped."""
REMEMBERED_DIGESTS: Final = 64
SOURCE: Final = "shared tree"


class SettingsFold:
    """The shared tree as of an offset; see the module docstring."""

    def __init__(self) -> None:
        """Start before the first record of a stream that is read from offset 0."""
        self._tree: Tree = {}
        self._settings = SharedSettings()
        self._revisions = Revisions()
        self._verdicts_by_id: OrderedDict[ChangeId, Verdict] = OrderedDict()
        self._schema_version = 0
        self._next = Offset(0)
        self._held: deque[LoggedRecord] = deque()
        self._blocked_by_id: dict[ChangeId, SettingsChange] = {}
        self._digest = self.state().digest()
        self._digests = deque([(Offset(-1), self._digest)], maxlen=REMEMBERED_DIGESTS)
        self.mismatched_snapshots = 0
        """Snapshots in the log whose digest differs from the state folded here."""

    @property
    def settings(self) -> SharedSettings:
        """The settings in force."""
        return self._settings

    @property
    def next_offset(self) -> Offset:
        """All records before this offset are in force or rejected."""
        return self._next

    @property
    def digest(self) -> str:
        """Digest of the state; empty while changes of a newer schema make it incomparable."""
        return "" if self._blocked_by_id else self._digest

    @property
    def has_gap(self) -> bool:
        """Whether records are held that can't be folded until a snapshot closes the gap."""
        return bool(self._held)

    @property
    def blocked_paths(self) -> tuple[str, ...]:
        """Paths with unapplied changes of a newer schema; their earlier values stay in force."""
        return tuple(sorted({change.path for change in self._blocked_by_id.values()}))

    def subtree(self, path: str) -> Any:
        """Return the plain values set at `path`, None if there are none; raises ValueError."""
        return get_subtree(self._tree, path)

    def revision(self, path: str) -> Offset:
        """Return the revision on which a change of `path` must be based; raises ValueError."""
        return self._revisions.of(path)

    def verdict(self, change_id: ChangeId) -> Verdict | None:
        """Return the verdict on a change, None if it is unknown or evicted."""
        return self._verdicts_by_id.get(change_id)

    def is_blocked(self, change_id: ChangeId) -> bool:
        """Return whether the change was read but not applied, because of a newer schema."""
        return change_id in self._blocked_by_id

    def verdicts(self) -> tuple[Verdict, ...]:
        """Return the verdicts still kept, oldest first."""
        return tuple(self._verdicts_by_id.values())

    def apply(self, logged: LoggedRecord) -> None:
        """Fold a record; one beyond a gap is held, one already folded is ignored."""
        if logged.offset < self._next:
            return
        if logged.offset > self._next:
            self._hold(logged)
            return
        self._step(logged)
        self._fold_held()

    def adopt(self, snapshot: SettingsSnapshot) -> bool:
        """Replace the state by that of a snapshot; return whether it was adopted.

        Rejected if it covers no records beyond this state, is damaged, or is of a newer schema.
        """
        state = snapshot.state
        if snapshot.covering < self._next or state.schema_version > SCHEMA_VERSION:
            return False
        if state.digest() != snapshot.digest:
            return False
        checked = check_tree(SharedSettings, state.tree, source=SOURCE)
        if not isinstance(checked, Success):
            return False
        self._tree = state.tree
        self._settings = checked.unwrap()
        self._revisions = Revisions(state.revisions)
        self._verdicts_by_id = OrderedDict(
            (verdict.change_id, verdict) for verdict in state.verdicts
        )
        self._schema_version = state.schema_version
        self._blocked_by_id.clear()
        self._next = Offset(snapshot.covering + 1)
        self._note_digest(snapshot.covering, snapshot.digest)
        self._fold_held()
        return True

    def state(self) -> SettingsState:
        """Return the folded state."""
        return SettingsState(
            tree=self._tree,
            revisions=self._revisions.to_plain(),
            verdicts=tuple(self._verdicts_by_id.values()),
            schema_version=self._schema_version,
        )

    def snapshot(self, *, written_at: float) -> SettingsSnapshot:
        """Return the state as a snapshot record; raises ValueError while changes are blocked."""
        if self._blocked_by_id:
            raise ValueError(f"changes of a newer schema are not folded: {self.blocked_paths}")
        return SettingsSnapshot(
            covering=Offset(self._next - 1),
            digest=self._digest,
            state=self.state(),
            written_at=written_at,
        )

    def _hold(self, logged: LoggedRecord) -> None:
        if self._held and logged.offset <= self._held[-1].offset:
            return
        self._held.append(logged)
        while len(self._held) > MAX_HELD_RECORDS:
            self._held.popleft()
        record = logged.record
        if isinstance(record, SettingsSnapshot) and record.covering + 1 >= self._held[0].offset:
            self.adopt(record)

    def _fold_held(self) -> None:
        while self._held and self._held[0].offset <= self._next:
            held = self._held.popleft()
            if held.offset == self._next:
                self._step(held)

    def _step(self, logged: LoggedRecord) -> None:
        self._next = Offset(logged.offset + 1)
        match logged.record:
            case SettingsChange() as change:
                self._apply_change(change, logged.offset)
            case SettingsSnapshot() as snapshot:
                self._compare(snapshot)

    def _apply_change(self, change: SettingsChange, offset: Offset) -> None:
        if change.change_id in self._verdicts_by_id or change.change_id in self._blocked_by_id:
            return
        if change.schema_version > SCHEMA_VERSION or self._touches_blocked(change.path):
            self._blocked_by_id[change.change_id] = change
            return
        kind, detail = self._evaluate(change, offset)
        self._schema_version = max(self._schema_version, change.schema_version)
        self._verdicts_by_id[change.change_id] = Verdict(
            change_id=change.change_id,
            offset=offset,
            kind=kind,
            path=change.path,
            author=change.author,
            content=change.content(),
            detail=detail[:MAX_DETAIL_CHARS],
        )
        if len(self._verdicts_by_id) > MAX_VERDICTS:
            self._verdicts_by_id.popitem(last=False)
        self._note_digest(offset, self.state().digest())

    def find_problem(self, path: str, subtree: Any) -> str | None:
        """Return why the tree would be invalid with `subtree` at `path`, None if it is valid."""
        built = self._build(path, subtree)
        return built.failure() if isinstance(built, Failure) else None

    def preview(self, path: str, subtree: Any) -> Result[SharedSettings, str]:
        """Return the settings with `subtree` at `path`, or why they would be invalid."""
        return self._build(path, subtree).map(lambda built: built[1])

    def _build(self, path: str, subtree: Any) -> Result[tuple[Tree, SharedSettings], str]:
        try:
            tree = replace_subtree(self._tree, path, subtree)
        except ValueError as error:
            return Failure(str(error))
        checked = check_tree(SharedSettings, tree, source=SOURCE)
        return checked.map(lambda settings: (tree, settings)).alt(str)

    def _evaluate(self, change: SettingsChange, offset: Offset) -> tuple[VerdictKind, str]:
        if _keys_or_none(change.path) is None:
            return VerdictKind.INVALID, f"path {change.path!r} has an empty key"
        revision = self._revisions.of(change.path)
        if revision != change.base_revision:
            return VerdictKind.STALE, f"revision is {revision}, not {change.base_revision}"
        built = self._build(change.path, change.subtree)
        if isinstance(built, Failure):
            return VerdictKind.INVALID, built.failure()
        tree, settings = built.unwrap()
        denial = find_denial_reason(
            before=self._settings, after=settings, path=change.path, author=change.author
        )
        if denial is not None:
            return VerdictKind.FORBIDDEN, denial
        moved = find_moved_keys(before=self._settings, after=settings)
        if moved is not None and change.schema_version >= HISTORY_SCHEMA:
            return VerdictKind.INVALID, moved
        self._tree = tree
        self._settings = settings
        self._revisions.note(change.path, offset)
        return VerdictKind.ACCEPTED, ""

    def _touches_blocked(self, path: str) -> bool:
        keys = _keys_or_none(path)
        blocked = (_keys_or_none(change.path) for change in self._blocked_by_id.values())
        return keys is not None and any(
            other is not None and overlap(keys, other) for other in blocked
        )

    def _compare(self, snapshot: SettingsSnapshot) -> None:
        earlier = (found for found in reversed(self._digests) if found[0] <= snapshot.covering)
        known = next(earlier, None)
        if known is not None and not self._blocked_by_id and known[1] != snapshot.digest:
            self.mismatched_snapshots += 1

    def _note_digest(self, offset: Offset, digest: str) -> None:
        self._digest = digest
        self._digests.append((offset, digest))


def _keys_or_none(path: str) -> tuple[str, ...] | None:
    try:
        return split_path(path)
    except ValueError:
        return None
