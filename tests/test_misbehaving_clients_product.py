"""The same crowds at the HTTP API of an entry host outside the operations platform."""

import json
from functools import partial
from pathlib import Path
from typing import Any, Final

import pytest
import trio

from crowd_rig import Bounds, Usage, crowd, settled
from process_rig import Running, Site, open_site, wait_until

FLEET: Final = {
    "data_centres": ["one"],
    "host_list_lag_seconds": 0.1,
    "workers": {"count": 2, "cores": 8, "memory_gb": 16},
    "executors": {"count": 2},
}
MEMORY_MB: Final = 128
SOCKETS: Final = 10_000
"""The operating system's limit holds, which these crowds do not reach."""
PATHS: Final = {
    "job": "/v1/jobs",
    "no_route": "/nowhere",
    "readiness": "/readyz",
    "metrics": "/metrics",
}
CLIENTS_BY_KIND: Final = {
    "almost_whole": 600,
    "chunks_of_one_byte": 200,
    "sent_ahead": 300,
    "slow_bodies": 600,
}


def start_host(site: Site) -> Running:
    site.start_standin(**FLEET)
    [node] = site.start_nodes("one-1", data_centre="one", memory={"total_mb": MEMORY_MB})
    site.wait_ready(node)
    return node


def run_job(site: Site, node: Running, folder: Path, name: str) -> str:
    """Submit a job until it is accepted, and wait for its end."""
    path = folder / f"{name}.json"
    size = {"cores_milli": 1000, "memory_mb": 100}
    job: dict[str, Any] = {"team": "packs", "workload": "batch", "resources": size}
    path.write_text(json.dumps({**job, "job_id": name, "tasks": 1, "run_s": 0.1}))

    def accepted() -> bool:
        return site.cli(node, "submit", "job", str(path)).exit_code == 0

    def state() -> str:
        shown = site.cli(node, "status", name, "-o", "json")
        return str(json.loads(shown.stdout)["state"]) if shown.exit_code == 0 else ""

    wait_until("job accepted", accepted)
    return str(wait_until("job ended", lambda: state() if state() not in ("", "live") else ""))


class TestCrowds:
    @pytest.mark.parametrize("door", PATHS)
    @pytest.mark.parametrize("kind", CLIENTS_BY_KIND)
    async def test_a_host_stays_within_its_bounds_and_runs_jobs(
        self, kind: str, door: str, tmp_path: Path
    ) -> None:
        with open_site(tmp_path) as site:
            node = await trio.to_thread.run_sync(start_host, site)
            usage = Usage(pid=node.process.pid, addresses=(node.http,))
            run = partial(run_job, site, node, tmp_path)

            def is_alive() -> bool:
                return node.process.poll() is None

            async with trio.open_nursery() as nursery:
                nursery.start_soon(usage.watch)
                async with crowd(kind, node.http, PATHS[door], CLIENTS_BY_KIND[kind]):
                    await settled(node.process.pid, is_alive=is_alive)
                    assert await trio.to_thread.run_sync(run, "beside") == "done"
                assert await trio.to_thread.run_sync(run, "afterwards") == "done"
                nursery.cancel_scope.cancel()
            assert is_alive()
            bounds = Bounds(memory_mb=MEMORY_MB, sockets=SOCKETS)
            assert usage.problems(bounds) == []
