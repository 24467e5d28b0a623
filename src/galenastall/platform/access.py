"""Which workspace a call acts for, by the key that it carries."""

import hashlib
import hmac
from dataclasses import dataclass
from typing import Final

from galenastall.protocol.cell.config import CellConfig, Credential, QueueRoute
from galenastall.state.cell.workspaces import NO_WORKSPACE

KEY_HEADER: Final = "x-api-key"
_INDEXED_DIGITS: Final = 8
"""Digits of a digest by which candidates are found; the whole is compared in constant time."""


def digest_of(key: str) -> str:
    """Return the digest by which a key is kept and compared."""
    return hashlib.sha256(key.encode()).hexdigest()


@dataclass(frozen=True, kw_only=True, slots=True)
class Admission:
    """A call that may be served."""

    route: QueueRoute
    workspace: str
    config_version: int


class KeyCheck:
    """Finds the workspaces of keys in the configuration in force."""

    def __init__(self) -> None:
        """Begin before the first configuration."""
        self._config: CellConfig | None = None
        self._credentials_by_prefix: dict[str, list[Credential]] = {}

    def workspace_of(self, config: CellConfig, route: QueueRoute, key: str) -> str | None:
        """Return for whom a call on `route` acts; None if it has to show a key that is known."""
        if route.is_public or not config.requires_keys:
            return NO_WORKSPACE
        if config is not self._config:
            self._index(config)
        digest = digest_of(key)
        for known in self._credentials_by_prefix.get(digest[:_INDEXED_DIGITS], []):
            if hmac.compare_digest(known.digest, digest):
                return known.workspace
        return None

    def _index(self, config: CellConfig) -> None:
        self._config = config
        self._credentials_by_prefix = {}
        for each in config.credentials:
            prefix = each.digest[:_INDEXED_DIGITS]
            self._credentials_by_prefix.setdefault(prefix, []).append(each)
