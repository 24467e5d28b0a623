"""One executor of several that answers odd bytes, or whose calls raise, costs that executor."""

from collections import Counter
from collections.abc import Callable
from random import Random
from typing import Any

import msgspec
import pytest
import trio
from returns.result import Failure, Result, Success

from cell.cluster import Cluster
from cell.scenarios import check_all_end, run_scenario, submit_jobs
from cell.simulation import HostView, Simulation
from galenastall.coordination.cell.commands import StartOrder, StopOrder, ThrottleOrder
from galenastall.node.cell.contained_executors import STEP, ContainedExecutors
from galenastall.platform.executors import PlatformExecutors
from galenastall.platform.names import task_name
from galenastall.protocol.cell.executor_port import ListingAnswer
from galenastall.state.cell.executor_ids import executor_name
from galenastall.state.cell.jobs import TaskKey
from galenastall.state.cell.phases import JobPhase
from galenastall.state.errors import Reason, StepError
from galenastall.state.timeline_ring import TimelineRing
from galenastall.transport.clock import TrioClock
from galenastall.transport.http_client import BufferedResponse
from galenastall.transport.log_budget import BudgetedRecorder, LineBudget
from galenastall.transport.logs import Recorder
from galenastall.transport.metrics import Metrics

TASK = TaskKey("00000000000000ab", 0, 0, 0)


def one_row_too_short(listing: dict[str, Any]) -> bytes:
    listing["running"].append(["00000000000000ab.0.0.0", 1])
    return msgspec.json.encode(listing)


def a_word_as_run(listing: dict[str, Any]) -> bytes:
    listing["running"].append(["00000000000000ab.0.0.0", "many", "", 5])
    return msgspec.json.encode(listing)


def a_clock_of_4400_digits(listing: dict[str, Any]) -> bytes:
    body = msgspec.json.encode({**listing, "clockMs": 0})
    return body.replace(b'"clockMs":0', b'"clockMs":' + b"9" * 4_400)


def a_deep_nesting(listing: dict[str, Any]) -> bytes:
    return b'{"clockMs":5,"x":' + b"[" * 100_000 + b"]" * 100_000 + b"}"


def an_error(listing: dict[str, Any]) -> bytes:
    raise LookupError("an error that nobody expects")


class Calls:
    """Answers each call with the same body."""

    def __init__(self, body: bytes) -> None:
        self._body = body

    async def post_json(self, **_: Any) -> Result[BufferedResponse, StepError]:
        return Success(BufferedResponse(status=200, headers={}, body=self._body))


def to_wire(answer: ListingAnswer) -> dict[str, Any]:
    listing = answer.listing
    assert listing is not None
    return {
        "clockMs": listing.clock_ms,
        "running": [[task_name(r.task), r.run, r.saved, r.percent] for r in listing.running],
        "finished": [
            [e.position, task_name(e.task), e.run, e.end.value, e.saved] for e in listing.ended
        ],
    }


