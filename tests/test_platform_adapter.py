"""Platform adapter: settings, wire formats, calls, and jobs end to end over loopback."""

import os
import socket
from dataclasses import replace
from pathlib import Path
from random import Random
from typing import Any

import httpcore
import msgspec
import pytest
import trio
from returns.result import Failure, Result

from cell.simulation import Simulation
from galenastall.coordination.cell.advice import Approval
from galenastall.coordination.cell.explain_logs import parse_lines
from galenastall.coordination.cell.host_orders import HostOrder, HostOutcome
from galenastall.node.cell.caller_handler import SubmitOutcome
from galenastall.node.cell.cell_metrics import CellMetrics
from galenastall.node.cell.state_loader import StateLoader
from galenastall.platform.advisor import PlatformAdvisor
from galenastall.platform.calls import AddressProvider, PlatformCalls
from galenastall.platform.config import WireConfig
from galenastall.platform.executors import PlatformExecutors
from galenastall.platform.fleet import WireEntry, decode_executor
from galenastall.platform.hosts import PlatformHosts
from galenastall.platform.job_routes import JobRoutes
from galenastall.platform.keyed_follower import KeyedFollower
from galenastall.platform.listings import WireListing
from galenastall.platform.live_settings import LiveSettings
from galenastall.platform.log_wire import (
    WireError,
    decode_read,
    frame_record,
    keyed_record,
    split_keyed,
)
from galenastall.platform.process import EntryProcess
from galenastall.platform.settings import (
    PlatformSettings,
    SettingsError,
    decode_settings,
    load_settings,
    settings_path,
)
from galenastall.platform.standin.executor_routes import AdvisorRoutes, ExecutorRoutes
from galenastall.platform.standin.log_store import StandinStore
from galenastall.platform.store import PlatformStore
from galenastall.platform.submissions import decode_job
from galenastall.protocol.cell.config import CellConfig, QueueRoute
from galenastall.protocol.cell.executor_port import ListingAnswer, StartVerdict
from galenastall.protocol.cell.messages import SubmitVerdict
from galenastall.state.cell.executor_ids import executor_name, make_executor_id
from galenastall.state.cell.hosts import HostState
from galenastall.state.cell.jobs import CellJob, Queue, StepKey, TaskKey
from galenastall.state.cell.phases import RunEnd
from galenastall.state.errors import Reason, StepError
from galenastall.state.resources import Resources
from galenastall.state.timeline_ring import TimelineRing
from galenastall.transport.clock import TrioClock
from galenastall.transport.http_client import HttpClient
from galenastall.transport.http_json import json_response
from galenastall.transport.http_messages import HttpRequest, HttpResponse
from galenastall.transport.http_routes import route
from galenastall.transport.http_server import HttpServer
from galenastall.transport.logs import Recorder
from galenastall.transport.metrics import Metrics

QUEUE = Queue(name="q", service="service")
JOB = "00000000000000ab"
TABLE: dict[str, Any] = {
    "nodeName": "front-1",
    "ipAddress": "127.0.0.1",
    "zone": "dc",
    "internalPortRange": [7000, 7010],
    "bootstrap": True,
    "heartbeatMs": 1500,
    "seedNodes": ["10.0.0.1:8166"],
    "listenAddresses": {"front": "127.0.0.1:1", "readiness": "127.0.0.1:2"},
    "platform": {"address": "127.0.0.1:3", "form": "log"},
    "bounds": {"graceS": 6, "maxHoldMs": 10000},
    "unknownField": {"is": "ignored"},
}


class TestSettings:
    def test_known_fields_are_decoded_and_others_ignored(self) -> None:
        settings = decode_settings(TABLE)
        assert settings.host_id == "front-1"
        assert settings.peer_bind == "127.0.0.1:7000"
        assert settings.longest_lease_s == 10.0
        assert settings.may_start
        assert settings.link_mbps == 1000.0

    @pytest.mark.parametrize(
        ("field", "value", "message"),
        [
            ("nodeName", None, "nodeName: missing"),
            ("nodeName", 7, "nodeName: expected str, got 7"),
            ("internalPortRange", [9, 8], "internalPortRange: expected two ascending ports"),
            ("orders", "heartbeat", "orders: expected 'duty_call', got 'heartbeat'"),
            ("limits", {"linkMbps": 0}, "limits.linkMbps: expected a number above 0, got 0"),
            ("bounds", {"graceS": -1}, "bounds.graceS: expected a number above 0, got -1"),
            ("platform", {"address": "x", "form": "tables"}, "platform.form: expected 'log'"),
        ],
    )
    def test_a_bad_field_is_named_with_its_value(
        self, field: str, value: object, message: str
    ) -> None:
        table = {**TABLE, field: value}
        if value is None:
            del table[field]
        with pytest.raises(SettingsError, match=message.replace("[", r"\[")):
            decode_settings(table)

    def test_a_missing_file_and_a_missing_variable_are_named(self, tmp_path: Path) -> None:
        with pytest.raises(SettingsError, match="GALENASTALL_SETTINGS: not set"):
            settings_path({})
        with pytest.raises(SettingsError, match="can't be read"):
            load_settings(tmp_path / "gone.toml")

    @pytest.mark.parametrize(
        ("cores", "link_mbps", "weight"),
        [(2.0, 1000.0, 2.0), (0.5, 20.0, 0.5), (0.5, 5.0, 0.25), (2.0, 10.0, 0.5)],
    )
    def test_leadership_weight_is_bounded_by_cores_and_link(
        self, cores: float, link_mbps: float, weight: float
    ) -> None:
        limits = {"cpuShare": cores, "cpuCores": 1, "linkMbps": link_mbps}
        assert decode_settings({**TABLE, "limits": limits}).leadership_weight == weight

    def test_seeds_claim_first(self) -> None:
        settings = decode_settings(TABLE)
        seed = replace(settings, control_address="10.0.0.1:8166")
        assert seed.claim_delay_s(0.0) < settings.claim_delay_s(0.0)


