"""The leader's work on hosts: polls their list, sends them orders, reports maintenance waves."""

from typing import Final

import trio
from returns.result import Failure

from galenastall.coordination.cell.host_orders import HostOrder, HostOutcome
from galenastall.node.cell.term_context import TermContext
from galenastall.protocol.cell.ports import HostsPort
from galenastall.state.errors import Reason, StepError

POLL_EVERY_S: Final = 0.5
"""Interval between two reads of the waves, and of the list of hosts while it is needed; a host is
down for 2 s, and reads of the list are charged for."""
RETRY_S: Final = 0.3
"""Pause before an order or a report to the operator is retried."""


class HostsDriver:
    """Follows hosts and maintenance waves during one term."""

    def __init__(self, *, context: TermContext, hosts: HostsPort, host_id: str) -> None:
        """Send orders as `host_id`, which leads in the term of `context`."""
        self._context = context
        self._hosts = hosts
        self._host_id = host_id
        self._is_list_lost = False
        self._sequence = 0

    async def run(self) -> None:
        """Follow until cancelled."""
        hosts = self._context.core.hosts
        while True:
            hosts.set_waves(self._hosts.waves(), wall=self._context.wall())
            if hosts.needs_host_list:
                await self._list()
            for number, is_completed in hosts.unreported_waves().items():
                await self._report_wave(number, is_completed=is_completed)
            await trio.sleep(POLL_EVERY_S)

    async def _list(self) -> None:
        answer = await self._hosts.list_hosts()
        if isinstance(answer, Failure):
            if not self._is_list_lost:
                self._context.note("hosts.lost", cause=str(answer.failure()))
            self._is_list_lost = True
            return
        self._is_list_lost = False
        self._context.core.hosts.set_hosts(answer.unwrap(), wall=self._context.wall())
        self._context.wake()

    async def _report_wave(self, number: int, *, is_completed: bool) -> None:
        """Report a wave's state to the operator once it is durable."""
        await self._context.committed.wait()
        self._sequence += 1
        while True:
            answer = await self._hosts.report_wave(
                number,
                is_completed=is_completed,
                token=self._context.token,
                sequence=self._sequence,
            )
            if not isinstance(answer, Failure):
                self._context.core.hosts.on_wave_reported(number, is_completed=is_completed)
                return
            self._end_term_if_fenced(answer.failure())
            await trio.sleep(RETRY_S)

    async def send(self, order: HostOrder) -> None:
        """Send an order, and retry it until its outcome is known."""
        context = self._context
        is_wanted = True
        while is_wanted:
            answer = await self._hosts.order(order, holder=self._host_id, token=context.token)
            outcome = HostOutcome.UNKNOWN
            if isinstance(answer, Failure):
                self._end_term_if_fenced(answer.failure())
                cause = str(answer.failure())
                context.note("host.order_failed", order.host, cause=cause)
            else:
                outcome = answer.unwrap()
            is_wanted = context.core.hosts.on_order(order, outcome, wall=context.wall())
            context.wake()
            if is_wanted:
                await trio.sleep(RETRY_S)

    def _end_term_if_fenced(self, error: StepError) -> None:
        if error.reason is Reason.CONFLICT:
            self._context.lose(str(error))
