"""Runs crowds of clients against a process, and measures what the process holds meanwhile.

Memory is the resident size, with what lies unread in the kernel's receive buffers of its
connections.
"""

import subprocess
import sys
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Final

import trio

CROWDS: Final = Path(__file__).parent / "client_crowds.py"
MEGABYTE: Final = 2**20
SAMPLE_S: Final = 0.1
END_S: Final = 30.0
LISTEN: Final = "0A"
"""State of a listening socket in the kernel's table."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Bounds:
    """What one process may take up."""

    memory_mb: int
    sockets: int


@dataclass(kw_only=True)
class Usage:
    """The most that a process was seen to take up."""

    pid: int
    addresses: tuple[str, ...]
    """Where the process listens."""
    memory_mb: float = 0.0
    sockets: int = 0
    _inodes: int = field(default=0, repr=False)

    def measure(self) -> None:
        unread = unread_bytes(self.addresses) / MEGABYTE
        self.memory_mb = max(self.memory_mb, resident_mb(self.pid) + unread)
        self.sockets = max(self.sockets, count_sockets(self.pid))

    async def watch(self) -> None:
        while True:
            self.measure()
            await trio.sleep(SAMPLE_S)

    def problems(self, bounds: Bounds) -> list[str]:
        found = []
        if self.memory_mb > bounds.memory_mb:
            found.append(f"memory: {self.memory_mb:.0f} MB, at most {bounds.memory_mb}")
        if self.sockets > bounds.sockets:
            found.append(f"sockets: {self.sockets}, at most {bounds.sockets}")
        return found


def resident_mb(pid: int) -> float:
    """Return the resident size of a process; 0 once it has ended."""
    try:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return 0.0
    sizes = [int(line.split()[1]) for line in lines if line.startswith("VmRSS:")]
    return sizes[0] / 1024 if sizes else 0.0


def count_sockets(pid: int) -> int:
    count = 0
    try:
        for descriptor in Path(f"/proc/{pid}/fd").iterdir():
            count += _is_socket(descriptor)
    except OSError:
        return 0
    return count


def _is_socket(descriptor: Path) -> bool:
    try:
        return str(descriptor.readlink()).startswith("socket:")
    except OSError:
        return False


def unread_bytes(addresses: tuple[str, ...]) -> int:
    """Return the bytes that were received at these addresses and not read yet."""
    local = {_in_hexadecimal(address) for address in addresses}
    total = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        _, address, _, state, queues, *_ = line.split()
        if address in local and state != LISTEN:
            total += int(queues.partition(":")[2], 16)
    return total


def _in_hexadecimal(address: str) -> str:
    ip, _, port = address.rpartition(":")
    value = int.from_bytes(bytes(map(int, ip.split("."))), sys.byteorder)
    return f"{value:08X}:{int(port):04X}"


@asynccontextmanager
async def crowd(kind: str, address: str, path: str, clients: int) -> AsyncIterator[None]:
    """Hold the connections of a crowd open; entered once it has sent what it sends."""
    process = _start(kind, address, path, str(clients))
    assert process.stdin is not None
    assert process.stdout is not None
    try:
        line = await trio.to_thread.run_sync(process.stdout.readline)
        assert line == b"held\n", line
        yield
    finally:
        process.stdin.close()
        with trio.CancelScope(shield=True):
            await trio.to_thread.run_sync(_end, process)
        process.stdout.close()


def _start(*arguments: str) -> subprocess.Popen[bytes]:
    command = [sys.executable, str(CROWDS), *arguments]
    return subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE)


def _end(process: subprocess.Popen[bytes]) -> None:
    try:
        process.wait(timeout=END_S)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()


async def settled(pid: int, *, is_alive: Callable[[], bool]) -> None:
    """Wait until a process has worked off what it was sent, or has ended."""
    idle_checks = 0
    before = _processor_ticks(pid)
    with trio.move_on_after(END_S):
        while is_alive() and idle_checks < 5:
            await trio.sleep(0.2)
            ticks = _processor_ticks(pid)
            idle_checks = idle_checks + 1 if ticks - before <= 5 else 0
            before = ticks


def _processor_ticks(pid: int) -> int:
    try:
        text = Path(f"/proc/{pid}/stat").read_text()
    except OSError:
        return 0
    user, system = text.rpartition(")")[2].split()[11:13]
    return int(user) + int(system)
