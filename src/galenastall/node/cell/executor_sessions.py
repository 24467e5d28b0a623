"""The leader's sessions with executors: one per executor, opened when the executor is listed."""

from collections.abc import Iterable

import trio

from galenastall.coordination.cell.commands import StartOrder
from galenastall.node.cell.executor_session import ExecutorSession
from galenastall.node.cell.term_context import TermContext


class ExecutorSessions:
    """Opens sessions for the executors in a term's table, and passes orders to them."""

    def __init__(self, *, context: TermContext, nursery: trio.Nursery) -> None:
        """Run sessions and orders in `nursery`."""
        self._context = context
        self._nursery = nursery
        self._by_id: dict[str, ExecutorSession] = {}
        self._opened_version = -1
        """Version of the table of executors when sessions were last opened."""

    def open(self) -> None:
        """Open sessions for executors new in the table; those of removed ones end on their own."""
        core = self._context.core
        if self._opened_version == core.executors_version:
            return
        self._opened_version = core.executors_version
        for gone in self._by_id.keys() - core.executors_by_id.keys():
            del self._by_id[gone]
        for executor_id, executor in core.executors_by_id.items():
            if executor_id not in self._by_id:
                session = ExecutorSession(context=self._context, executor=executor)
                self._by_id[executor_id] = session
                self._nursery.start_soon(session.run)

    def start(self, orders: Iterable[StartOrder]) -> None:
        """Send starts."""
        for order in orders:
            session = self._by_id.get(order.executor_id)
            if session is not None:
                self._nursery.start_soon(session.start, order)

    def send_orders(self) -> None:
        """Send the last decision's stops and throttling rates, and fetch the listings it needs."""
        core = self._context.core
        for stop in core.take_stops():
            session = self._by_id.get(stop.executor_id)
            if session is not None:
                self._nursery.start_soon(session.stop, stop)
        for order in core.take_throttle_orders():
            session = self._by_id.get(order.executor_id)
            if session is not None:
                self._nursery.start_soon(session.throttle, order)
        for executor_id in core.take_newly_polled():
            session = self._by_id.get(executor_id)
            if session is not None:
                session.wake()
        for executor_id in core.take_listing_requests():
            session = self._by_id.get(executor_id)
            if session is not None:
                self._nursery.start_soon(session.poll_now)
