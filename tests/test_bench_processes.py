import subprocess
import sys
from pathlib import Path

import pytest
import trio

from galenastall.bench.processes import Managed, ProcessError, reserve_ports, running_driver

SERVE = (sys.executable, "-m", "http.server", "--bind", "127.0.0.1")
WAIT = (sys.executable, "-c", "import time; time.sleep(600)")


class TestDriver:
    async def test_stops_all_that_it_started_also_paused_ones(self, tmp_path: Path) -> None:
        async with running_driver(tmp_path) as driver:
            first = await driver.start(name="first", command=WAIT)
            second = await driver.start(name="second", command=WAIT)
            driver.pause("second")
        assert not first.is_running
        assert not second.is_running

    async def test_stops_them_when_the_experiment_fails(self, tmp_path: Path) -> None:
        started: list[Managed] = []

        async def experiment() -> None:
            async with running_driver(tmp_path) as driver:
                started.append(await driver.start(name="one", command=WAIT))
                raise RuntimeError("experiment")

        with pytest.raises(RuntimeError, match="experiment"):
            await experiment()
        assert [each.is_running for each in started] == [False]

    async def test_waits_for_readiness_and_reads_usage(self, tmp_path: Path) -> None:
        (port,) = reserve_ports(1)
        async with running_driver(tmp_path) as driver:
            await driver.start(name="web", command=(*SERVE, str(port)))
            await driver.wait_ready(name="web", url=f"http://127.0.0.1:{port}/", timeout_s=30.0)
            usage = driver.usage("web")
        assert usage.cpu_s > 0
        assert 1 < usage.rss_mb <= usage.peak_rss_mb

    async def test_a_process_that_ends_early_is_reported_with_its_output(
        self, tmp_path: Path
    ) -> None:
        command = (sys.executable, "-c", "raise SystemExit('no settings')")
        async with running_driver(tmp_path) as driver:
            await driver.start(name="bad", command=command)
            with pytest.raises(ProcessError, match="ended with 1; log ends: no settings"):
                await driver.wait_ready(name="bad", url="http://127.0.0.1:9/", timeout_s=30.0)

    async def test_signals_reach_only_running_processes_of_its_own(self, tmp_path: Path) -> None:
        async with running_driver(tmp_path) as driver:
            await driver.start(name="one", command=WAIT)
            driver.kill("one")
            assert await driver.wait_ended(name="one", timeout_s=30.0) == -9
            with pytest.raises(ProcessError, match="one: does not run"):
                driver.terminate("one")
            with pytest.raises(ProcessError, match="other: does not run"):
                driver.kill("other")

    async def test_a_name_can_be_started_again_only_after_its_end(self, tmp_path: Path) -> None:
        async with running_driver(tmp_path) as driver:
            await driver.start(name="one", command=WAIT)
            with pytest.raises(ProcessError, match="already running"):
                await driver.start(name="one", command=WAIT)
            driver.kill("one")
            await driver.wait_ended(name="one", timeout_s=30.0)
            again = await driver.start(name="one", command=WAIT)
            assert again.is_running

    async def test_cancelling_stops_them_too(self, tmp_path: Path) -> None:
        with trio.CancelScope() as scope:
            async with running_driver(tmp_path) as driver:
                managed = await driver.start(name="one", command=WAIT)
                scope.cancel()
                await trio.sleep_forever()
        assert not managed.is_running

    async def test_a_terminated_driver_leaves_nothing_running(self, tmp_path: Path) -> None:
        program = (
            "import sys, trio\n"
            "from pathlib import Path\n"
            "from galenastall.bench.processes import running_driver\n"
            "async def main():\n"
            f"    async with running_driver(Path({str(tmp_path)!r})) as driver:\n"
            f"        managed = await driver.start(name='one', command={WAIT!r})\n"
            "        print(managed.pid, flush=True)\n"
            "        await trio.sleep_forever()\n"
            "trio.run(main)\n"
        )
        process = await trio.lowlevel.open_process(
            [sys.executable, "-c", program], stdout=subprocess.PIPE, stderr=subprocess.DEVNULL
        )
        assert process.stdout is not None
        pid = int(await process.stdout.receive_some())
        process.terminate()
        assert await process.wait() != 0
        assert not await trio.Path(f"/proc/{pid}").exists()
