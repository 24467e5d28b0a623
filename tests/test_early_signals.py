"""Signals that reach an entry host while it is still being imported."""

import os
import signal
import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Final

import pytest
import trio

from galenastall.platform.standin.callers import StandinCaller
from galenastall.platform.standin.hosts import StandinHost, make_hosts
from galenastall.platform.standin.processes import SOURCE
from galenastall.platform.standin.server import PlatformStandin, StandinPlan
from galenastall.transport.clock import TrioClock

TIMEOUT_S: Final = 60.0
DEPLOYED: Final = SOURCE.parent / "deploy" / "entry_host.py"
PROGRAMS: Final = {
    "module": "runpy.run_module('galenastall.platform', run_name='__main__')",
    "deployed": f"runpy.run_path({str(DEPLOYED)!r}, run_name='__main__')",
}
SIGNAL_AT_FIRST_LIBRARY: Final = """
import os, runpy, signal, sys

class SignalAtImport:
    def find_spec(self, name, path=None, target=None):
        if name == "trio":
            os.kill(os.getpid(), {number})

sys.meta_path.insert(0, SignalAtImport())
{program}
"""


def start(folder: Path, code: str) -> subprocess.Popen[bytes]:
    settings = str(folder / "settings.toml")
    environment = {**os.environ, "GALENASTALL_SETTINGS": settings, "PYTHONPATH": str(SOURCE)}
    with (folder / "log").open("wb") as log:
        return subprocess.Popen(
            [sys.executable, "-c", code], env=environment, stdout=log, stderr=log
        )


@asynccontextmanager
async def started(
    folder: Path, program: str, number: int
) -> AsyncIterator[tuple[StandinHost, subprocess.Popen[bytes]]]:
    """Start a host's process, which gets a signal during its imports."""
    standin = PlatformStandin(plan=StandinPlan(executors_by_data_centre={}), clock=TrioClock())
    async with trio.open_nursery() as nursery:
        await nursery.start(standin.run)
        standin.configure(standin.make_route("q"))
        host = make_hosts({"one": ("one-1",)})[0]
        (folder / "settings.toml").write_text(host.settings_text(standin))
        code = SIGNAL_AT_FIRST_LIBRARY.format(number=int(number), program=PROGRAMS[program])
        process = start(folder, code)
        try:
            yield host, process
        finally:
            process.kill()
            process.wait()
        nursery.cancel_scope.cancel()


async def exit_code(process: subprocess.Popen[bytes]) -> int:
    with trio.fail_after(TIMEOUT_S):
        while (code := process.poll()) is None:  # noqa: ASYNC110 - it sets no event
            await trio.sleep(0.05)
    return code


@pytest.mark.parametrize("program", sorted(PROGRAMS))
class TestSignalsDuringImports:
    async def test_a_hangup_does_not_end_the_process(self, tmp_path: Path, program: str) -> None:
        async with started(tmp_path, program, signal.SIGHUP) as (host, process):
            with trio.fail_after(TIMEOUT_S):
                await StandinCaller().wait_ready(host)
            process.send_signal(signal.SIGTERM)
            assert await exit_code(process) == 0

    async def test_a_termination_ends_it_cleanly(self, tmp_path: Path, program: str) -> None:
        async with started(tmp_path, program, signal.SIGTERM) as (_, process):
            assert await exit_code(process) == 0
            assert b'"event":"host.stopped"' in (tmp_path / "log").read_bytes()