class TestLogWire:
    @pytest.mark.parametrize("value", [b"", b"x", b"\x00" * 300])
    def test_keyed_records_round_trip(self, value: bytes) -> None:
        framed = keyed_record("run/ab", value)
        assert int.from_bytes(framed[:4], "big") == len(framed) - 4
        assert split_keyed(framed[4:]) == ("run/ab", value)

    def test_a_page_is_decoded(self) -> None:
        head = (9).to_bytes(8, "big") + (2).to_bytes(8, "big")
        page = decode_read(head + frame_record(b"one") + frame_record(b""))
        assert (page.end, page.first, page.records) == (9, 2, (b"one", b""))

    @pytest.mark.parametrize("body", [b"short", b"\0" * 16 + b"\0\0", b"\0" * 16 + b"\0\0\0\x09ab"])
    def test_truncated_pages_are_errors(self, body: bytes) -> None:
        with pytest.raises(WireError):
            decode_read(body)


class TestWireTypes:
    def test_an_entry_becomes_an_executor(self) -> None:
        text = b"""{"service":"s","address":"10.0.0.9:1","zone":"dc","version":"v1","slots":8,
        "state":"draining","drainRemainingMs":1500,"capacity":{"cpu":16000,"memoryRequestMb":32768,
        "gpus":0},"labels":["a","r1-3"],"clockMs":1,"sequence":4}"""
        info = msgspec.json.decode(text, type=WireEntry).to_info("i-1")
        assert info.capacity == Resources(cores_milli=16000, memory_mb=32768)
        assert (info.rack, info.is_draining, info.leaves_in_s) == ("r1-3", True, 1.5)
        assert info.host == "10.0.0.9:1"
        assert info.executor_id == "i-1"

    def test_a_restarted_executor_has_another_id(self) -> None:
        entry = WireEntry(service="s", address="10.0.0.9:1", state="ready", born=1785827525825)
        again = msgspec.structs.replace(entry, born=1785827577105)
        assert entry.to_info("i-1").executor_id != again.to_info("i-1").executor_id
        assert executor_name(again.to_info("i-1").executor_id) == "i-1"

    @pytest.mark.parametrize("born", [b"-1", b"1.5", b'"x"'])
    def test_an_entry_with_an_invalid_start_time_is_rejected(self, born: bytes) -> None:
        text = b'{"service":"s","address":"10.0.0.9:1","state":"ready","born":' + born + b"}"
        assert "born" in decode_executor(text).failure()

    def test_a_configuration_becomes_routes(self) -> None:
        text = b"""{"version":7,"routes":[{"name":"r","host":"a.example","pathPrefix":"/l/",
        "kind":"unsafe","timeoutMs":3000,"targetLatencyMs":1000,"priority":0,"service":"s",
        "maxAttempts":2,"stretch":2.2,"placementAdvisor":{"decisionMs":656.0,"periodMs":5.9,
        "validityMs":1500}},{"name":"t","host":"a.example","pathPrefix":"/l/x/"}],
        "services":[{"name":"s","standby":true}],"limits":{}}"""
        config = msgspec.json.decode(text, type=WireConfig).to_config()
        queue = config.routes[0].queue
        assert (queue.priority, queue.max_attempts, queue.target_s) == (0, 2, 1.0)
        assert queue.advisor is not None
        assert queue.advisor.base_s == 0.656
        assert config.standby_services == {"s"}

    def test_the_longest_prefix_of_the_host_wins(self) -> None:
        routes = WireConfig(
            version=1,
            routes=msgspec.convert(
                [
                    {"name": "short", "host": "a.example", "pathPrefix": "/l/"},
                    {"name": "long", "host": "a.example", "pathPrefix": "/l/x/"},
                    {"name": "other", "host": "b.example", "pathPrefix": "/l/x/y/"},
                ],
                type=list[Any],
            ),
        )
        config = msgspec.json.decode(msgspec.json.encode(routes), type=WireConfig).to_config()
        found = config.find(host="A.example:80", path="/l/x/y/1")
        assert found is not None
        assert found.queue.name == "long"
        assert config.find(host="c.example", path="/l/") is None

    def test_a_listing_is_decoded_and_unknown_rows_are_skipped(self) -> None:
        text = b"""{"clockMs":5,"running":[["5c0e.0.1.17",2,"saved",41,3],["odd",1,"",0,0]],
        "finished":[[58,"5c0e.0.1.9",1,"done",""],[59,"5c0e.0.1.8",1,"unheard",""]]}"""
        listing = msgspec.json.decode(text, type=WireListing).to_listing()
        assert [run.task for run in listing.running] == [TaskKey("5c0e", 0, 1, 17)]
        assert [(end.position, end.end) for end in listing.ended] == [(58, RunEnd.DONE)]


