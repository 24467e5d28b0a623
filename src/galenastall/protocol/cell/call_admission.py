"""Decides by one version of the configuration whether a call is admitted; pure.

A host decides by its own version, or has the leader decide by the leader's; the rules are the same.
"""

import hmac
from dataclasses import dataclass
from typing import Final

from galenastall.protocol.cell.config import CellConfig, Credential, QueueRoute
from galenastall.protocol.cell.messages import CallAdmission, CallRefusal
from galenastall.state.cell.workspaces import NO_WORKSPACE

_INDEXED_DIGITS: Final = 8
"""Leading digits of a digest that index the candidates; whole digests are compared in constant
time."""


@dataclass(frozen=True, kw_only=True, slots=True)
class CallAddress:
    """What decides whether a call is admitted."""

    host: str
    """Value of the request's Host header."""
    path: str
    key_digest: str
    """Digest of the caller's key; the key itself is never kept."""


class AdmissionRules:
    """Admits or refuses calls by the routes and keys of a configuration."""

    def __init__(self) -> None:
        """Start with no configuration; its keys are indexed on first use."""
        self._config: CellConfig | None = None
        self._credentials_by_prefix: dict[str, list[Credential]] = {}

    def decide(self, config: CellConfig, call: CallAddress) -> CallAdmission:
        """Return the admission of a call by this configuration, or its refusal."""
        version = config.version
        route = config.find(host=call.host, path=call.path)
        if route is None:
            return CallAdmission(version=version, refusal=CallRefusal.NOT_FOUND)
        workspace = self.workspace_of(config, route, call.key_digest)
        if workspace is None:
            return CallAdmission(version=version, refusal=CallRefusal.UNAUTHORIZED)
        return CallAdmission(version=version, route=route, workspace=workspace)

    def workspace_of(self, config: CellConfig, route: QueueRoute, key_digest: str) -> str | None:
        """Return the workspace that a call on `route` acts for; None if it lacks a known key."""
        if route.is_public or not config.requires_keys:
            return NO_WORKSPACE
        if config is not self._config:
            self._index(config)
        for known in self._credentials_by_prefix.get(key_digest[:_INDEXED_DIGITS], []):
            if hmac.compare_digest(known.digest, key_digest):
                return known.workspace
        return None

    def _index(self, config: CellConfig) -> None:
        self._config = config
        self._credentials_by_prefix = {}
        for each in config.credentials:
            prefix = each.digest[:_INDEXED_DIGITS]
            self._credentials_by_prefix.setdefault(prefix, []).append(each)
