"""The store in a process of its own, so that it answers fast whatever else the stand-ins do."""

import asyncio
import json
import subprocess
import sys
from pathlib import Path

from standin_3.store import Store

FOLDER = Path(__file__).resolve().parents[1]


class StoreProcess:
    """Starts the process, and writes to it as the operator and the executors do."""

    def __init__(self, hosts: list[str]) -> None:
        """Serve one address for each entry host."""
        program = [sys.executable, "-m", "standin_3.store_process", *hosts]
        self._process = subprocess.Popen(
            program, cwd=FOLDER, stdin=subprocess.PIPE, stdout=subprocess.PIPE
        )
        self.addresses: dict[str, str] = json.loads(self._process.stdout.readline())

    def put(self, topic: str, key: str, value: object) -> None:
        """Write a key; None deletes it."""
        line = json.dumps([topic, key, value]) + "\n"
        self._process.stdin.write(line.encode())
        self._process.stdin.flush()

    def stop(self) -> None:
        """End the process."""
        self._process.kill()
        self._process.wait()


async def serve(hosts: list[str]) -> None:
    """Serve until the standard input ends."""
    store = Store()
    servers = {host: store.server_for(host) for host in hosts}
    addresses = {host: await server.start() for host, server in servers.items()}
    sys.stdout.write(json.dumps(addresses) + "\n")
    sys.stdout.flush()
    reader = asyncio.StreamReader(limit=1 << 22)
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        store.put(*json.loads(line))


if __name__ == "__main__":
    asyncio.run(serve(sys.argv[1:]))