class TestCallsToExecutors:
    """Calls to an executor of the stand-in, which may report its start time."""

    async def renew(self, born_ms: int | None, called_id: str) -> tuple[ListingAnswer, str]:
        """Return the response to a renewal for `called_id`, and the id of the running executor."""
        async with trio.open_nursery() as nursery:
            simulation = Simulation(rng=Random(1), nursery=nursery, executors=1)
            executor = simulation.executors["executor-1"]
            current_id = make_executor_id("executor-1", born_ms)
            executor.info = replace(executor.info, executor_id=current_id)
            routes = ExecutorRoutes(simulation=simulation, executor_id="executor-1")
            answer = await PlatformExecutors(calls=make_calls()).renew(
                address=await serve(nursery, routes),
                executor_id=called_id,
                deadline_ms=None,
                noted=0,
                wait_s=0.0,
                token=1,
                timeout_s=5.0,
            )
            nursery.cancel_scope.cancel()
        return answer.unwrap(), current_id

    async def test_a_listing_identifies_the_responding_incarnation(self) -> None:
        answer, current_id = await self.renew(2_000, make_executor_id("executor-1", 1_000))
        assert answer.executor_id == current_id

    @pytest.mark.parametrize("born_ms", [None, 2_000])
    async def test_without_a_start_time_the_called_id_is_returned(
        self, born_ms: int | None
    ) -> None:
        called_id = make_executor_id("executor-1", 1_000 if born_ms is None else None)
        answer, _ = await self.renew(born_ms, called_id)
        assert answer.executor_id == called_id

    async def test_another_executor_refuses(self) -> None:
        answer, _ = await self.renew(2_000, make_executor_id("executor-2", 2_000))
        assert answer.verdict is StartVerdict.OTHER_EXECUTOR

    async def test_the_advisor_is_queried_by_name_and_approves_one_incarnation(
        self,
    ) -> None:
        async with trio.open_nursery() as nursery:
            routes = AdvisorRoutes()
            address = await serve(nursery, routes)
            routes.refused.add("f")
            advisor = PlatformAdvisor(calls=make_calls(), address=lambda: address)
            ids = tuple(make_executor_id(name, 1_000) for name in "ef")
            answer = await advisor.advise(step=StepKey(JOB, 0, 0), executor_ids=ids, timeout_s=5.0)
            nursery.cancel_scope.cancel()
        approved = answer.unwrap().approved
        assert approved == (Approval(executor_id=ids[0], ticket="ticket-e"),)


class TestSubmissions:
    def decode(self, body: Any) -> Result[CellJob, StepError]:
        return decode_job(
            msgspec.json.encode(body), job_id=JOB, queue=QUEUE, wall=1.0, peer="caller"
        )

    def test_all_fields_of_a_step(self) -> None:
        step = {
            "count": 4,
            "cpu": 500,
            "memoryRequestMb": 256,
            "gpus": 1,
            "estimatedMs": 900,
            "gangScheduled": True,
            "sameRack": True,
            "requirements": "a",
            "dataRack": "r1-3",
            "antiAffinity": 2,
            "checkpointing": True,
            "longRunning": True,
            "image": "i",
            "targetMs": 20,
            "allowMiss": 1,
            "speculative": True,
        }
        job = self.decode({"specification": "text", "steps": [step]}).unwrap()
        found = job.steps[0]
        assert found.need == Resources(cores_milli=500, memory_mb=256, accelerators=1)
        assert found.is_gang
        assert found.wants_one_rack
        assert found.most_per_executor == 2
        assert (found.label, found.data_rack, found.estimate_s) == ("a", "r1-3", 0.9)
        assert found.is_long_running
        assert found.most_unavailable == 1

    def test_a_filler_reserves_no_processor(self) -> None:
        job = self.decode({"steps": [{"count": 1, "cpu": 500, "fills": True}]}).unwrap()
        assert job.steps[0].need.cores_milli == 0

    def test_a_recurring_job(self) -> None:
        body = {
            "steps": [{"count": 1}],
            "repetitions": 3,
            "firstRunMs": 5000,
            "intervalMs": 250,
        }
        recurrence = self.decode(body).unwrap().recurrence
        assert recurrence is not None
        assert (recurrence.first_due, recurrence.interval_s, recurrence.times) == (5.0, 0.25, 3)

    @pytest.mark.parametrize(
        ("body", "message"),
        [
            ({"steps": []}, "steps: expected at least one"),
            ({"steps": [{"cpu": 5}]}, "steps[0].count: expected 1 to 4000, got 0"),
            ({"steps": [{"count": 1, "cpu": -5}]}, "steps[0].cpu: expected 0 or more, got -5"),
            (
                {"steps": [{"count": 1, "after": [0]}]},
                "steps[0].after: expected numbers of earlier",
            ),
            ({"specification": "x" * 4001, "steps": [{"count": 1}]}, "specification: at most 4000"),
            ({"steps": [{"count": "many"}]}, "steps[0].count"),
        ],
    )
    def test_bad_input_names_field_and_value(self, body: Any, message: str) -> None:
        error = self.decode(body).failure()
        assert error.reason is Reason.INVALID
        assert message in error.detail


async def serve(nursery: trio.Nursery, *handlers: object) -> str:
    server = HttpServer(handlers=handlers, clock=TrioClock())
    await nursery.start(server.run)
    return server.address


async def serve_address(nursery: trio.Nursery, routes: object) -> AddressProvider:
    address = await serve(nursery, routes)
    return lambda: address


def make_calls() -> PlatformCalls:
    return PlatformCalls(client=HttpClient(clock=TrioClock()))


async def load(store: PlatformStore) -> Result[dict[str, bytes], StepError]:
    return await StateLoader(state=store, page_timeout_s=5.0).load()


