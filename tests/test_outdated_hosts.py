"""Hosts that do not receive the newest configuration still serve callers by it."""

from dataclasses import replace
from random import Random

import msgspec
import pytest
import trio

from cell.cluster import Cluster, make_job
from cell.scenarios import run_scenario
from cell.simulation import Simulation
from galenastall.coordination.cell.config_age import OUTDATED_AFTER_S
from galenastall.node.cell.cell_metrics import CellMetrics
from galenastall.platform.access import KEY_HEADER, digest_of
from galenastall.platform.job_routes import DEADLINE_HEADER, JobRoutes
from galenastall.protocol.cell.config import CellConfig, Credential, QueueRoute
from galenastall.state.cell.workspaces import Workspace
from galenastall.transport.clock import TrioClock
from galenastall.transport.http_messages import BodyStream, HttpRequest, HttpResponse
from galenastall.transport.metrics import Metrics

WAITS_S = 3.0
"""How long a caller waits for a response."""
PROPAGATION_S = 2.0
KEY, NEW_KEY = "a-key-of-the-workspace", "a-key-added-later"
BODY = b'{"specification":"x","steps":[{"count":1,"cpu":500}]}'


class Caller:
    """Calls the routes of one host, as HTTP callers do."""

    def __init__(self, cluster: Cluster, name: str) -> None:
        live = cluster.live[name]
        metrics = CellMetrics(metrics=Metrics())
        self._routes = JobRoutes(
            handler=live.host.caller_handler,
            config=live.host.config,
            clock=TrioClock(),
            recorder=live.recorder,
            submit_seconds=metrics.submit_seconds,
            query_seconds=metrics.query_seconds,
        )

    async def call(
        self, method: str, path: str, *, body: bytes = b"", key: str = KEY
    ) -> HttpResponse:
        request = HttpRequest(
            method=method,
            path=path,
            headers={
                "host": "q",
                DEADLINE_HEADER: str(int(WAITS_S * 1000)),
                KEY_HEADER: key,
            },
            stream=BodyStream.of(body),
        )
        serve = {
            "POST": self._routes.submit,
            "GET": self._routes.show,
            "DELETE": self._routes.cancel,
        }
        with trio.fail_after(WAITS_S):
            return await serve[method](request)


def set_config(simulation: Simulation, *routes: QueueRoute, keys: tuple[str, ...] = ()) -> None:
    """Write a new version with these routes and keys, as the operator would."""
    config = simulation.config
    simulation.config = CellConfig(
        version=config.version + 1,
        routes=routes,
        workspaces=(Workspace(name="a"),) if keys else (),
        credentials=tuple(Credential(digest=digest_of(key), workspace="a") for key in keys),
        requires_keys=bool(keys),
    )
    simulation.quotas.set_workspaces(simulation.config.workspaces)


async def make_hosts_outdated(
    cluster: Cluster, simulation: Simulation, *routes: QueueRoute, keys: tuple[str, ...] = ()
) -> list[str]:
    """Write a configuration that only the leader receives; return the other hosts."""
    leader = await cluster.wait_for_leader()
    await trio.sleep(PROPAGATION_S)
    outdated = [name for name in cluster.names if name != leader]
    simulation.faults.config_undelivered.update(outdated)
    set_config(simulation, *routes, keys=keys)
    await trio.sleep(PROPAGATION_S + OUTDATED_AFTER_S)
    versions = {name: cluster.live[name].host.config.version for name in cluster.names}
    assert versions[leader] == simulation.config.version
    assert all(versions[name] < simulation.config.version for name in outdated)
    return outdated


class TestOutdatedHosts:
    async def test_every_host_answers_about_every_accepted_job(
        self, autojump_clock: object
    ) -> None:
        async def scenario(cluster: Cluster, simulation: Simulation, rng: Random) -> None:
            await cluster.wait_for_leader()
            for number in range(8):
                assert await cluster.submit(make_job(simulation, rng, number))
            await make_hosts_outdated(cluster, simulation, *simulation.config.routes)
            for name in cluster.names:
                for job_id in sorted(cluster.accepted):
                    answer = await Caller(cluster, name).call("GET", f"/q/{job_id}")
                    assert answer.status == 200, f"{name}: {answer.body!r}"

        await run_scenario(scenario, seed=51)

    @pytest.mark.parametrize("method", ["GET", "DELETE"])
    async def test_a_job_of_a_route_that_they_do_not_know_is_found(
        self, autojump_clock: object, method: str
    ) -> None:
        async def scenario(cluster: Cluster, simulation: Simulation, rng: Random) -> None:
            old = simulation.config.routes
            await cluster.wait_for_leader()
            added = replace(old[0], path_prefix="/added/")
            outdated = await make_hosts_outdated(cluster, simulation, *old, added)
            for number, name in enumerate(outdated):
                path = f"/added/{number:016x}"
                assert (await Caller(cluster, name).call("POST", path, body=BODY)).status == 200
                assert (await Caller(cluster, name).call(method, path)).status == 200

        await run_scenario(scenario, seed=52)

    async def test_a_dropped_route_and_a_revoked_key_are_refused(
        self, autojump_clock: object
    ) -> None:
        async def scenario(cluster: Cluster, simulation: Simulation, rng: Random) -> None:
            old = simulation.config.routes
            dropped = replace(old[0], path_prefix="/dropped/")
            set_config(simulation, *old, dropped, keys=(KEY,))
            await trio.sleep(PROPAGATION_S)
            outdated = await make_hosts_outdated(cluster, simulation, *old, keys=(NEW_KEY,))
            for number, name in enumerate(outdated):
                caller, job_id = Caller(cluster, name), f"{number:016x}"
                call = caller.call
                assert (await call("POST", f"/q/{job_id}", body=BODY)).status == 401
                path = f"/dropped/{job_id}"
                assert (await call("POST", path, body=BODY, key=NEW_KEY)).status == 404
                path = f"/q/{job_id}"
                assert (await call("POST", path, body=BODY, key=NEW_KEY)).status == 200
                answer = await call("GET", path, key=NEW_KEY)
                assert answer.status == 200
                assert isinstance(answer.body, bytes)
                assert msgspec.json.decode(answer.body)["state"] in {"queued", "running"}

        await run_scenario(scenario, seed=53)
