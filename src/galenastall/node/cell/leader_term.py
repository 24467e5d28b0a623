"""One leader term, from the claim until the leadership is lost or given up."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import partial
from math import inf
from typing import Final

import trio
from returns.result import Failure

from galenastall.coordination.cell.executors import ExecutorInfo
from galenastall.coordination.cell.mechanisms import ALL_ON, DisabledMechanisms, Mechanism
from galenastall.coordination.cell.scheduler import CellScheduler
from galenastall.coordination.cell.timings import CellTimings
from galenastall.node.cell.advice_dispatcher import AdviceDispatcher
from galenastall.node.cell.advice_recovery import AdviceRecovery
from galenastall.node.cell.commit_loop import CommitLoop
from galenastall.node.cell.contained_executors import ContainedExecutors
from galenastall.node.cell.executor_sessions import ExecutorSessions
from galenastall.node.cell.fleet_follower import FleetFollower
from galenastall.node.cell.hosts_driver import HostsDriver
from galenastall.node.cell.state_loader import StateLoader
from galenastall.node.cell.term_context import TermContext
from galenastall.protocol.cell.config import CellConfig
from galenastall.protocol.cell.executor_port import ExecutorPort
from galenastall.protocol.cell.ports import FleetPort, HostsPort, StatePort
from galenastall.protocol.clock import Clock
from galenastall.protocol.peers import PeerLink
from galenastall.state.cell.rows import decode_rows
from galenastall.state.ids import HostId
from galenastall.transport.logs import Recorder

DECIDE_EVERY_S: Final = 0.004
"""Minimum time between two decisions, so that events that arrive together share one."""
DECIDE_PAUSE_FACTOR: Final = 3.0
"""A decision is followed by a pause of this many times its duration, so that deciding takes at most
a quarter of the leader's time and polls and appends can proceed."""
DECIDE_AT_LEAST_EVERY_S: Final = 0.1
"""Longest time between two decisions: leases expire and occurrences come due without an event."""
LIST_WITHIN_S: Final = 0.5
"""How long starts wait for the list of executors after an outage: it can still be unavailable when
appends succeed again; a read takes 7 ms."""
REPORT_EVERY_S: Final = 1.0
SLOW_APPEND_S: Final = 0.1
"""Appends above this count as slow: a normal one takes 7 ms, and with a slow store a takeover takes
more than a second."""


@dataclass(frozen=True, kw_only=True, slots=True)
class TermParts:
    """Dependencies of a term, shared by all terms of a process."""

    state: StatePort
    fleet: FleetPort
    hosts: HostsPort
    host_id: HostId
    executors: ExecutorPort
    link: PeerLink
    clock: Clock
    recorder: Recorder
    timings: CellTimings
    config: Callable[[], CellConfig | None]
    refresh_config: Callable[[], Awaitable[None]]
    """Fetches a newer version of `config`, if there is one."""
    available_hosts: Callable[[], tuple[HostId, ...]]
    """Entry hosts through which the advisor can be called."""
    lag_s: Callable[[], float]
    """Average lag of this process's event loop in seconds."""
    link_bytes_per_s: float = inf
    """What this host's network link carries."""
    without: DisabledMechanisms = ALL_ON