class TestStore:
    async def test_tokens_increase_and_a_fence_stops_older_writers(self) -> None:
        async with trio.open_nursery() as nursery:
            store = PlatformStore(
                calls=make_calls(), address=await serve_address(nursery, StandinStore(page_keys=3))
            )
            first = (await store.claim(host_id="a", address="a:1", weight=1.0, log_end=0)).unwrap()
            log_end = (await store.poll()).unwrap().log_end
            second = (
                await store.claim(host_id="b", address="b:1", weight=1.0, log_end=log_end)
            ).unwrap()
            assert second > first
            late = await store.claim(host_id="c", address="c:1", weight=1.0, log_end=log_end)
            assert late.failure().reason is Reason.CONFLICT
            assert not isinstance(await store.fence(token=second), Failure)
            refused = await store.append(
                token=first, sequence=1, values_by_key={"k": b"old"}, timeout_s=1.0
            )
            assert refused.failure().reason is Reason.CONFLICT
            view = (await store.poll()).unwrap()
            assert view.leader is not None
            assert (view.leader.host_id, view.leader.token) == ("b", second)
            assert (await load(store)).unwrap() == {}
            nursery.cancel_scope.cancel()

    async def test_a_repeated_append_is_written_once_and_all_pages_are_read(self) -> None:
        async with trio.open_nursery() as nursery:
            standin = StandinStore()
            store = PlatformStore(calls=make_calls(), address=await serve_address(nursery, standin))
            values = {f"run/{number}": bytes([number]) for number in range(8)}
            for _ in range(2):
                answer = await store.append(
                    token=3, sequence=1, values_by_key=values, timeout_s=1.0
                )
                assert not isinstance(answer, Failure)
            assert (await load(store)).unwrap() == values
            assert (await store.poll()).unwrap().log_end == 8
            nursery.cancel_scope.cancel()

    async def test_a_failed_page_is_retried_without_rereading_earlier_pages(self) -> None:
        class Failing(StandinStore):
            """Refuses the first of every two requests."""

            def __init__(self) -> None:
                super().__init__(page_keys=3)
                self.page_starts: list[str] = []

            @route("GET", "/log-newest")
            async def show_newest(self, request: HttpRequest) -> HttpResponse:
                self.page_starts.append(request.query.get("after", ""))
                if len(self.page_starts) % 2:
                    return HttpResponse(status=503)
                return await super().show_newest(request)

        async with trio.open_nursery() as nursery:
            standin = Failing()
            store = PlatformStore(calls=make_calls(), address=await serve_address(nursery, standin))
            values = {f"run/{number}": bytes([1 + number]) for number in range(8)}
            await store.append(token=3, sequence=1, values_by_key=values, timeout_s=1.0)
            assert (await load(store)).unwrap() == values
            assert standin.page_starts == ["", "", "run/2", "run/2", "run/5", "run/5"]
            nursery.cancel_scope.cancel()

    async def test_a_refusal_means_that_nothing_was_written(self) -> None:
        async with trio.open_nursery() as nursery:
            standin = StandinStore()
            store = PlatformStore(calls=make_calls(), address=await serve_address(nursery, standin))
            standin.is_unavailable = True
            answer = await store.append(token=1, sequence=1, values_by_key={}, timeout_s=1.0)
            assert not answer.failure().may_have_taken_effect
            nursery.cancel_scope.cancel()


class TestStandinStore:
    """Rules of the platform's store that the stand-in enforces."""

    async def append(
        self, address: str, query: str, *values: bytes, topic: str = "keyed.t"
    ) -> tuple[int, Any]:
        body = b"".join(keyed_record(f"k{number}", each) for number, each in enumerate(values))
        async with httpcore.AsyncConnectionPool() as pool:
            url = f"http://{address}/log-append?topic={topic}&{query}"
            answer = await pool.request("POST", url, content=body)
        return answer.status, msgspec.json.decode(answer.content or b"null")

    async def test_topics_of_other_writers_are_read_only(self) -> None:
        async with trio.open_nursery() as nursery:
            address = await serve(nursery, StandinStore())
            for topic in ("keyed.op", "keyed.servers"):
                status, _ = await self.append(address, "", b"v", topic=topic)
                assert status == 403
            nursery.cancel_scope.cancel()

    async def test_an_append_not_at_the_end_is_refused(self) -> None:
        async with trio.open_nursery() as nursery:
            address = await serve(nursery, StandinStore())
            assert await self.append(address, "at=0", b"a") == (200, {"offset": 0, "endOffset": 1})
            assert await self.append(address, "at=0", b"b") == (412, {"endOffset": 1})
            nursery.cancel_scope.cancel()

    async def test_only_the_last_five_appends_may_be_repeated(self) -> None:
        async with trio.open_nursery() as nursery:
            standin = StandinStore()
            address = await serve(nursery, standin)
            for number in range(1, 8):
                await self.append(address, f"producer=p&epoch=4&sequence={number}", b"v")
            repeated = await self.append(address, "producer=p&epoch=4&sequence=3", b"v")
            assert repeated == (200, {"offset": 2, "endOffset": 3})
            for sequence in (2, 9):
                answer = await self.append(address, f"producer=p&epoch=4&sequence={sequence}", b"v")
                assert answer == (409, {"reason": "seq", "sequence": 8})
            assert standin.topics["keyed.t"].end == 7
            nursery.cancel_scope.cancel()

    async def test_an_older_epoch_is_fenced_and_a_higher_one_starts_at_any_sequence(self) -> None:
        async with trio.open_nursery() as nursery:
            address = await serve(nursery, StandinStore())
            assert (await self.append(address, "producer=p&epoch=4&sequence=1", b"v"))[0] == 200
            assert (await self.append(address, "producer=p&epoch=5&sequence=30", b"v"))[0] == 200
            late = await self.append(address, "producer=p&epoch=4&sequence=2", b"v")
            assert late == (409, {"reason": "fenced"})
            nursery.cancel_scope.cancel()


