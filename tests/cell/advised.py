"""Test harness for jobs that need advice, and the answers of a simulated advisor."""

from dataclasses import replace

from cell.rig import JOB, QUEUE, Harness, make_info, make_job, make_step
from galenastall.coordination.cell.advice import Approval
from galenastall.coordination.cell.commands import AdviceRequest, StartOrder
from galenastall.coordination.cell.listings import ListedRun
from galenastall.state.cell.jobs import AdvisorTiming, Step

TIMING = AdvisorTiming(base_s=0.9, per_executor_s=0.008, validity_s=2.5)
ADVISED = replace(QUEUE, name="advised", advisor=TIMING)
FULL = 3600
"""Thousandths of a core that leave no capacity for another task on an executor with 4 cores."""


class AdvisedHarness(Harness):
    """A core whose jobs need advice, and an advisor that approves executors by id."""

    def __init__(self, *, executors: int, hosts: int) -> None:
        super().__init__(*(make_info(f"e{number:03}") for number in range(executors)))
        self.core.set_queues([QUEUE, ADVISED])
        self.core.set_advice_calls_at_once(hosts)

    def hand_in(self, step: Step, job_id: str = JOB) -> None:
        self.submit(make_job(step, job_id=job_id, queue=ADVISED))

    def fill(self, count: int, *, estimate_s: float) -> list[StartOrder]:
        """Run a large task on each of the first executors."""
        orders: list[StartOrder] = []
        for number in range(count):
            step = make_step(1, cores=FULL, estimate_s=estimate_s)
            self.submit(make_job(step, job_id=f"{number:016x}"))
            orders += self.step()
        self.confirm_starts(orders)
        return orders

    def asks(self) -> list[AdviceRequest]:
        self.core.decide(now=self.now, wall=self.wall)
        return self.core.take_advice_requests()

    def answer(self, request: AdviceRequest, approved: set[str] | None = None) -> None:
        named = [e for e in request.executor_ids if approved is None or e in approved]
        answer = tuple(Approval(executor_id=e, ticket=f"t-{e}") for e in named)
        self.core.on_advice(request, answer, validity_s=TIMING.validity_s, now=self.now)

    def advance(self, seconds: float) -> None:
        """Advance the clock; all executors answer, and their runs progress by a tenth each
        second."""
        self.now += seconds
        for executor in list(self.core.executors_by_id.values()):
            percent = min(99, int(10 * (self.now - 100.0)))
            running = tuple(
                ListedRun(task=task, run=run, percent=percent)
                for task, run in executor.runs_by_task.items()
            )
            self.listing(executor.executor_id, running)
