"""The settings commands against a real HTTP server on loopback."""

import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from functools import partial
from pathlib import Path

import pytest
import trio
from typer.testing import CliRunner, Result

from galenastall.cli.settings_commands import settings_app
from galenastall.node.settings.http_settings import HttpSettings
from galenastall.transport.clock import TrioClock
from galenastall.transport.http_server import HttpServer
from settings_rig import running_fleet

EXAMPLES = Path(__file__).parent.parent / "examples"


def invoke(*arguments: str) -> Result:
    return CliRunner().invoke(settings_app, list(arguments))


class TestValidate:
    @pytest.mark.parametrize("name", ["dongmun/shared.yaml", "citeliq/plateau-entry-1.yaml"])
    def test_examples(self, name: str) -> None:
        assert invoke("validate", str(EXAMPLES / name)).exit_code == 0

    def test_bad_tree(self, tmp_path: Path) -> None:
        path = tmp_path / "shared.yaml"
        path.write_text("teams: {a: {wait: 1}}\nlog: {gather_ms: x}\n")
        result = invoke("validate", str(path), "-o", "json")
        assert result.exit_code == 2
        assert len(json.loads(result.stdout)["problems"]) == 2


@asynccontextmanager
async def entry() -> AsyncIterator[str]:
    async with running_fleet() as fleet:
        host = await fleet.start("one")
        server = HttpServer(
            handlers=[HttpSettings(service=host.service)], clock=TrioClock(), bind="127.0.0.1:0"
        )
        async with trio.open_nursery() as nursery:
            await nursery.start(server.run)
            yield server.address
            nursery.cancel_scope.cancel()


async def run(address: str, *arguments: str) -> Result:
    command = partial(invoke, *arguments, "--entry", address)
    return await trio.to_thread.run_sync(command)


class TestCommands:
    async def test_apply_show_history_status(self, tmp_path: Path) -> None:
        path = tmp_path / "team.yaml"
        path.write_text("weight: 3\n")
        async with entry() as address:
            apply = ("apply", "teams/a", "--author", "ann")
            first = await run(address, *apply, "--file", str(path), "--change-id", "c1")
            assert first.exit_code == 0, first.output
            careless = await run(address, *apply, "--value", "weight: 4")
            assert careless.exit_code == 2
            assert "--base 0" in careless.output
            stale = await run(address, *apply, "--value", "weight: 4", "--base", "-1")
            assert stale.exit_code == 3
            bad = await run(address, *apply, "--value", "wait: 4", "--base", "0")
            assert bad.exit_code == 2
            assert "did you mean 'weight'" in bad.output
            shown = await run(address, "show", "teams/a")
            assert shown.output.splitlines() == ["# path teams/a, revision 0", "weight: 3"]
            in_force = await run(address, "show", "--in-force", "-o", "json")
            assert json.loads(in_force.output)["teams"]["a"]["weight"] == 3.0
            history = await run(address, "history")
            assert "0 accepted teams/a by ann [c1]" in history.output
            assert (await run(address, "status", "c1")).exit_code == 0
            assert (await run(address, "status", "nope")).exit_code == 6
            removed = await run(address, *apply, "--remove", "--base", "0")
            assert removed.exit_code == 0

    def test_no_entry_host(self) -> None:
        assert invoke("show", "--entry", "127.0.0.1:1").exit_code == 4