class FixedConfig:
    """A configuration that never changes."""

    def __init__(self, config: CellConfig) -> None:
        self._config = config

    def current(self) -> CellConfig:
        return self._config

    @property
    def newest_known_version(self) -> int:
        return self._config.version

    async def look(self) -> None:
        """Do nothing: there is no newer configuration."""


class FixedOutcomeHandler:
    """A handler for which each submission has the same outcome."""

    def __init__(self, outcome: SubmitOutcome) -> None:
        self._outcome = outcome

    async def submit(self, job: CellJob, **_: object) -> SubmitOutcome:
        return self._outcome


async def post_job(
    outcome: SubmitOutcome, *, queue: Queue, headers: dict[str, str], body: bytes
) -> tuple[int, str]:
    """Submit a job with a fixed outcome; return the status and the time to return."""
    clock = TrioClock()
    config = CellConfig(
        version=1, routes=(QueueRoute(queue=queue, host="q.example", path_prefix="/q/"),)
    )
    routes = JobRoutes(
        handler=FixedOutcomeHandler(outcome),  # type: ignore[arg-type]
        config=FixedConfig(config),
        clock=clock,
        recorder=Recorder(process="t", clock=clock, ring=TimelineRing(capacity=10)),
        submit_seconds=CellMetrics(metrics=Metrics()).submit_seconds,
        query_seconds=CellMetrics(metrics=Metrics()).query_seconds,
    )
    async with trio.open_nursery() as nursery:
        address = await serve(nursery, routes)
        async with httpcore.AsyncConnectionPool() as pool:
            answer = await pool.request(
                "POST",
                f"http://{address}/q/{JOB}",
                headers=[("Host", "q.example"), *headers.items()],
                content=body,
            )
        nursery.cancel_scope.cancel()
    told = {name.lower(): value for name, value in answer.headers}[b"retry-after"]
    return answer.status, told.decode()


class TestJobRoutes:
    @pytest.mark.parametrize(
        ("verdict", "retry_after_s", "status", "header"),
        [
            (SubmitVerdict.UNKNOWN, 0.4, 504, "1"),
            (SubmitVerdict.NOT_RUN, 1.0, 503, "1"),
            (SubmitVerdict.NOT_RUN, 3.0, 503, "3"),
        ],
    )
    async def test_a_job_that_is_not_accepted_is_answered_with_the_time_to_return(
        self, verdict: SubmitVerdict, retry_after_s: float, status: int, header: str
    ) -> None:
        outcome = SubmitOutcome(verdict=verdict, cause="a cause", retry_after_s=retry_after_s)
        answer = await post_job(
            outcome,
            queue=QUEUE,
            headers={"Deadline-Remaining": "3000"},
            body=b'{"specification":"x","steps":[{"count":1,"cpu":1000}]}',
        )
        assert answer == (status, header)

    @pytest.mark.parametrize(
        ("verdict", "headers", "told"),
        [
            (SubmitVerdict.NOT_RUN, {"Deadline-Remaining": "3000"}, {"1"}),
            (SubmitVerdict.NOT_RUN, {}, {"4", "5"}),
            (SubmitVerdict.NOT_RUN, {"Deadline-Remaining": "nan"}, {"4", "5"}),
            (SubmitVerdict.NOT_RUN, {"Deadline-Remaining": "inf"}, {"4", "5"}),
            (SubmitVerdict.UNKNOWN, {}, {"1"}),
        ],
    )
    async def test_a_caller_returns_by_its_job_s_time_within_what_it_says_that_it_waits(
        self, verdict: SubmitVerdict, headers: dict[str, str], told: set[str]
    ) -> None:
        status, header = await post_job(
            SubmitOutcome(verdict=verdict, cause="a cause"),
            queue=replace(QUEUE, stretch=4.0, target_s=3.0),
            headers=headers,
            body=b'{"specification":"x","steps":[{"count":1,"estimatedMs":5000}]}',
        )
        assert status == (503 if verdict is SubmitVerdict.NOT_RUN else 504)
        assert header in told


class HostRoutes:
    """The platform's list of machines, one per page, and its orders to them."""

    def __init__(self, *machines: dict[str, Any]) -> None:
        self.machines = machines
        self.answers: list[HttpResponse] = []
        self.orders: list[tuple[str, Any, str, str]] = []

    @route("GET", "/machines")
    async def show(self, request: HttpRequest) -> HttpResponse:
        number = int(request.query.get("pageToken", "0"))
        following = str(number + 1) if number + 1 < len(self.machines) else None
        page = {"machines": [self.machines[number]], "nextPageToken": following}
        return json_response(200, page)

    @route("POST", "/machine-move")
    async def move(self, request: HttpRequest) -> HttpResponse:
        return await self._take("move", request)

    @route("POST", "/machine-upkeep")
    async def maintain(self, request: HttpRequest) -> HttpResponse:
        return await self._take("upkeep", request)

    async def _take(self, name: str, request: HttpRequest) -> HttpResponse:
        message = msgspec.json.decode((await request.read_body(10_000)).unwrap())
        holder, token = request.headers["lease-holder"], request.headers["fencing-token"]
        self.orders.append((name, message, holder, token))
        return self.answers.pop(0) if self.answers else HttpResponse(status=200)


