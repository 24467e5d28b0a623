"""Authenticates callers: maps the API key of a call to the workspace that it acts for."""

import hashlib
import hmac
from dataclasses import dataclass
from typing import Final

from galenastall.protocol.cell.config import CellConfig, Credential, QueueRoute
from galenastall.state.cell.workspaces import NO_WORKSPACE

KEY_HEADER: Final = "x-api-key"
_INDEXED_DIGITS: Final = 8
"""Leading digits of a digest that index the candidates; whole digests are compared in constant
time."""


def digest_of(key: str) -> str:
    """Return the digest that is stored and compared instead of a key."""
    return hashlib.sha256(key.encode()).hexdigest()


@dataclass(frozen=True, kw_only=True, slots=True)
class Admission:
    """A call that was admitted, with the configuration version that admitted it."""

    route: QueueRoute
    workspace: str
    config_version: int


class KeyCheck:
    """Looks up the workspaces of keys in the current configuration."""

    def __init__(self) -> None:
        """Start with no configuration; its keys are indexed on first use."""
        self._config: CellConfig | None = None
        self._credentials_by_prefix: dict[str, list[Credential]] = {}

    def workspace_of(self, config: CellConfig, route: QueueRoute, key: str) -> str | None:
        """Return the workspace that a call on `route` acts for; None if it lacks a known key."""
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
