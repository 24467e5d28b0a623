"""Paths of the shared tree and the revision of each path.

A path joins keys by slashes, `teams/packs/weight`; the empty path is the root. Trees are plain
mappings and are never changed in place.
"""

from typing import Any, Final

from galenastall.state.ids import Offset

Tree = dict[str, Any]

SEPARATOR: Final = "/"
NO_REVISION: Final = Offset(-1)
"""Revision of a path on which no change was accepted."""
MAX_REVISED_PATHS: Final = 4096
"""Beyond it the oldest entries are merged into their parents, which may cause a false conflict but
never hides one."""


def split_path(path: str) -> tuple[str, ...]:
    """Return the keys of a path; raises ValueError if one is empty."""
    if not path:
        return ()
    keys = tuple(path.split(SEPARATOR))
    if not all(keys):
        raise ValueError(f"path {path!r} has an empty key")
    return keys


def overlap(one: tuple[str, ...], other: tuple[str, ...]) -> bool:
    """Return whether one path is the other's ancestor, or they are equal."""
    shortest = min(len(one), len(other))
    return one[:shortest] == other[:shortest]


def get_subtree(tree: Tree, path: str) -> Any:
    """Return the value at `path`, None if there is none."""
    value: Any = tree
    for key in split_path(path):
        if not isinstance(value, dict) or key not in value:
            return None
        value = value[key]
    return value


def replace_subtree(tree: Tree, path: str, subtree: Any) -> Tree:
    """Return a copy with the value at `path` replaced; None removes it, so defaults apply.

    Missing parent mappings are created. Raises ValueError if a parent is not a mapping.
    """
    keys = split_path(path)
    if not keys:
        if subtree is None:
            return {}
        if not isinstance(subtree, dict):
            raise ValueError("the root must be a mapping")
        return subtree
    return _replace(tree, keys, subtree, path)


def _replace(tree: Tree, keys: tuple[str, ...], subtree: Any, path: str) -> Tree:
    head, rest = keys[0], keys[1:]
    copy = dict(tree)
    if not rest:
        if subtree is None:
            copy.pop(head, None)
        else:
            copy[head] = subtree
        return copy
    below = tree.get(head, {})
    if not isinstance(below, dict):
        raise ValueError(f"{head!r} in path {path!r} is not a mapping")
    copy[head] = _replace(below, rest, subtree, path)
    return copy


class Revisions:
    """Offset of the last accepted change by path; bounded by MAX_REVISED_PATHS."""

    def __init__(self, offsets_by_path: dict[str, int] | None = None) -> None:
        self._offsets_by_keys = {
            split_path(path): offset for path, offset in (offsets_by_path or {}).items()
        }

    def of(self, path: str) -> Offset:
        """Return the offset of the last change on the path, its ancestors or its descendants."""
        keys = split_path(path)
        found = (offset for other, offset in self._offsets_by_keys.items() if overlap(keys, other))
        return Offset(max(found, default=NO_REVISION))

    def note(self, path: str, offset: Offset) -> None:
        """Record an accepted change; it replaces the entries of the path's descendants."""
        keys = split_path(path)
        below = [
            other for other in self._offsets_by_keys if other[: len(keys)] == keys and other != keys
        ]
        for other in below:
            del self._offsets_by_keys[other]
        self._offsets_by_keys[keys] = offset
        while len(self._offsets_by_keys) > max(1, MAX_REVISED_PATHS):
            self._merge_oldest()

    def _merge_oldest(self) -> None:
        below_root = (keys for keys in self._offsets_by_keys if keys)
        oldest = min(below_root, key=lambda keys: (self._offsets_by_keys[keys], keys))
        offset = self._offsets_by_keys.pop(oldest)
        parent = oldest[:-1]
        self._offsets_by_keys[parent] = max(offset, self._offsets_by_keys.get(parent, offset))

    def to_plain(self) -> dict[str, int]:
        """Return offsets by path, for snapshots and digests."""
        return {SEPARATOR.join(keys): offset for keys, offset in self._offsets_by_keys.items()}