class RepeatingRoutes:
    """A list of machines whose pages all name the same next page."""

    def __init__(self, token: str) -> None:
        self.token = token
        self.tokens: list[str] = []

    @route("GET", "/machines")
    async def show(self, request: HttpRequest) -> HttpResponse:
        self.tokens.append(request.query.get("pageToken", ""))
        return json_response(200, {"machines": [], "nextPageToken": self.token})


async def make_hosts_port(
    nursery: trio.Nursery,
    routes: HostRoutes | RepeatingRoutes,
    values: dict[str, bytes] | None = None,
) -> tuple[PlatformHosts, StandinStore]:
    store = StandinStore()
    port = PlatformHosts(
        calls=make_calls(),
        address=await serve_address(nursery, routes),
        store=await serve_address(nursery, store),
        operator_values=lambda: values or {},
        recorder=Recorder(process="t", clock=TrioClock(), ring=TimelineRing(capacity=10)),
    )
    return port, store


class TestHosts:
    WAVE = b'{"wave":3,"machines":["m-1","m-2"],"durationS":20,"upperLimit":2}'

    async def test_waves_are_decoded_and_unreadable_ones_left_out(self) -> None:
        async with trio.open_nursery() as nursery:
            values = {"wave/3": self.WAVE, "wave/4": b"{}", "config": b"{}"}
            port, _ = await make_hosts_port(nursery, HostRoutes(), values)
            (wave,) = port.waves()
            assert (wave.number, wave.hosts, wave.most_down) == (3, ("m-1", "m-2"), 2)
            assert wave.duration_s == 20.0
            nursery.cancel_scope.cancel()

    async def test_all_pages_of_the_list_are_read(self) -> None:
        machines: list[dict[str, Any]] = [
            {"machine": "m-1", "pool": "s", "state": "up", "labels": ["a", "r1"], "id": "i-1"},
            {"machine": "m-2", "pool": "off", "state": "upkeep", "capacity": {"cpu": 4000}},
            {"machine": "m-3", "pool": "off", "state": "strange", "id": None},
        ]
        async with trio.open_nursery() as nursery:
            port, _ = await make_hosts_port(nursery, HostRoutes(*machines))
            hosts = (await port.list_hosts()).unwrap()
            assert [(host.host, host.pool, host.executor_id) for host in hosts] == [
                ("m-1", "s", "i-1"),
                ("m-2", "off", ""),
                ("m-3", "off", ""),
            ]
            states = [host.state for host in hosts]
            assert states == [HostState.UP, HostState.MAINTENANCE, HostState.DOWN]
            assert hosts[1].capacity == Resources(cores_milli=4000)
            nursery.cancel_scope.cancel()

    @pytest.mark.parametrize(
        "odd",
        [
            {"machine": "m-2", "pool": "s", "state": "up", "capacity": {"cpu": 10**20}},
            {"machine": "m-2", "pool": "s", "state": "up", "capacity": {"cpu": -1}},
            {"machine": "m-2", "pool": 3, "state": "up"},
            {"machine": "m-2"},
        ],
    )
    async def test_an_odd_machine_stays_on_the_list_and_gets_no_order(
        self, odd: dict[str, Any]
    ) -> None:
        machines = [{"machine": "m-1", "pool": "s", "state": "up"}, odd]
        async with trio.open_nursery() as nursery:
            port, _ = await make_hosts_port(nursery, HostRoutes(*machines))
            for _ in range(2):
                first, second = (await port.list_hosts()).unwrap()
                assert (first.host, first.state) == ("m-1", HostState.UP)
                assert (second.host, second.state) == ("m-2", HostState.DOWN)
            nursery.cancel_scope.cancel()

    @pytest.mark.parametrize("odd", [{}, {"machine": 3}, {"machine": "m" * 1_001}])
    async def test_a_machine_without_a_name_makes_the_list_an_error(
        self, odd: dict[str, Any]
    ) -> None:
        machines = [{"machine": "m-1", "pool": "s", "state": "up"}, odd]
        async with trio.open_nursery() as nursery:
            port, _ = await make_hosts_port(nursery, HostRoutes(*machines))
            error = (await port.list_hosts()).failure()
            assert error.reason is Reason.CUT
            assert error.detail.startswith("machines[1]: ")
            nursery.cancel_scope.cancel()

    @pytest.mark.parametrize("token", ["0", "\uc810 &x=", "a\r\nb"])
    async def test_any_page_token_is_sent_and_a_repeated_one_ends_the_reading(
        self, token: str
    ) -> None:
        async with trio.open_nursery() as nursery:
            routes = RepeatingRoutes(token)
            port, _ = await make_hosts_port(nursery, routes)
            assert "nextPageToken" in (await port.list_hosts()).failure().detail
            assert routes.tokens == ["", token]
            nursery.cancel_scope.cancel()

    async def test_orders_carry_holder_and_token(self) -> None:
        async with trio.open_nursery() as nursery:
            routes = HostRoutes()
            port, _ = await make_hosts_port(nursery, routes)
            for order in (HostOrder(host="m-1", wave=3), HostOrder(host="m-1", pool="s")):
                answer = await port.order(order, holder="front-1", token=9)
                assert answer.unwrap() is HostOutcome.DONE
            assert routes.orders == [
                ("upkeep", {"machine": "m-1", "wave": 3}, "front-1", "9"),
                ("move", {"machine": "m-1", "pool": "s"}, "front-1", "9"),
            ]
            nursery.cancel_scope.cancel()

    @pytest.mark.parametrize(
        ("status", "body", "outcome"),
        [
            (409, {"reason": "busy"}, HostOutcome.BUSY),
            (409, {"reason": "wave"}, HostOutcome.NOT_POSSIBLE),
            (400, {}, HostOutcome.NOT_POSSIBLE),
        ],
    )
    async def test_refusals_map_to_order_outcomes(
        self, status: int, body: Any, outcome: HostOutcome
    ) -> None:
        async with trio.open_nursery() as nursery:
            routes = HostRoutes()
            routes.answers.append(json_response(status, body))
            port, _ = await make_hosts_port(nursery, routes)
            answer = await port.order(HostOrder(host="m-1", wave=3), holder="a", token=1)
            assert answer.unwrap() is outcome
            nursery.cancel_scope.cancel()

    @pytest.mark.parametrize(
        ("status", "body", "reason"),
        [(409, {"reason": "fence"}, Reason.CONFLICT), (429, {}, Reason.OVERLOADED)],
    )
    async def test_other_refusals_are_failures(
        self, status: int, body: Any, reason: Reason
    ) -> None:
        async with trio.open_nursery() as nursery:
            routes = HostRoutes()
            routes.answers.append(json_response(status, body))
            port, _ = await make_hosts_port(nursery, routes)
            answer = await port.order(HostOrder(host="m-1", wave=3), holder="a", token=1)
            assert answer.failure().reason is reason
            nursery.cancel_scope.cancel()

    async def test_wave_status_is_written_once_and_by_the_newest_leader_only(self) -> None:
        async with trio.open_nursery() as nursery:
            port, store = await make_hosts_port(nursery, HostRoutes())
            for _ in range(2):
                reported = await port.report_wave(3, is_completed=False, token=5, sequence=1)
                assert not isinstance(reported, Failure)
            assert store.value("keyed.status", "wave/3") == {"state": "running"}
            assert store.topics["keyed.status"].end == 1
            late = await port.report_wave(3, is_completed=True, token=4, sequence=1)
            assert late.failure().reason is Reason.CONFLICT
            nursery.cancel_scope.cancel()


