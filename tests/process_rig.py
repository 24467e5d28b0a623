"""Real processes for end-to-end tests: a stand-in platform and entry hosts."""

import json
import select
import signal
import subprocess
import sys
import time
from collections.abc import Callable, Iterator, Mapping, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any, Final

import msgspec
import trio
import yaml
from returns.result import Result as Returned
from typer.testing import CliRunner, Result

from galenastall.cli.app import app
from galenastall.standin.control_client import StandinControl
from galenastall.state.hosts import HostKind, ListedHost
from galenastall.state.ids import DataCentre, HostId
from galenastall.transport.clock import TrioClock
from galenastall.transport.http_client import HttpClient

SOURCES: Final = Path(__file__).parent.parent / "src"
LOOPBACK: Final = "127.0.0.1:0"
LIMIT_S: Final = 60.0
"""Time limit for a condition to become true; no test measures time by it."""
POLL_S: Final = 0.05


def wait_until(what: str, condition: Callable[[], Any]) -> Any:
    """Return the condition's first true value."""
    until = time.monotonic() + LIMIT_S
    while time.monotonic() < until:
        if found := condition():
            return found
        time.sleep(POLL_S)
    raise AssertionError(f"timed out waiting for: {what}")


@dataclass(kw_only=True)
class Running:
    """One process, the addresses that it printed once bound, and its log."""

    process: subprocess.Popen[bytes]
    log_path: Path
    bound: dict[str, Any]

    @property
    def http(self) -> str:
        return str(self.bound["http"])

    def events(self, step: str) -> list[dict[str, Any]]:
        lines = self.log_path.read_text().splitlines(keepends=True)
        whole = (json.loads(line) for line in lines if line.endswith("\n") and line[0] == "{")
        return [line for line in whole if line.get("event") == step]

    def wait_event(self, step: str) -> dict[str, Any]:
        found: dict[str, Any] = wait_until(step, lambda: next(iter(self.events(step)), None))
        return found

    def signal(self, number: signal.Signals = signal.SIGTERM) -> None:
        self.process.send_signal(number)

    def wait_ended(self) -> int:
        return self.process.wait(timeout=LIMIT_S)


@dataclass(kw_only=True)
class Site:
    """A stand-in and the entry hosts on it; `open_site` ends all started processes."""

    folder: Path
    running: list[Running] = field(default_factory=list)
    cli_options: tuple[str, ...] = ()
    control: str = ""
    platform: str = ""
    hosts: list[dict[str, Any]] = field(default_factory=list)

    def spawn(self, name: str, command: Sequence[str], settings: Mapping[str, Any]) -> Running:
        path = self.write(name, settings)
        log_path = self.folder / f"{name}.{len(self.running)}.log"
        with log_path.open("wb") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", "galenastall", *command, "--settings", str(path)],
                stdout=subprocess.PIPE,
                stderr=log,
                env={"PYTHONPATH": str(SOURCES)},
            )
        found = Running(process=process, log_path=log_path, bound={})
        self.running.append(found)
        return found

    def read_bound(self, started: Running) -> None:
        out = started.process.stdout
        assert out is not None
        readable, _, _ = select.select([out], [], [], LIMIT_S)
        line = out.readline() if readable else b""
        assert line, started.log_path.read_text()
        started.bound = json.loads(line)

    def write(self, name: str, settings: Mapping[str, Any]) -> Path:
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(dict(settings)))
        return path

    def start_standin(self, **settings: Any) -> None:
        found = self.spawn("standin", ["standin"], settings)
        self.read_bound(found)
        self.control, self.platform = found.bound["control"], found.bound["platform"]
        self.hosts = found.bound["hosts"]

    def start_nodes(self, *names: str, data_centre: str, **settings: Any) -> list[Running]:
        """Start entry hosts concurrently, and list them once they are bound."""
        started = [self.spawn_node(name, data_centre=data_centre, **settings) for name in names]
        for name, each in zip(names, started, strict=True):
            self.read_bound(each)
            self.list_node(name, each, data_centre)
        return started

    def spawn_node(self, name: str, *, data_centre: str, **settings: Any) -> Running:
        return self.spawn(name, ["node"], self.node_settings(name, data_centre, **settings))

    def node_settings(self, name: str, data_centre: str, **settings: Any) -> dict[str, Any]:
        return {
            "host_id": name,
            "data_centre": data_centre,
            "http_bind": LOOPBACK,
            "peer_bind": LOOPBACK,
            "platform": {"adapter": "http", "address": self.platform},
            **settings,
        }

    def list_node(self, name: str, node: Running, data_centre: str) -> None:
        listed = ListedHost(
            host_id=HostId(name),
            kind=HostKind.ENTRY,
            data_centre=DataCentre(data_centre),
            address=node.http,
            peer_address=node.bound["peer"],
        )
        self.call_control(lambda control: control.add_host(listed))

    def call_control(self, call: Callable[[StandinControl], Any]) -> Any:
        """Make one call to the stand-in's control API."""

        async def run() -> Any:
            client = HttpClient(clock=TrioClock())
            result: Returned[Any, Any] = await call(
                StandinControl(client=client, address=self.control)
            )
            await client.aclose()
            return result.unwrap()

        return trio.run(run)

    def set_log_outage(self, *, outage: bool) -> None:
        self.call_control(lambda control: control.change_faults("log", {"outage": outage}))

    def cli(self, node: Running | str, *arguments: str) -> Result:
        """Run one command of the command line against an entry host."""
        entry = node if isinstance(node, str) else node.http
        options = [*self.cli_options, *arguments, "--entry", entry]
        return CliRunner().invoke(app, options)

    def status(self, node: Running) -> dict[str, Any]:
        shown = self.cli(node, "status", "-o", "json")
        text = shown.stdout.splitlines()[0] if shown.stdout.startswith("{") else "{}"
        return dict(msgspec.json.decode(text))

    def wait_ready(self, *nodes: Running) -> None:
        for node in nodes:
            wait_until("ready", partial(self.is_ready, node))

    def is_ready(self, node: Running) -> bool:
        return bool(self.status(node).get("ready"))


@contextmanager
def open_site(folder: Path) -> Iterator[Site]:
    """Provide a site; on exit, kill all of its processes by their ids."""
    site = Site(folder=folder)
    try:
        yield site
    finally:
        for each in site.running:
            if each.process.poll() is None:
                each.process.kill()
            each.process.wait()
            if each.process.stdout is not None:
                each.process.stdout.close()
