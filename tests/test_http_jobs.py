"""The HTTP routes of jobs, without sockets."""

from typing import Any

import msgspec
import pytest
import trio
from returns.result import Failure

from galenastall.node.jobs.http_jobs import HttpJobs
from galenastall.state.errors import Reason, StepError
from galenastall.state.ids import HostId
from galenastall.transport.http_messages import BodyStream, HttpRequest
from galenastall.transport.http_routes import RouteTable
from job_cluster import WALL, Cluster, make_spec, open_cluster

JOB: dict[str, Any] = {
    "team": "board/packs",
    "workload": "batch",
    "resources": {"cores_milli": 1000, "memory_mb": 256},
    "run_s": 5,
}


class StalledLog:
    """A log that can't be read for a while."""

    def __init__(self, log: Any) -> None:
        self.is_stalled = True
        self._log = log

    async def read(self, **options: Any) -> Any:
        await trio.sleep(0.01)
        if self.is_stalled:
            error = StepError(step="log.read", peer="log", reason=Reason.UNAVAILABLE)
            return Failure(error)
        return await self._log.read(**options)


class Caller:
    def __init__(self, cluster: Cluster, name: str = "a") -> None:
        host = cluster.hosts[HostId(name)]
        handler = HttpJobs(
            intake=host.intake,
            fold=host.fold,
            workers=host.workers,
            ownership=host.view,
            clock=cluster.clock,
        )
        self._table = RouteTable(handlers=[handler])

    async def send(
        self, method: str, path: str, body: object = None, **query: str
    ) -> tuple[int, Any]:
        found = self._table.find(method, path)
        assert found is not None
        route, params = found
        raw = body if isinstance(body, bytes) else msgspec.json.encode(body)
        request = HttpRequest(
            method=method, path=path, path_params=params, query=query, stream=BodyStream.of(raw)
        )
        response = await route.handler(request)
        assert isinstance(response.body, bytes)
        return response.status, msgspec.json.decode(response.body)


class TestSubmit:
    async def test_accepted_job_is_listed_and_explained(self, autojump_clock: Any) -> None:
        async with open_cluster() as cluster:
            caller = Caller(cluster)
            status, accepted = await caller.send("POST", "/v1/jobs", {**JOB, "tasks": 3})
            assert (status, accepted["durability"]) == (201, "log")
            path = f"/v1/jobs/{accepted['job_id']}"
            await cluster.until(lambda: len(cluster.running()) == 3)
            await trio.sleep(1)
            _, shown = await Caller(cluster, "b").send("GET", path)
            assert shown["tasks_by_phase"] == {"running": 3}
            _, tasks = await caller.send("GET", f"{path}/tasks", first="1", count="1")
            assert [task["phase"] for task in tasks["tasks"]] == ["running"]
            _, explained = await caller.send("GET", f"{path}/tasks/0/explain")
            assert "is running on w" in " ".join(explained["sentences"])
            _, workers = await caller.send("GET", "/v1/workers")
            owned = [worker for worker in workers["workers"] if worker["owner"] == "a"]
            assert [worker["is_adopted"] for worker in owned] == [True, True]
            await cluster.until(lambda: cluster.ended(accepted["job_id"]))
            _, shown = await caller.send("GET", path)
            assert (shown["state"], shown["tasks_by_phase"]) == ("done", {"done": 3})
            _, listed = await caller.send("GET", "/v1/jobs", team="board")
            assert [job["job_id"] for job in listed["jobs"]] == [accepted["job_id"]]
            _, listed = await caller.send("GET", "/v1/jobs", team="boa")
            assert listed["jobs"] == []

    async def test_resubmission_is_recognized_and_a_different_job_conflicts(
        self, autojump_clock: Any
    ) -> None:
        async with open_cluster() as cluster:
            caller = Caller(cluster)
            body = {**JOB, "job_id": "pack-7"}
            assert (await caller.send("POST", "/v1/jobs", body))[0] == 201
            status, known = await caller.send("POST", "/v1/jobs", body)
            assert (status, known["was_known"]) == (200, True)
            assert (await caller.send("POST", "/v1/jobs", {**body, "tasks": 2}))[0] == 409

    @pytest.mark.parametrize(
        ("change", "expected"),
        [
            ({"tasks": 0}, "tasks: 0"),
            ({"tasks": "many"}, 'value "many"'),
            ({"job_id": "a/b"}, "job_id: 'a/b'"),
            ({"team": "board//packs"}, "team: 'board//packs'"),
            ({"run_s": -1.5}, "run_s: -1.5"),
            ({"deadline": 5.0}, "deadline: 5.0"),
            ({"urgency": "asap"}, 'value "asap"'),
            ({"resources": {"cores_milli": -1}}, "resources.cores_milli: -1"),
            ({"resources": {}}, "resources: all are 0"),
            ({"resources": {"cores": 1}}, "unknown field `cores`"),
            ({"colour": "red"}, "unknown field `colour`"),
        ],
    )
    async def test_bad_input_names_field_and_value(
        self, autojump_clock: Any, change: dict[str, Any], expected: str
    ) -> None:
        async with open_cluster() as cluster:
            status, error = await Caller(cluster).send("POST", "/v1/jobs", {**JOB, **change})
            assert status == 400
            assert expected in error["detail"]

    @pytest.mark.parametrize(
        ("change", "status"),
        [
            ({"resources": {"cores_milli": 65_000}}, 403),
            ({"home": "gangnam"}, 421),
        ],
    )
    async def test_jobs_that_cannot_run_here_are_refused(
        self, autojump_clock: Any, change: dict[str, Any], status: int
    ) -> None:
        async with open_cluster() as cluster:
            answer = await Caller(cluster).send("POST", "/v1/jobs", {**JOB, **change})
            assert answer[0] == status

    async def test_deadline_in_the_future_is_accepted(self, autojump_clock: Any) -> None:
        async with open_cluster() as cluster:
            body = {**JOB, "deadline": WALL + 60, "urgency": "urgent"}
            assert (await Caller(cluster).send("POST", "/v1/jobs", body))[0] == 201


