"""Start, watch, harm and stop the processes of an experiment, and only these.

The product starts no processes; this driver is a development tool. It signals only pids that it
started and that it has not yet reaped, so that a reused pid is never hit.
"""

import os
import signal
import socket
from collections.abc import AsyncIterator, Iterator, Sequence
from contextlib import asynccontextmanager, contextmanager
from dataclasses import dataclass
from pathlib import Path
from subprocess import STDOUT
from typing import Final

import httpcore
import trio

from galenastall.state.errors import GalenastallError

MAX_PROCESSES: Final = 64
READY_POLL_S: Final = 0.1
STOP_GRACE_S: Final = 5.0
LOG_TAIL_BYTES: Final = 2000
_TICKS_PER_S: Final = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES: Final = os.sysconf("SC_PAGE_SIZE")


class ProcessError(GalenastallError):
    """A process of the experiment did not start, or ended by itself."""

    def __init__(self, *, name: str, detail: str) -> None:
        """Name the process and say what happened to it."""
        super().__init__(f"process {name}: {detail}")
        self.name = name


@dataclass(frozen=True, kw_only=True, slots=True)
class Usage:
    """What a process has used so far."""

    cpu_s: float
    rss_mb: float
    peak_rss_mb: float


@dataclass(kw_only=True, slots=True)
class Managed:
    """One process that the driver started."""

    name: str
    process: trio.Process
    log_path: Path
    paused: bool = False

    @property
    def pid(self) -> int:
        """Its process id."""
        return self.process.pid

    @property
    def is_running(self) -> bool:
        """Whether it has not ended yet."""
        return self.process.poll() is None


class Driver:
    """The processes of one experiment."""

    def __init__(self, *, directory: Path) -> None:
        """Keep logs under `directory`; use `running_driver` so that all are stopped."""
        self._directory = directory
        self._managed_by_name: dict[str, Managed] = {}

    async def start(
        self, *, name: str, command: Sequence[str], extra_env: dict[str, str] | None = None
    ) -> Managed:
        """Start a process; its output goes to `<name>.log`. A stopped name may start again."""
        existing = self._managed_by_name.get(name)
        if existing is not None and existing.is_running:
            raise ProcessError(name=name, detail="is already running")
        if sum(each.is_running for each in self._managed_by_name.values()) >= MAX_PROCESSES:
            raise ProcessError(name=name, detail=f"more than {MAX_PROCESSES} processes")
        log_path = self._directory / f"{name}.log"
        with log_path.open("ab") as log_file:
            process = await trio.lowlevel.open_process(
                list(command),
                stdout=log_file,
                stderr=STDOUT,
                env={**os.environ, **(extra_env or {})},
            )
        managed = Managed(name=name, process=process, log_path=log_path)
        self._managed_by_name[name] = managed
        return managed

    async def wait_ready(self, *, name: str, url: str, timeout_s: float) -> None:
        """Return once `url` answers 200; raises ProcessError with the log's end otherwise."""
        managed = self._managed_by_name[name]
        async with httpcore.AsyncConnectionPool() as pool:
            with trio.move_on_after(timeout_s):
                while managed.is_running:
                    if await _answers_ok(pool, url):
                        return
                    await trio.sleep(READY_POLL_S)
        state = (
            "did not get ready" if managed.is_running else f"ended with {managed.process.poll()}"
        )
        raise ProcessError(name=name, detail=f"{state}; log ends: {self.log_tail(name)}")

    def kill(self, name: str) -> None:
        """End a process at once."""
        self._signal(name, signal.SIGKILL)

    def terminate(self, name: str) -> None:
        """Ask a process to stop gracefully."""
        self._signal(name, signal.SIGTERM)

    def pause(self, name: str) -> None:
        """Freeze a process until `resume`."""
        self._signal(name, signal.SIGSTOP)
        self._managed_by_name[name].paused = True

    def resume(self, name: str) -> None:
        """Let a frozen process go on."""
        self._signal(name, signal.SIGCONT)
        self._managed_by_name[name].paused = False

    async def wait_ended(self, *, name: str, timeout_s: float) -> int:
        """Return the exit code; raises ProcessError if it takes longer."""
        with trio.move_on_after(timeout_s):
            return await self._managed_by_name[name].process.wait()
        raise ProcessError(name=name, detail=f"still runs after {timeout_s} s")

    def is_running(self, name: str) -> bool:
        """Return whether the process was started and has not ended."""
        managed = self._managed_by_name.get(name)
        return managed is not None and managed.is_running

    def usage(self, name: str) -> Usage:
        """Return processor time and memory; raises ProcessError if the process ended."""
        managed = self._managed_by_name[name]
        if not managed.is_running:
            raise ProcessError(name=name, detail="has ended: no usage to read")
        return read_usage(managed.pid)

    def log_tail(self, name: str) -> str:
        """Return the end of a process's output."""
        data = self._managed_by_name[name].log_path.read_bytes()
        return data[-LOG_TAIL_BYTES:].decode(errors="replace")

    async def stop_all(self) -> None:
        """Stop everything that was started: gracefully, then at once."""
        running = [each for each in self._managed_by_name.values() if each.is_running]
        for managed in running:
            if managed.paused:
                managed.process.send_signal(signal.SIGCONT)
            managed.process.terminate()
        with trio.move_on_after(STOP_GRACE_S):
            for managed in running:
                await managed.process.wait()
        for managed in running:
            if managed.is_running:
                managed.process.kill()
                await managed.process.wait()

    def _signal(self, name: str, number: signal.Signals) -> None:
        managed = self._managed_by_name.get(name)
        if managed is None or not managed.is_running:
            raise ProcessError(name=name, detail=f"does not run, so no {number.name}")
        managed.process.send_signal(number)


