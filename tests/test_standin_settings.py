"""Settings of the stand-in and its process."""

import signal
from functools import partial
from pathlib import Path

import pytest
import trio

from galenastall.standin.process import build_server, serve_standin
from galenastall.standin.server import StandinAddresses
from galenastall.standin.settings import StandinSettings, load_standin_settings
from galenastall.state.hosts import HostKind
from galenastall.state.resources import Resources
from galenastall.transport.clock import TrioClock

EXAMPLE = Path(__file__).parent.parent / "examples" / "standin-demo.yaml"


class TestSettings:
    async def test_example_has_the_sizes_of_dongmun(self) -> None:
        settings = load_standin_settings(EXAMPLE).unwrap()
        server = build_server(settings=settings, clock=TrioClock())
        async with trio.open_nursery() as nursery:
            addresses = await nursery.start(server.run)
            nursery.cancel_scope.cancel()
        workers = [host for host in addresses.hosts if host.kind is HostKind.WORKER]
        executors = [host for host in addresses.hosts if host.kind is HostKind.UPSTREAM]
        assert len(workers) == len(executors) == 24
        assert {host.data_centre for host in workers} == {"gangnam", "mapo", "seongsu"}
        assert {host.capacity for host in workers} == {
            Resources(cores_milli=64_000, memory_mb=131_072)
        }
        racks = [host.rack for host in workers]
        assert {racks.count(rack) for rack in racks} == {8}
        assert {(host.slots, host.connections) for host in executors} == {(8, 64)}
        faults = server.model.executors.by_address[executors[0].address].faults
        assert faults.service.distribution == "lognormal"
        assert server.model.log.faults.appends_per_s == 300.0

    @pytest.mark.parametrize(
        ("text", "expected"),
        [
            ("data_centres: [a]\nworkers: {cout: 3}", "workers.cout"),
            ("data_centres: []", "data_centres"),
            ("data_centres: [a]\nlog: {appends_per_second: 0}", "log.appends_per_second"),
            ("data_centres: [a]\nbind: localhost:1", "bind"),
            ("data_centres: [a]\nexecutors: {service_time: {distribution: x}}", "lognormal"),
        ],
    )
    def test_bad_settings_are_named(self, text: str, expected: str, tmp_path: Path) -> None:
        path = tmp_path / "standin.yaml"
        path.write_text(text)
        problems = str(load_standin_settings(path).failure())
        assert expected in problems
        assert str(path) in problems


class TestProcess:
    async def test_stops_on_sigterm(self) -> None:
        settings = StandinSettings(data_centres=("mapo",))
        ready: list[StandinAddresses] = []

        def stop(addresses: StandinAddresses) -> None:
            ready.append(addresses)
            signal.raise_signal(signal.SIGTERM)

        with trio.fail_after(30):
            await partial(serve_standin, settings=settings, on_ready=stop)()
        assert ready[0].platform.startswith("127.0.0.1:")