def make_recorder() -> Recorder:
    return Recorder(process="p", clock=TrioClock(), ring=TimelineRing(capacity=1_000))


def make_follower(address: AddressProvider, topic: str) -> KeyedFollower:
    return KeyedFollower(calls=make_calls(), address=address, topic=topic, recorder=make_recorder())


class TestKeyedFollower:
    async def test_changes_deletions_and_lost_history(self) -> None:
        async with trio.open_nursery() as nursery:
            standin = StandinStore()
            address = await serve_address(nursery, standin)
            follower = make_follower(address, "keyed.op")
            for number in range(5):
                standin.put("keyed.op", f"k{number}", number)
            assert (await follower.refresh(wait_s=0.0)).unwrap()
            assert len(follower.values_by_key) == 5
            assert not (await follower.refresh(wait_s=0.0)).unwrap()
            standin.put("keyed.op", "k0", None)
            assert (await follower.refresh(wait_s=1.0)).unwrap()
            assert "k0" not in follower.values_by_key
            standin.put("keyed.op", "k9", 9)
            standin.topics["keyed.op"].compact()
            assert (await follower.refresh(wait_s=0.0)).unwrap()
            assert follower.values_by_key["k9"] == b"9"
            nursery.cancel_scope.cancel()


def free_ports(count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind(("127.0.0.1", 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


def make_settings(name: str, store: str, advisor: str) -> PlatformSettings:
    callers, readiness, peers = free_ports(3)
    table = {
        **TABLE,
        "nodeName": name,
        "internalPortRange": [peers, peers + 1],
        "listenAddresses": {
            "front": f"127.0.0.1:{callers}",
            "readiness": f"127.0.0.1:{readiness}",
        },
        "platform": {"address": store, "form": "log"},
        "placementAdvisor": advisor,
    }
    return replace(decode_settings(table), metrics_bind="127.0.0.1:0")


class Caller:
    """A caller of the platform."""

    def __init__(self, *, address: str) -> None:
        self.url = f"http://{address}"
        self.pool = httpcore.AsyncConnectionPool()

    async def request(self, method: str, path: str, body: Any = None) -> tuple[int, Any]:
        headers = [("Host", "q.example"), ("Deadline-Remaining", "3000")]
        content = msgspec.json.encode(body) if body is not None else None
        answer = await self.pool.request(method, self.url + path, headers=headers, content=content)
        return answer.status, msgspec.json.decode(answer.content or b"null")

    async def wait_ready(self, readiness: str) -> None:
        for _ in range(400):
            try:
                answer = await self.pool.request("GET", f"http://{readiness}/readiness")
            except httpcore.ConnectError:
                await trio.sleep(0.05)
                continue
            if answer.status == 200:
                return
            await trio.sleep(0.05)
        raise AssertionError("never ready")

    async def wait_state(self, job: str, wanted: str) -> str:
        state = ""
        for _ in range(400):
            status, answer = await self.request("GET", f"/q/{job}")
            state = answer["state"] if status == 200 else str(status)
            if state == wanted:
                return state
            await trio.sleep(0.05)
        return state


class TestEndToEnd:
    async def test_a_job_is_served_through_any_host_and_survives_the_leader(
        self, tmp_path: Path
    ) -> None:
        async with trio.open_nursery() as nursery:
            store = StandinStore()
            store_address = await serve(nursery, store)
            simulation = Simulation(rng=Random(1), nursery=nursery, executors=2)
            simulation.fail_share = 0.0
            advisor = await serve(nursery, AdvisorRoutes())
            for executor_id in list(simulation.executors):
                routes = ExecutorRoutes(simulation=simulation, executor_id=executor_id)
                entry = {
                    "service": "service",
                    "address": await serve(nursery, routes),
                    "state": "ready",
                    "capacity": {"cpu": 8000, "memoryRequestMb": 32000},
                    "labels": ["a", "r1"],
                }
                store.put("keyed.servers", executor_id, entry)
            queue = {
                "name": "q",
                "host": "q.example",
                "pathPrefix": "/q/",
                "service": "service",
                "maxAttempts": 2,
                "placementAdvisor": {"decisionMs": 5, "periodMs": 1, "validityMs": 1500},
            }
            store.put("keyed.op", "config", {"version": 3, "routes": [queue]})
            settings = [make_settings(name, store_address, advisor) for name in ("one", "two")]
            log = os.open(tmp_path / "log", os.O_WRONLY | os.O_CREAT | os.O_APPEND)
            processes = [
                EntryProcess(settings=each, path=Path("none"), log_descriptor=log)
                for each in settings
            ]
            scopes: list[trio.CancelScope] = []
            for process in processes:
                scopes.append(await nursery.start(run_process, process))
            callers = [Caller(address=each.callers_bind) for each in settings]
            for caller, each in zip(callers, settings, strict=True):
                await caller.wait_ready(each.readiness_bind)
            body = {"specification": "x", "steps": [{"count": 2, "cpu": 1000, "estimatedMs": 500}]}
            register_job(simulation, JOB, body, processes[0].host.config.current())
            assert await callers[0].request("POST", f"/q/{JOB}", {"steps": []}) == (400, ANY)
            assert await callers[0].request("GET", f"/q/{JOB}") == (410, ANY)
            assert await callers[0].request("GET", "/none/x") == (404, ANY)
            assert (await callers[0].request("POST", f"/q/{JOB}", body))[0] == 200
            assert (await callers[1].request("POST", f"/q/{JOB}", body))[0] == 200
            assert await callers[1].wait_state(JOB, "completed") == "completed"
            assert await callers[0].request("GET", "/q/") == (200, {"pending": 0})
            leader = 0 if processes[0].host.leadership.term is not None else 1
            scopes[leader].cancel()
            other = callers[1 - leader]
            assert await other.wait_state(JOB, "completed") == "completed"
            assert (await other.request("DELETE", f"/q/{JOB}"))[0] == 200
            assert simulation.violations == []
            nursery.cancel_scope.cancel()
        os.close(log)
        lines = parse_lines((tmp_path / "log").read_text().splitlines())
        fields_by_event = {line.event: line.fields for line in lines}
        assert float(fields_by_event["job.accepted"]["objective_s"]) > 0.0
        assert float(fields_by_event["advice.answered"]["took_ms"]) >= 0.0


class Anything:
    """Equal to any answer."""

    def __eq__(self, other: object) -> bool:
        return True

    __hash__ = None  # type: ignore[assignment]


ANY = Anything()


def register_job(simulation: Simulation, job_id: str, body: Any, config: CellConfig | None) -> None:
    """Register a job with the simulation, which will be asked to run it."""
    assert config is not None
    queue = config.routes[0].queue
    text = msgspec.json.encode(body)
    job = decode_job(text, job_id=job_id, queue=queue, wall=0.0, peer="").unwrap()
    simulation.jobs[job_id] = job


async def run_process(
    process: EntryProcess, task_status: trio.TaskStatus[trio.CancelScope]
) -> None:
    with trio.CancelScope() as scope:
        async with trio.open_nursery() as nursery:
            await process.start(nursery)
            task_status.started(scope)


class TestLiveSettings:
    def write(self, path: Path, store: str, host: str = "front-1") -> None:
        path.write_text(
            f'nodeName = "{host}"\nipAddress = "127.0.0.1"\nzone = "dc"\n'
            "internalPortRange = [7000, 7010]\n"
            '[listenAddresses]\nfront = "127.0.0.1:1"\nreadiness = "127.0.0.1:2"\n'
            f'[platform]\naddress = "{store}"\n'
        )

    def make(self, path: Path) -> tuple[LiveSettings, Recorder]:
        recorder = Recorder(process="p", clock=TrioClock(), ring=TimelineRing())
        return LiveSettings(path=path, settings=load_settings(path), recorder=recorder), recorder

    async def test_a_new_store_address_is_used_without_a_signal(
        self, tmp_path: Path, autojump_clock: object, nursery: trio.Nursery
    ) -> None:
        path = tmp_path / "node.toml"
        self.write(path, "10.0.0.1:1")
        live, recorder = self.make(path)
        nursery.start_soon(live.run)
        self.write(path, "10.0.0.2:1", host="front-2")
        await trio.sleep(1.5)
        assert live.store_address() == "10.0.0.2:1"
        event = list(recorder.ring)[-1]
        assert event.step == "host.reloaded"
        assert event.fields == {"store": "in force", "host_id": "from the next start on"}

    async def test_a_bad_file_changes_nothing_and_is_reported_once(
        self, tmp_path: Path, autojump_clock: object, nursery: trio.Nursery
    ) -> None:
        path = tmp_path / "node.toml"
        self.write(path, "10.0.0.1:1")
        live, recorder = self.make(path)
        nursery.start_soon(live.run)
        path.write_text("zone = 7")
        await trio.sleep(5.5)
        assert live.store_address() == "10.0.0.1:1"
        reported = [event for event in recorder.ring if event.step == "host.reload_failed"]
        assert [event.cause for event in reported] == ["ipAddress: missing"]