@asynccontextmanager
async def running_driver(directory: Path) -> AsyncIterator[Driver]:
    """Provide a driver that stops all its processes on the way out, whatever happens."""
    driver = Driver(directory=directory)
    try:
        with _terminate_as_interrupt():
            yield driver
    finally:
        with trio.CancelScope(shield=True):
            await driver.stop_all()


@contextmanager
def _terminate_as_interrupt() -> Iterator[None]:
    """Let SIGTERM unwind the experiment like Ctrl-C, so that nothing is left running.

    A shell starts what runs in its background with SIGINT ignored, which would lose the signal.
    """
    if signal.getsignal(signal.SIGINT) is signal.SIG_IGN:
        signal.signal(signal.SIGINT, signal.default_int_handler)
    before = signal.signal(signal.SIGTERM, lambda *_: signal.raise_signal(signal.SIGINT))
    try:
        yield
    finally:
        signal.signal(signal.SIGTERM, before)


def reserve_ports(count: int) -> list[int]:
    """Return ports on loopback that the system just chose.

    They are free when this returns; another process could take one before it is bound.
    """
    sockets = [socket.socket() for _ in range(count)]
    try:
        for each in sockets:
            each.bind(("127.0.0.1", 0))
        return [each.getsockname()[1] for each in sockets]
    finally:
        for each in sockets:
            each.close()


def read_usage(pid: int) -> Usage:
    """Read processor time and memory of a process from /proc."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    user_ticks, system_ticks, rss_pages = int(fields[11]), int(fields[12]), int(fields[21])
    return Usage(
        cpu_s=(user_ticks + system_ticks) / _TICKS_PER_S,
        rss_mb=rss_pages * _PAGE_BYTES / 2**20,
        peak_rss_mb=_peak_rss_mb(pid),
    )


def _peak_rss_mb(pid: int) -> float:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / 1024.0
    return 0.0


async def _answers_ok(pool: httpcore.AsyncConnectionPool, url: str) -> bool:
    timeouts = {"connect": 1.0, "read": 1.0, "write": 1.0, "pool": 1.0}
    try:
        response = await pool.request("GET", url, extensions={"timeout": timeouts})
    except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError):
        return False
    return response.status == 200  # noqa: PLR2004 - HTTP's OK