class OddAnswers:
    """Executors by name whose calls are carried out, with a change of what they answer."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.change_by_name: dict[str, Callable[[dict[str, Any]], bytes]] = {}
        self.starts: Counter[str] = Counter()
        renew, start, stop = HostView.renew, HostView.start, HostView.stop

        async def odd_renew(view: HostView, **call: Any) -> Result[ListingAnswer, StepError]:
            answer = await renew(view, **call)
            change = self.change_by_name.get(executor_name(call["executor_id"]))
            if change is None or isinstance(answer, Failure) or answer.unwrap().listing is None:
                return answer
            calls: Any = Calls(change(to_wire(answer.unwrap())))
            return await PlatformExecutors(calls=calls).renew(**call)

        async def odd_order(act: Any, view: HostView, **call: Any) -> Any:
            name = executor_name(call["order"].executor_id)
            answer = await act(view, **call)
            if self.change_by_name.get(name) is an_error:
                an_error({})
            return answer

        async def odd_start(view: HostView, **call: Any) -> Any:
            self.starts[executor_name(call["order"].executor_id)] += 1
            return await odd_order(start, view, **call)

        async def odd_stop(view: HostView, **call: Any) -> Any:
            return await odd_order(stop, view, **call)

        monkeypatch.setattr(HostView, "renew", odd_renew)
        monkeypatch.setattr(HostView, "start", odd_start)
        monkeypatch.setattr(HostView, "stop", odd_stop)


@pytest.fixture
def odd(monkeypatch: pytest.MonkeyPatch) -> OddAnswers:
    return OddAnswers(monkeypatch)


def busiest(simulation: Simulation) -> str:
    return max(simulation.executors, key=lambda name: len(simulation.executors[name].runs))


def causes(cluster: Cluster, step: str) -> list[str]:
    rings = [recorder.ring for recorder in cluster.all_recorders]
    return [event.cause for ring in rings for event in ring if event.step == step]


class TestOneOddExecutor:
    @pytest.mark.parametrize(
        ("change", "cause"),
        [
            (one_row_too_short, "running["),
            (a_word_as_run, "].run`"),
            (a_clock_of_4400_digits, "clockMs"),
            (a_deep_nesting, "recursion"),
            (an_error, "LookupError"),
        ],
    )
    async def test_the_others_go_on_and_it_gets_work_again(
        self, autojump_clock: object, odd: OddAnswers, change: Any, cause: str
    ) -> None:
        """Each such answer ended the leader, and the next leader with the next answer."""

        async def scenario(cluster: Cluster, simulation: Simulation, rng: Random) -> None:
            simulation.fail_share, simulation.run_lasts_s = 0.0, (2.0, 14.0)
            leader = await cluster.wait_for_leader()
            await submit_jobs(cluster, simulation, rng, 12, 0.1)
            name = busiest(simulation)
            runs = set(simulation.executors[name].runs)
            assert runs
            odd.change_by_name[name] = change
            await trio.sleep(2.5)
            starts = odd.starts[name]
            await submit_jobs(cluster, simulation, rng, 8, 0.1, first=100)
            await check_all_end(cluster)
            assert odd.starts[name] == starts, "it gets no work while it can't be read"
            assert not simulation.executors[name].runs
            assert any(len(simulation.starts_of[task]) == 2 for task in runs), "ran elsewhere"
            assert any(cause in text for text in causes(cluster, "executor.lost"))
            odd.change_by_name.clear()
            await trio.sleep(1.0)
            await submit_jobs(cluster, simulation, rng, 20, 0.05, first=200)
            await check_all_end(cluster)
            assert odd.starts[name] > starts, "it gets work again"
            assert cluster.leader == leader
            assert {await cluster.phase(job) for job in cluster.accepted} == {JobPhase.COMPLETED}
            assert len(cluster.accepted) == 40

        await run_scenario(scenario, seed=3)

    async def test_an_end_in_an_odd_answer_is_listed_again(
        self, autojump_clock: object, odd: OddAnswers
    ) -> None:
        async def scenario(cluster: Cluster, simulation: Simulation, rng: Random) -> None:
            simulation.fail_share, simulation.run_lasts_s = 0.0, (1.0, 1.5)
            await cluster.wait_for_leader()
            await submit_jobs(cluster, simulation, rng, 6, 0.05)
            for name in simulation.executors:
                odd.change_by_name[name] = one_row_too_short
            await trio.sleep(3.0)
            assert any(executor.ended for executor in simulation.executors.values())
            odd.change_by_name.clear()
            await check_all_end(cluster)
            starts = {len(times) for times in simulation.starts_of.values()}
            assert starts == {1}, "no end was lost, and nothing started again"

        await run_scenario(scenario, seed=5)


class Raising:
    """An executor port whose calls raise."""

    async def renew(self, **_: Any) -> Any:
        raise UnicodeEncodeError("latin-1", "\uc810", 0, 1, "no such character")

    async def start(self, **_: Any) -> Any:
        raise KeyError("odd")

    async def stop(self, **_: Any) -> Any:
        raise ExceptionGroup("both", [ValueError("one"), TypeError("two")])

    async def throttle(self, **_: Any) -> Any:
        raise RecursionError("deep")


class Lines:
    """Counts log lines that name the step."""

    def __init__(self) -> None:
        self.lines: list[dict[str, Any]] = []

    def write(self, data: bytes, /) -> int:
        self.lines.append(msgspec.json.decode(data))
        return len(data)

    def flush(self) -> None:
        """Do nothing: lines are kept in memory."""


class TestContainment:
    def make(self) -> tuple[ContainedExecutors, Lines, Metrics]:
        clock, metrics, lines = TrioClock(), Metrics(), Lines()
        recorder = BudgetedRecorder(
            budget=LineBudget(clock=clock),
            metrics=metrics,
            process="p",
            clock=clock,
            ring=TimelineRing(capacity=100),
            stream=lines,
        )
        raising: Any = Raising()
        return ContainedExecutors(executors=raising, recorder=recorder), lines, metrics

    async def renew(self, port: ContainedExecutors, executor_id: str) -> Any:
        return await port.renew(
            address="e:1",
            executor_id=executor_id,
            deadline_ms=None,
            noted=0,
            wait_s=0.0,
            token=1,
            timeout_s=1.0,
        )

    async def test_each_call_may_have_been_carried_out(self) -> None:
        port, lines, _ = self.make()
        start = StartOrder(task=TASK, run=1, executor_id="e", payload="")
        stop = StopOrder(task=TASK, run=1, executor_id="e")
        pace = ThrottleOrder(task=TASK, run=1, executor_id="e", percent=50)
        answers = [
            await self.renew(port, "e"),
            await port.start(address="e:1", order=start, deadline_ms=1, token=1, timeout_s=1.0),
            await port.stop(address="e:1", order=stop, token=1, timeout_s=1.0),
            await port.throttle(address="e:1", order=pace, token=1, timeout_s=1.0),
        ]
        assert {answer.failure().reason for answer in answers} == {Reason.CUT}
        assert [line["subjects"] for line in lines.lines] == [["e"]] * 5, "both errors of a group"
        assert all("test_odd_executors" not in line["place"] for line in lines.lines)

    async def test_one_line_is_written_when_it_begins_and_each_is_counted(self) -> None:
        port, lines, metrics = self.make()
        for executor_id in ("e", "f"):
            for _ in range(400):
                await self.renew(port, executor_id)
        assert [line["subjects"] for line in lines.lines] == [["e"], ["f"]]
        assert f'galenastall_events_total{{kind="{STEP}"}} 800.0' in (await metrics.page()).decode()

    async def test_cancellation_is_not_contained(self, autojump_clock: object) -> None:
        class Silent(Raising):
            async def renew(self, **_: Any) -> Any:
                await trio.sleep_forever()

        silent: Any = Silent()
        recorder = Recorder(process="p", clock=TrioClock(), ring=TimelineRing(capacity=10))
        port = ContainedExecutors(executors=silent, recorder=recorder)
        with trio.move_on_after(1.0) as scope:
            await self.renew(port, "e")
        assert scope.cancelled_caught