class TestCancel:
    async def test_cancel_reports_task_counts(self, autojump_clock: Any) -> None:
        async with open_cluster() as cluster:
            caller = Caller(cluster)
            body = {**JOB, "job_id": "pack-8", "tasks": 500, "run_s": 60}
            await caller.send("POST", "/v1/jobs", body)
            await cluster.until(lambda: len(cluster.running()) == 16)
            status, answer = await caller.send("POST", "/v1/jobs/pack-8/cancel", cause="moved")
            assert (status, answer["durability"]) == (200, "log")
            assert sum(answer["counts"].values()) == 500
            await cluster.until(lambda: cluster.ended("pack-8"))
            assert (await caller.send("POST", "/v1/jobs/pack-8/cancel"))[0] == 409

    @pytest.mark.parametrize("path", ["/v1/jobs/x", "/v1/jobs/x/tasks"])
    async def test_unknown_jobs_are_not_found(self, autojump_clock: Any, path: str) -> None:
        async with open_cluster() as cluster:
            assert (await Caller(cluster).send("GET", path))[0] == 404

    @pytest.mark.parametrize("path", ["/v1/jobs/pack-9", "/v1/jobs/pack-9/tasks"])
    async def test_job_not_yet_read_from_the_log_is_never_reported_as_not_found(
        self, autojump_clock: Any, path: str
    ) -> None:
        async with open_cluster() as cluster:
            stalled: Any = cluster.hosts[HostId("b")].follower
            log = StalledLog(stalled._log)
            stalled._log = log
            await trio.sleep(60.0)
            body = {**JOB, "job_id": "pack-9", "run_s": 60}
            assert (await Caller(cluster).send("POST", "/v1/jobs", body))[0] == 201
            status, error = await Caller(cluster, "b").send("GET", path)
            assert status == 503, error
            log.is_stalled = False
            await trio.sleep(10.0)
            assert (await Caller(cluster, "b").send("GET", path))[0] == 200

    async def test_job_held_only_by_other_hosts_is_never_reported_as_not_found(
        self, autojump_clock: Any
    ) -> None:
        async with open_cluster() as cluster:
            host = cluster.hosts[HostId("a")]
            host.jobs.hold(make_spec("pack-10"))
            status, _ = await Caller(cluster, "b").send("GET", "/v1/jobs/pack-10")
            assert status in (200, 503)

    async def test_invalid_numbers_are_named_in_the_error(self, autojump_clock: Any) -> None:
        async with open_cluster() as cluster:
            status, error = await Caller(cluster).send("GET", "/v1/jobs/x/tasks", first="-1")
            assert (status, "first: '-1'" in error["detail"]) == (400, True)
