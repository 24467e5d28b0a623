"""Starts entry hosts as processes that run against the stand-in."""

import os
import subprocess
import sys
from pathlib import Path
from typing import IO, Final

import galenastall
from galenastall.platform.standin.hosts import StandinHost
from galenastall.platform.standin.server import PlatformStandin

SOURCE: Final = Path(galenastall.__file__).parents[1]


def start_process(
    host: StandinHost,
    *,
    standin: PlatformStandin,
    folder: Path,
    log: int | IO[bytes],
    errors: int | IO[bytes] | None = None,
) -> subprocess.Popen[bytes]:
    """Write a host's settings to `folder` and start its process.

    Log lines go to `log`, standard error to `errors`, or to this process's if that is None.
    """
    path = folder / f"{host.name}.toml"
    path.write_text(host.settings_text(standin))
    environment = {**os.environ, "GALENASTALL_SETTINGS": str(path), "PYTHONPATH": str(SOURCE)}
    return subprocess.Popen(
        [sys.executable, "-m", "galenastall.platform"],
        env=environment,
        stdout=log,
        stderr=errors,
    )