class LeaderTerm:
    """Leads under one token until the term is lost or given up."""

    def __init__(self, *, parts: TermParts, token: int, claimed_at: float) -> None:
        """Prepare the term of `token`, whose claim was sent at `claimed_at`."""
        self._parts = parts
        self.token = token
        self.core = CellScheduler(
            timings=parts.timings, fenced_at=trio.current_time(), without=parts.without
        )
        self.context = TermContext(
            core=self.core,
            token=token,
            confirmed_at=claimed_at,
            executors=ContainedExecutors(executors=parts.executors, recorder=parts.recorder),
            clock=parts.clock,
            recorder=parts.recorder,
            on_lost=self._on_lost,
            link_bytes_per_s=parts.link_bytes_per_s,
        )
        self._fleet = FleetFollower(context=self.context, fleet=parts.fleet)
        self._commits = CommitLoop(
            context=self.context,
            state=parts.state,
            timings=parts.timings,
            refresh_inputs=self._refresh_inputs,
        )
        self._hosts = HostsDriver(context=self.context, hosts=parts.hosts, host_id=parts.host_id)
        self._scope = trio.CancelScope()
        self._config_version = -1
        self.ready = trio.Event()
        """Set once the stored state has been loaded."""
        self.loss = ""
        """Why the term has ended; empty while it lasts."""

    @property
    def confirm_age_s(self) -> float:
        """Seconds since the last call that the store confirmed was sent."""
        return trio.current_time() - self.context.confirmed_at

    @property
    def store_outage_s(self) -> float:
        """For how long appends have failed; 0 while they succeed."""
        since = self._commits.failing_since
        return 0.0 if since is None else trio.current_time() - since

    @property
    def store_refuses_s(self) -> float:
        """For how long the store has refused appends; 0 while they succeed."""
        since = self._commits.refused_since
        return 0.0 if since is None else trio.current_time() - since

    @property
    def last_append_s(self) -> float:
        """Duration of the last answered append."""
        return self._commits.last_append_s

    @property
    def is_store_slow(self) -> bool:
        """Whether the store is slow, so that a takeover would be slow as well."""
        confirm_is_late = self.confirm_age_s > self._parts.timings.confirm_every_s + SLOW_APPEND_S
        return confirm_is_late or self._commits.last_append_s > SLOW_APPEND_S

    def give_up(self, cause: str) -> None:
        """End the term."""
        self._on_lost(cause)

    def _on_lost(self, cause: str) -> None:
        if not self.loss:
            self.loss = cause
            self.context.note("leader.lost", cause=cause, token=str(self.token))
            self.context.notify_committed()
        self._scope.cancel()

    async def run(self) -> None:
        """Fence earlier terms, load the state and lead; returns when the term has ended."""
        with self._scope:
            if await self._fence():
                async with trio.open_nursery() as nursery:
                    # Commits run while the state loads, so that the other hosts see that this
                    # leader is alive. Without that, seven hosts claimed in turn, each while the
                    # one before was still loading, for 15 s in all.
                    sessions = ExecutorSessions(context=self.context, nursery=nursery)
                    nursery.start_soon(self._commits.run, sessions.start)
                    if not await self._load():
                        return
                    self.ready.set()
                    nursery.start_soon(self._fleet.run, partial(self._apply_list, sessions))
                    dispatcher = AdviceDispatcher(
                        context=self.context,
                        link=self._parts.link,
                        available_hosts=self._parts.available_hosts,
                        nursery=nursery,
                    )
                    nursery.start_soon(self._hosts.run)
                    recovery = AdviceRecovery(
                        context=self.context,
                        link=self._parts.link,
                        dispatcher=dispatcher,
                        available_hosts=self._parts.available_hosts,
                    )
                    if Mechanism.KEPT_ADVICE not in self._parts.without:
                        await nursery.start(recovery.run)
                    nursery.start_soon(self._decide_forever, nursery, sessions, dispatcher)
                    nursery.start_soon(self._report_forever)
        if not self.loss:
            self._on_lost("cancelled")

    async def _fence(self) -> bool:
        sent_at = trio.current_time()
        answer = await self._parts.state.fence(token=self.token)
        if isinstance(answer, Failure):
            self._on_lost(f"fence: {answer.failure()}")
            return False
        self.context.confirmed_at = sent_at
        self.core.on_fenced(now=trio.current_time())
        return True

    async def _load(self) -> bool:
        """Read the stored state; False on a time-out, after which another host should lead."""
        begun_at = trio.current_time()
        timeout_s = self._parts.timings.load_page_timeout_s
        answer = await StateLoader(state=self._parts.state, page_timeout_s=timeout_s).load()
        if isinstance(answer, Failure):
            self._on_lost(f"load: {answer.failure()}")
            return False
        self._restore(answer.unwrap(), took_s=trio.current_time() - begun_at)
        return True

    def _restore(self, values_by_key: dict[str, bytes], *, took_s: float) -> None:
        rows = decode_rows(self._commits.records.join(values_by_key))
        self._apply_config()
        self.core.restore(rows, wall=self.context.wall())
        self.context.note(
            "leader.loaded",
            token=str(self.token),
            jobs=str(len(rows.jobs_by_id)),
            rows=str(len(rows.progress_by_id)),
            bytes=str(sum(map(len, values_by_key.values()))),
            took_ms=f"{took_s * 1000:.0f}",
        )

    def _apply_list(self, sessions: ExecutorSessions, infos: tuple[ExecutorInfo, ...]) -> None:
        self._apply_config()
        self.core.on_fleet(infos, now=trio.current_time())
        sessions.open()
        self.context.wake()

    async def _decide_forever(
        self, nursery: trio.Nursery, sessions: ExecutorSessions, dispatcher: AdviceDispatcher
    ) -> None:
        while True:
            with trio.move_on_after(DECIDE_AT_LEAST_EVERY_S):
                await self.context.changed.wait()
            self.context.changed = trio.Event()
            begun_at = trio.current_time()
            self._decide(nursery, sessions, dispatcher)
            took_s = trio.current_time() - begun_at
            await trio.sleep(max(DECIDE_EVERY_S, DECIDE_PAUSE_FACTOR * took_s))

    async def _report_forever(self) -> None:
        """Log the event loop's lag, the last append's duration and the calls to executors."""
        while True:
            await trio.sleep(REPORT_EVERY_S)
            fields = self.context.call_counts.take()
            lag_ms = f"{self._parts.lag_s() * 1000:.0f}"
            append_ms = f"{self.last_append_s * 1000:.0f}"
            self.context.note("leader.load", lag_ms=lag_ms, append_ms=append_ms, **fields)

    async def _refresh_inputs(self) -> None:
        """Read the current configuration and list of executors."""
        await self._parts.refresh_config()
        self._apply_config()
        await self._fleet.read_now(within_s=LIST_WITHIN_S)

    def _apply_config(self) -> None:
        config = self._parts.config()
        if config is not None and config.version != self._config_version:
            self._config_version = config.version
            self.core.set_queues(config.queues())
            self.core.set_workspaces(config.workspaces)
            self.core.set_services(config.named_services)
            self.core.hosts.set_standby(config.standby_services)

    def _decide(
        self, nursery: trio.Nursery, sessions: ExecutorSessions, dispatcher: AdviceDispatcher
    ) -> None:
        self._apply_config()
        self.core.set_advice_calls_at_once(len(self._parts.available_hosts()))
        self.core.decide(
            now=trio.current_time(),
            wall=self.context.wall(),
            may_place=self._commits.failing_since is None,
        )
        sessions.open()
        for request in self.core.take_advice_requests():
            dispatcher.submit(request)
        sessions.send_orders()
        for order in self.core.hosts.take_ready():
            nursery.start_soon(self._hosts.send, order)
        for note in self.core.take_notes():
            self._parts.recorder.record(
                note.step, subjects=note.subjects, cause=note.cause, fields=note.fields
            )
        if self.core.has_changes:
            self._commits.request()

    def request_commit(self) -> None:
        """Request an append without waiting for the next decision."""
        self._commits.request()
