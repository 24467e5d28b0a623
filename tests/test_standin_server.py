"""Control API of the stand-in process, hosts added and removed, network cuts, bad clients."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import pytest
import trio
from returns.result import Failure, Success
from trio.testing import MockClock

from galenastall.protocol.platform import Platform, UpstreamCutError
from galenastall.standin.control_client import StandinControl
from galenastall.standin.cuts import ALL_SERVICES, Cut, Service
from galenastall.standin.echo import EchoVerdict, check_echo
from galenastall.standin.faults import ExecutorFaults, HostListFaults, LogFaults, WorkerFaults
from galenastall.standin.memory_platform import MemoryPlatform
from galenastall.standin.server import StandinAddresses, StandinServer
from galenastall.standin.violations import ViolationKind
from galenastall.state.errors import Reason
from galenastall.state.hosts import HostKind, HostState, ListedHost
from galenastall.state.ids import DataCentre, HostId, Offset, StreamName
from galenastall.transport.clock import TrioClock
from galenastall.transport.http_client import HttpClient
from galenastall.transport.platform_http import build_http_platform
from standin_cases import (
    CLIENT_TIMEOUT_S,
    SHAPE,
    make_batch,
    make_call,
    make_task,
    one_chunk,
    open_memory_harness,
)

STREAM = StreamName("settings")
ENTRY = HostId("entry-1")


@dataclass(frozen=True, kw_only=True, slots=True)
class Process:
    clock: TrioClock
    control: StandinControl
    services: Platform
    addresses: StandinAddresses

    def host(self, kind: HostKind, index: int = 0) -> ListedHost:
        return [host for host in self.addresses.hosts if host.kind is kind][index]


@pytest.fixture
def jumping_clock() -> MockClock:
    return MockClock(autojump_threshold=0.005)


@asynccontextmanager
async def open_process() -> AsyncIterator[Process]:
    clock = TrioClock(wall_at_start=1e9)
    model = MemoryPlatform(clock=clock, seed=1)
    server = StandinServer(model=model, clock=clock, shape=SHAPE)
    client = HttpClient(clock=clock)
    async with trio.open_nursery() as nursery:
        addresses = await nursery.start(server.run)
        yield Process(
            clock=clock,
            control=StandinControl(client=client, address=addresses.control),
            services=build_http_platform(
                address=addresses.platform,
                client=client,
                clock=clock,
                timeout_s=CLIENT_TIMEOUT_S,
                caller=ENTRY,
            ),
            addresses=addresses,
        )
        await client.aclose()
        nursery.cancel_scope.cancel()


class TestControl:
    async def test_faults_are_set_for_one_target_or_all(self, jumping_clock: MockClock) -> None:
        async with open_process() as process:
            control = process.control
            worker = process.host(HostKind.WORKER).host_id
            await control.set_log_faults(LogFaults(outage=True))
            await control.set_host_list_faults(HostListFaults(outage=True))
            await control.set_worker_faults(worker, WorkerFaults(fail_starts=True))
            await control.set_executor_faults("all", ExecutorFaults(leaving=True))
            read = await process.services.log.read(stream=STREAM, start=Offset(0))
            assert read.failure().reason is Reason.UNAVAILABLE
            fetched = await process.services.host_list.fetch()
            assert fetched.failure().reason is Reason.UNAVAILABLE
            for index, ok in enumerate((False, True)):
                batch = make_batch(make_task(index), lease_until=process.clock.wall() + 30)
                address = process.host(HostKind.WORKER, index).address
                started = await process.services.workers.start(address=address, batch=batch)
                assert started.unwrap()[0].ok is ok
            for index in range(SHAPE.executors):
                async with process.services.upstreams.call(
                    address=process.host(HostKind.UPSTREAM, index).address,
                    call=make_call(index),
                    body=one_chunk(b"x"),
                ) as answer:
                    assert answer.unwrap().leaving

    async def test_change_leaves_other_faults_alone(self, jumping_clock: MockClock) -> None:
        async with open_process() as process:
            control = process.control
            await control.set_executor_faults("all", ExecutorFaults(answer_bytes=500, late_s=3.0))
            changed = (await control.change_faults("executors/all", {"late": 1.0})).unwrap()
            assert len(changed) == SHAPE.executors
            for faults in changed.values():
                assert (faults["late"], faults["late_s"], faults["answer_bytes"]) == (1.0, 3.0, 500)
            refused = await control.change_faults("executors/all", {"late": 0.0, "soon": 1})
            assert refused.failure().reason is Reason.INVALID
            assert "'soon'" in refused.failure().detail
            after = (await control.change_faults("executors/all", {})).unwrap()
            assert after == changed

    async def test_unknown_targets_and_fields_are_refused(self, jumping_clock: MockClock) -> None:
        async with open_process() as process:
            unknown = await process.control.set_worker_faults("nobody", WorkerFaults())
            assert unknown.failure().reason is Reason.NOT_FOUND
            client = HttpClient(clock=process.clock)
            for body, at_fault in (
                (b'{"outtage": true}', "outtage"),
                (b'{"delay_s": "x"}', "delay_s"),
            ):
                answer = await client.request(
                    method="PUT",
                    address=process.addresses.control,
                    path="/control/faults/log",
                    timeout_s=1.0,
                    body=body,
                )
                assert answer.unwrap().status == 400
                assert at_fault in answer.unwrap().body.decode()
            await client.aclose()
            gone = await process.control.remove_host(HostId("nobody"))
            assert gone.failure().reason is Reason.NOT_FOUND

    async def test_runs_and_violations_are_read_back(self, jumping_clock: MockClock) -> None:
        async with open_process() as process:
            address = process.host(HostKind.WORKER).address
            batch = make_batch(make_task(run_s=60), lease_until=process.clock.wall() + 30)
            for _ in range(2):
                await process.services.workers.start(address=address, batch=batch)
            report = (await process.control.violations()).unwrap()
            assert report.counts_by_kind == {ViolationKind.DOUBLE_RUN: 1}
            page = (await process.control.runs()).unwrap()
            assert [record.task_id for record in page.records] == ["job/0", "job/0"]
            assert (await process.control.runs(start=page.next)).unwrap().records == ()

    async def test_repeated_requests_and_bodies_are_counted(self, jumping_clock: MockClock) -> None:
        async with open_process() as process:
            for index, number in enumerate((1, 1, 2)):
                address = process.host(HostKind.UPSTREAM, index % 2).address
                async with process.services.upstreams.call(
                    address=address, call=make_call(number), body=one_chunk(b"same body")
                ) as answer:
                    assert isinstance(answer, Success)
            repeats = (await process.control.repeats()).unwrap()
            assert repeats.runs_by_request == {"request-1": 2}
            assert list(repeats.runs_by_body.values()) == [3]
            counters = (await process.control.counters()).unwrap()
            assert sum(found.runs for found in counters.executors_by_host.values()) == 3
            page = (await process.control.executions()).unwrap()
            assert [record.epoch for record in page.records] == [7, 7, 7]

    async def test_trim_drops_records(self, jumping_clock: MockClock) -> None:
        async with open_process() as process:
            await process.services.log.append(stream=STREAM, texts=list("abc"))
            await process.control.trim(stream=STREAM, before=Offset(2))
            read = await process.services.log.read(stream=STREAM, start=Offset(0))
            assert read.failure().reason is Reason.TRIMMED


class TestHosts:
    async def test_started_executor_serves_and_removed_one_does_not(
        self, jumping_clock: MockClock
    ) -> None:
        async with open_process() as process:
            host = ListedHost(
                host_id=HostId("executor-new"),
                kind=HostKind.UPSTREAM,
                data_centre=DataCentre("mapo"),
                slots=8,
                connections=64,
            )
            started = (await process.control.add_host(host)).unwrap()
            for is_up in (True, False):
                async with process.services.upstreams.call(
                    address=started.address, call=make_call(), body=one_chunk(b"x")
                ) as answer:
                    assert isinstance(answer, Success) is is_up
                    if is_up:
                        body = b"".join([chunk async for chunk in answer.unwrap().body])
                        verdict = check_echo(body, request_id="request-1", request_body=b"x")
                        assert verdict is EchoVerdict.OWN
                    else:
                        assert answer.failure().reason is Reason.UNREACHABLE
                await process.control.remove_host(host.host_id)
                await trio.sleep(2.0)
            listing = (await process.services.host_list.fetch()).unwrap()
            assert host.host_id not in listing.by_id

    async def test_entry_hosts_are_only_listed(self, jumping_clock: MockClock) -> None:
        async with open_process() as process:
            host = ListedHost(
                host_id=ENTRY,
                kind=HostKind.ENTRY,
                data_centre=DataCentre("mapo"),
                address="1.2.3.4:5",
            )
            assert (await process.control.add_host(host)).unwrap() == host
            await process.control.set_host_state(ENTRY, HostState.LEAVING)
            await trio.sleep(2.0)
            listing = (await process.services.host_list.fetch()).unwrap()
            assert listing.by_id[ENTRY].state is HostState.LEAVING

    async def test_executor_comes_back_on_its_port(self, jumping_clock: MockClock) -> None:
        async with open_process() as process:
            host = process.host(HostKind.UPSTREAM)
            for is_down in (False, True, False):
                faults = ExecutorFaults(unreachable=is_down)
                await process.control.set_executor_faults(host.host_id, faults)
                await trio.sleep(0.1)
                async with process.services.upstreams.call(
                    address=host.address, call=make_call(), body=one_chunk(b"x")
                ) as answer:
                    assert isinstance(answer, Failure) is is_down


class TestCuts:
    async def test_cut_caller_is_lost_and_others_are_not(self, jumping_clock: MockClock) -> None:
        async with open_process() as process:
            await process.control.set_cuts(Cut(caller=ENTRY, services=frozenset({Service.LOG})))
            appended = await process.services.log.append(stream=STREAM, texts=["a"])
            assert appended.failure().may_have_taken_effect
            assert isinstance(await process.services.host_list.fetch(), Success)
            await process.control.set_cuts()
            page = (await process.services.log.read(stream=STREAM, start=Offset(0))).unwrap()
            assert page.entries == ()

    async def test_cut_off_executor_runs_nothing(self, jumping_clock: MockClock) -> None:
        async with open_process() as process:
            await process.control.set_cuts(Cut(caller=ENTRY))
            async with process.services.upstreams.call(
                address=process.host(HostKind.UPSTREAM).address,
                call=make_call(),
                body=one_chunk(b"x"),
            ) as answer:
                assert answer.failure().may_have_taken_effect
            assert (await process.control.executions()).unwrap().records == ()

    async def test_answer_into_a_cut_is_lost_after_its_effect(
        self, jumping_clock: MockClock
    ) -> None:
        async with open_memory_harness() as harness:
            services = harness.model.services(caller=ENTRY)
            harness.model.workers.set_faults(harness.worker, WorkerFaults(delay_s=1.0))
            batch = make_batch(make_task(run_s=60), lease_until=harness.lease(30))
            async with trio.open_nursery() as nursery:

                async def cut() -> None:
                    await trio.sleep(0.5)
                    harness.model.cuts.replace([Cut(caller=ENTRY, services=ALL_SERVICES)])

                nursery.start_soon(cut)
                started = await services.workers.start(address=harness.worker, batch=batch)
            assert started.failure().may_have_taken_effect
            assert harness.model.workers.ledger.running() == 1


class TestBadClients:
    @pytest.mark.parametrize(
        "sent",
        [
            b"no http at all\r\n\r\n",
            b"POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\nab",
            b"POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n",
        ],
        ids=["garbage", "cut body", "no call headers"],
    )
    async def test_nothing_runs_for_them(self, sent: bytes, jumping_clock: MockClock) -> None:
        async with open_process() as process:
            host, _, port = process.host(HostKind.UPSTREAM).address.partition(":")
            stream = await trio.open_tcp_stream(host, int(port))
            async with stream:
                await stream.send_all(sent)
                await stream.send_eof()
                answer = b"".join([bytes(chunk) async for chunk in stream])
            assert not answer.startswith(b"HTTP/1.1 200")
            assert (await process.control.executions()).unwrap().records == ()

    @pytest.mark.parametrize(
        "query", ["start=x", "start=0&limit=0", "start=0&wait_s=nan", "start=0&wait_s=1e9"]
    )
    async def test_bad_reads_are_named(self, query: str, jumping_clock: MockClock) -> None:
        async with open_process() as process:
            client = HttpClient(clock=process.clock)
            answer = await client.request(
                method="GET",
                address=process.addresses.platform,
                path=f"/log/settings?{query}",
                timeout_s=5.0,
            )
            await client.aclose()
            assert answer.unwrap().status == 400

    async def test_pipelined_requests_are_answered_in_order(self, jumping_clock: MockClock) -> None:
        async with open_process() as process:
            host, _, port = process.addresses.platform.partition(":")
            stream = await trio.open_tcp_stream(host, int(port))
            request = b"GET /%s HTTP/1.1\r\nhost: a\r\n\r\n"
            async with stream:
                await stream.send_all(request % b"hosts" + request % b"nothing")
                await stream.send_eof()
                answers = b"".join([bytes(chunk) async for chunk in stream])
            assert answers.startswith(b"HTTP/1.1 200 OK\r\n")
            assert answers.count(b"HTTP/1.1 404 Not Found\r\n") == 1

    async def test_truncated_answer_breaks_the_stream(self, jumping_clock: MockClock) -> None:
        async with open_process() as process:
            host = process.host(HostKind.UPSTREAM)
            await process.control.set_executor_faults(host.host_id, ExecutorFaults(cut=1.0))
            async with process.services.upstreams.call(
                address=host.address, call=make_call(), body=one_chunk(b"x")
            ) as answer:
                with pytest.raises(UpstreamCutError):
                    [chunk async for chunk in answer.unwrap().body]
