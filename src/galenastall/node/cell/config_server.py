"""Answers other hosts that ask for the configuration."""

from collections.abc import Callable
from typing import Any

from galenastall.protocol.cell.config import CellConfig
from galenastall.protocol.cell.messages import (
    ConfigAnswer,
    ConfigPart,
    GetConfig,
    GetConfigPart,
)
from galenastall.protocol.cell.packed_config import PackedConfig
from galenastall.protocol.peers import PeerLink
from galenastall.state.ids import HostId


class ConfigServer:
    """Sends the configuration in force, in parts or, to older programs, as a whole."""

    def __init__(self, *, link: PeerLink, current: Callable[[], CellConfig | None]) -> None:
        """Answer on `link` with the configuration that `current` returns."""
        self._current = current
        self._packed: PackedConfig | None = None
        """The last version that was asked for: all hosts ask for the same."""
        link.handle(GetConfig, self._on_get)
        link.handle(GetConfigPart, self._on_get_part)

    async def _on_get(self, _: HostId, message: GetConfig) -> Any:
        return ConfigAnswer(config=self._newer_than(message.known_version))

    async def _on_get_part(self, _: HostId, message: GetConfigPart) -> Any:
        config = self._newer_than(message.known_version)
        if config is None:
            return ConfigPart()
        return self._pack(config).part(digest=message.digest, offset=message.offset)

    def _newer_than(self, version: int) -> CellConfig | None:
        config = self._current()
        return config if config is not None and config.version > version else None

    def _pack(self, config: CellConfig) -> PackedConfig:
        if self._packed is None or self._packed.version != config.version:
            self._packed = PackedConfig.of(config)
        return self._packed
