from collections.abc import Mapping

import pytest
import trio
from trio.testing import MockClock

from galenastall.bench.schedule import FAULTS, FaultContext, FaultSchedule, ScheduledFault
from galenastall.proof.history import FOR_EVER, Fault, HistoryRecorder
from galenastall.standin.cuts import Cut
from galenastall.state.errors import UnknownNameError
from galenastall.transport.clock import TrioClock


class Doings:
    """Stands for the driver and the stand-in; keeps what was done to whom and when."""

    def __init__(self) -> None:
        self.done: list[tuple[float, str]] = []

    def note(self, what: str) -> None:
        self.done.append((round(trio.current_time() - self.began, 3), what))

    def start(self) -> None:
        self.began = trio.current_time()

    def kill(self, name: str) -> None:
        self.note(f"kill {name}")

    def terminate(self, name: str) -> None:
        self.note(f"terminate {name}")

    def pause(self, name: str) -> None:
        self.note(f"pause {name}")

    def resume(self, name: str) -> None:
        self.note(f"resume {name}")

    async def wait_ended(self, *, name: str, timeout_s: float) -> int:
        return 0

    async def restart(self, name: str) -> None:
        self.note(f"restart {name}")

    async def change_faults(self, target: str, changes: Mapping[str, object]) -> None:
        self.note(f"{target} {dict(changes)}")

    async def set_cuts(self, *cuts: Cut) -> None:
        self.note(f"cut {[cut.caller for cut in cuts]}")


async def run(*faults: ScheduledFault) -> tuple[list[tuple[float, str]], list[Fault]]:
    doings, recorder = Doings(), HistoryRecorder()
    schedule = FaultSchedule(
        faults=faults,
        context=FaultContext(driver=doings, standin=doings, restart=doings.restart),
        recorder=recorder,
        clock=TrioClock(wall_at_start=1000.0),
    )
    doings.start()
    await schedule.run()
    return doings.done, list(recorder.history().of(Fault))


class TestFaultSchedule:
    async def test_overlapping_faults_come_at_their_times(self, autojump_clock: MockClock) -> None:
        done, faults = await run(
            ScheduledFault(after_s=5, kind="pause", target="a", lasts_s=20),
            ScheduledFault(after_s=10, kind="log-outage", target="log", lasts_s=5),
        )
        assert done == [
            (5, "pause a"),
            (10, "log {'outage': True}"),
            (15, "log {'outage': False}"),
            (25, "resume a"),
        ]
        assert [(fault.host, fault.at, fault.until) for fault in faults] == [
            ("a", 1005, 1025),
            ("log", 1010, 1015),
        ]

    async def test_a_kill_without_restart_lasts_for_ever(self, autojump_clock: MockClock) -> None:
        done, faults = await run(ScheduledFault(after_s=1, kind="kill", target="a"))
        assert done == [(1, "kill a")]
        assert faults[0].until == FOR_EVER

    @pytest.mark.parametrize(
        ("kind", "expected"),
        [
            ("kill", ["kill a,b", "restart a,b"]),
            ("restart", ["terminate a,b", "restart a,b"]),
            ("cut", ["cut ['a', 'b']", "cut []"]),
            (
                "lost-start-answers",
                ["workers/a,b {'drop_after': 0.33}", "workers/a,b {'drop_after': 0.0}"],
            ),
        ],
    )
    async def test_each_fault_undoes_its_harm(
        self, kind: str, expected: list[str], autojump_clock: MockClock
    ) -> None:
        done, _ = await run(ScheduledFault(after_s=0, kind=kind, target="a,b", lasts_s=2))
        assert [what for _, what in done] == expected

    async def test_an_unknown_fault_is_refused_before_anything_runs(self) -> None:
        with pytest.raises(UnknownNameError, match=f"allowed: {', '.join(FAULTS.names())}"):
            await run(ScheduledFault(after_s=0, kind="flood", target="a"))
