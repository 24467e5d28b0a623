"""Registry of the orders in which waiting tasks are tried."""

from collections.abc import Iterator
from typing import Final

from galenastall.coordination.placement.team_queue import TeamQueue
from galenastall.coordination.placement.waiting import Waiting
from galenastall.state.ids import JobId
from galenastall.state.registry import Registry

QUEUE_ORDERS: Final[Registry[type[TeamQueue]]] = Registry(kind="queue order")
QUEUE_ORDERS.register("fair")(TeamQueue)


@QUEUE_ORDERS.register("fifo")
class ArrivalQueue(TeamQueue):
    """The waiting tasks, tried in order of arrival; a baseline, linear in tasks."""

    def scan(self, now: float) -> Iterator[Waiting]:
        """Yield tasks in order of arrival; skip the rest of a job once one was not placed."""
        blocked: set[JobId] = set()
        for waiting in self.by_arrival():
            if waiting.task.job_id in blocked:
                continue
            yield waiting
            if waiting.lane is not None:
                blocked.add(waiting.task.job_id)
