"""Model of several ownership cores on a simulated log, host list, network and clock, with faults.

Tests and the search command share it. All randomness comes from one seeded generator. The
invariant is checked after each event: no two members act on one ownable at one time, including
commands in flight up to their not-after time.
"""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from typing import Any, Final

from galenastall.coordination.ownership.ownership import AppendOutcome, OwnershipCore
from galenastall.coordination.ownership.ownership_messages import (
    AppendRecord,
    Expelled,
    FetchTail,
    SendMessage,
)
from galenastall.coordination.ownership.ownership_tail import RecordTail
from galenastall.coordination.ownership.ownership_timings import OwnershipTimings
from galenastall.state.ids import HostId, Incarnation, Offset, OwnableId, RecordId, StreamName
from galenastall.state.ownership_records import Member, OwnershipSnapshot
from galenastall.state.records import LoggedRecord

STREAM: Final = StreamName("data-centre.model")
TICK_S: Final = 0.1
POLL_S: Final = 0.4
LISTING_S: Final = 2.0
CHECK_S: Final = 0.02
APPEND_TIMEOUT_S: Final = 1.0
LATE_COMMIT_SHARE: Final = 0.5
"""Share of appends with a lost answer that commit late, even after the writer's time-out."""
COMMIT_SHARE: Final = 0.8
"""Share of appends with a lost answer that commit at all."""

MODEL_TIMINGS: Final = OwnershipTimings(
    list_lag_s=10.0, snapshot_every_records=40, snapshot_every_s=60.0
)


class ViolationError(Exception):
    """Two members could act on one ownable at one time."""


@dataclass(kw_only=True, slots=True)
class ModelNode:
    """One entry host with its core, clock and faults."""

    host: HostId
    core: OwnershipCore
    rate: float
    """Seconds of its clock per true second."""
    shift: float
    is_alive: bool = True
    is_paused: bool = False
    has_log: bool = True
    inbox: list[Callable[[], None]] = field(default_factory=list)
    tail: RecordTail = field(default_factory=RecordTail)
    read_to: Offset = Offset(0)

    def local(self, true_time: float) -> float:
        """Return the reading of its clock."""
        return self.shift + true_time * self.rate


class OwnershipModel:
    """A data centre of entry hosts under faults."""

    def __init__(
        self,
        *,
        seed: int,
        hosts: int,
        ownables: int = 4,
        timings: OwnershipTimings = MODEL_TIMINGS,
        drift: float | None = None,
    ) -> None:
        """Start `hosts` entry hosts; clocks drift by up to `drift`, by default the bound."""
        self.random = random.Random(seed)
        self.timings = timings
        self.drift = timings.clock_rate_bound if drift is None else drift
        self.now = 0.0
        self.checks = 0
        self.appends = 0
        self.messages = 0
        self.is_log_up = True
        self.lose_answers = 0
        self.max_delay_s = 0.02
        self.nodes_by_host: dict[HostId, ModelNode] = {}
        self.cuts: set[frozenset[HostId]] = set()
        self.log: list[LoggedRecord] = []
        self.log_start = Offset(0)
        self.ownables = frozenset(OwnableId(f"worker/w{i}") for i in range(ownables))
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()
        self._names = count()
        self._acted_at: dict[OwnableId, dict[Incarnation, float]] = {o: {} for o in self.ownables}
        self._listed: dict[HostId, bool] = {}
        self._shown_at_by_host: dict[HostId, float] = {}
        for _ in range(hosts):
            self.join()
        self._at(CHECK_S, self._check_again)

    # Faults and healing

    def join(self, host: HostId | None = None) -> HostId:
        """Start an entry host: a new one, or a new process on `host`."""
        name = host or HostId(f"e{next(self._names)}")
        member = Member(host=name, incarnation=Incarnation(f"{name}.{next(self._names)}"))
        node = ModelNode(
            host=name,
            core=OwnershipCore(me=member, timings=self.timings),
            rate=1.0 + self.random.uniform(-self.drift, self.drift),
            shift=self.random.uniform(0, 1000),
        )
        node.core.on_ownables(self.ownables)
        self.nodes_by_host[name] = node
        self._list_later(name, True)
        for period, action in ((TICK_S, self._tick), (POLL_S, self._poll), (LISTING_S, self._list)):
            self._repeat(node, period, action)
        return name

    def kill(self, host: HostId) -> None:
        """End a process at once; its host leaves the list within the lag."""
        self.nodes_by_host[host].is_alive = False
        self._list_later(host, False)

    def restart(self, host: HostId) -> None:
        """End a process and start a new one in its place."""
        self.nodes_by_host[host].is_alive = False
        self.join(host)

    def pause(self, host: HostId) -> None:
        """Suspend a process; its clock continues."""
        self.nodes_by_host[host].is_paused = True

    def resume(self, host: HostId) -> None:
        """Resume a paused process: check the invariant first, then process its inbox."""
        node = self.nodes_by_host[host]
        node.is_paused = False
        self._check()
        inbox, node.inbox = node.inbox, []
        for action in inbox:
            self._on_node(node, action)

    def heal(self) -> None:
        """End all faults except killed processes; start a member if none is left."""
        self.is_log_up = True
        self.lose_answers = 0
        self.max_delay_s = 0.02
        self.cuts.clear()
        for node in list(self.nodes_by_host.values()):
            node.has_log = True
            if node.is_alive and node.is_paused:
                self.resume(node.host)
        if all(self.nodes_by_host[host].core.is_leaving for host in self.alive()):
            self.join()

    def trim(self) -> None:
        """Trim the part of the log that the latest snapshot covers."""
        for logged in reversed(self.log):
            if isinstance(logged.record, OwnershipSnapshot):
                self.log_start = max(self.log_start, logged.record.covers)
                return

    # Observation and running

    def alive(self) -> list[HostId]:
        """Return the hosts whose process runs or is paused."""
        return [node.host for node in self.nodes_by_host.values() if node.is_alive]

    def actors(self, ownable: OwnableId) -> list[HostId]:
        """Return the hosts that may act on the ownable now."""
        return [n.host for n in self._running() if n.core.may_act(ownable, n.local(self.now))]

    def owned(self, host: HostId) -> int:
        """Return the number of ownables on which the host may act now."""
        return sum(host in self.actors(ownable) for ownable in self.ownables)

    def is_served(self) -> bool:
        """Return whether each ownable has a host that may act on it."""
        return all(self.actors(ownable) for ownable in self.ownables)

    def run_for(self, seconds: float) -> None:
        """Advance true time."""
        self.run_until(lambda: False, within=seconds)

    def run_until(self, condition: Callable[[], bool], *, within: float) -> float | None:
        """Run until the condition holds; return the elapsed time, or None if it did not hold."""
        start = self.now
        end = start + within
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
            self._check()
            if condition():
                return self.now - start
        self.now = end
        return None

    # Internal events

    def _running(self) -> list[ModelNode]:
        return [n for n in self.nodes_by_host.values() if n.is_alive and not n.is_paused]

    def _at(self, delay: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now + delay, next(self._order), action))

    def _delay(self) -> float:
        return self.random.uniform(0.001, self.max_delay_s)

    def _repeat(self, node: ModelNode, period: float, action: Callable[[ModelNode], None]) -> None:
        def again() -> None:
            if not node.is_alive:
                return
            if not node.is_paused:
                action(node)
            self._at(period * self.random.uniform(0.9, 1.1), again)

        self._at(self.random.uniform(0, period), again)

    def _on_node(self, node: ModelNode, action: Callable[[], None]) -> None:
        if not node.is_alive:
            return
        if node.is_paused:
            node.inbox.append(action)
            return
        action()
        self._execute_commands(node)

    def _deliver(self, node: ModelNode, action: Callable[[], None]) -> None:
        self._at(self._delay(), lambda: self._on_node(node, action))

    def _check_again(self) -> None:
        self._at(CHECK_S, self._check_again)

    def _check(self) -> None:
        running = [(n.core, n.local(self.now)) for n in self._running()]
        for ownable, acted_at in self._acted_at.items():
            for core, local in running:
                if core.may_act(ownable, local) is None:
                    continue
                me = core.me.incarnation
                acted_at[me] = self.now
                for other, at in acted_at.items():
                    if other != me and self.now - at < self.timings.flight_s:
                        raise ViolationError(
                            f"{me} acts on {ownable} at {self.now:.2f}, {other} did at {at:.2f}"
                        )
        self.checks += 1

    def _tick(self, node: ModelNode) -> None:
        node.core.on_tick(node.local(self.now))
        self._execute_commands(node)
        if node.core.is_removed and node.core.is_leaving:
            self.kill(node.host)

    def _execute_commands(self, node: ModelNode) -> None:
        for command in node.core.drain_commands():
            if isinstance(command, SendMessage):
                self._send(node, command.to, command.message)
            elif isinstance(command, AppendRecord):
                self._append(node, command)
            elif isinstance(command, FetchTail):
                self._fetch_tail(node, command)
            elif isinstance(command, Expelled):
                self.restart(node.host)

    def _is_cut(self, one: HostId, other: HostId) -> bool:
        return frozenset((one, other)) in self.cuts

    def _send(self, node: ModelNode, to: HostId, message: Any) -> None:
        self.messages += 1
        if self._is_cut(node.host, to) or to not in self.nodes_by_host:
            return
        peer = self.nodes_by_host[to]
        self._deliver(peer, lambda: peer.core.on_message(node.host, message, peer.local(self.now)))

    def _append(self, node: ModelNode, command: AppendRecord) -> None:
        def answer(outcome: AppendOutcome, delay: float) -> None:
            def deliver_outcome() -> None:
                node.core.on_append_outcome(command.record_id, outcome, node.local(self.now))

            self._at(delay, lambda: self._on_node(node, deliver_outcome))

        if not self.is_log_up or not node.has_log:
            answer(AppendOutcome.NOT_APPENDED, self._delay())
            return
        commit_delay = self._delay()
        if self.lose_answers > 0:
            self.lose_answers -= 1
            if self.random.random() < LATE_COMMIT_SHARE:
                commit_delay += self.random.uniform(0, 3 * APPEND_TIMEOUT_S)
            if self.random.random() < COMMIT_SHARE:
                self._at(commit_delay, lambda: self._commit_append(command))
            answer(AppendOutcome.UNKNOWN, APPEND_TIMEOUT_S)
            return
        self._at(commit_delay, lambda: self._commit_append(command))
        answer(AppendOutcome.APPENDED, commit_delay + self._delay())

    def _commit_append(self, command: AppendRecord) -> None:
        self.appends += 1
        self.log.append(self._logged(command.record_id, command.record))

    def _logged(self, record_id: RecordId, record: Any) -> LoggedRecord:
        offset = Offset(len(self.log))
        return LoggedRecord(stream=STREAM, offset=offset, record_id=record_id, record=record)

    def _poll(self, node: ModelNode) -> None:
        sent_at = node.local(self.now)
        if not self.is_log_up or not node.has_log:
            return

        def read() -> None:
            start = max(node.read_to, self.log_start)
            entries = self.log[start:]
            end = Offset(len(self.log))
            self._deliver(node, lambda: self._take_page(node, entries, end, sent_at))

        self._at(self._delay(), read)

    def _take_page(
        self, node: ModelNode, entries: list[LoggedRecord], end: Offset, sent_at: float
    ) -> None:
        now = node.local(self.now)
        for logged in entries:
            if logged.offset >= node.read_to:
                node.tail.keep(logged)
                node.core.on_record(logged, now)
        node.read_to = max(node.read_to, end)
        if end >= node.read_to:
            node.core.on_log_end(read_at=sent_at, next_offset=node.read_to, now=now)

    def _fetch_tail(self, node: ModelNode, command: FetchTail) -> None:
        if self._is_cut(node.host, command.peer):
            return
        peer = self.nodes_by_host[command.peer]

        def answer() -> None:
            records = peer.tail.since(command.start) if peer.core.fold.is_complete else None
            if records is None:
                return
            end = peer.tail.end

            def take() -> None:
                node.tail.extend(start=command.start, end=end, records=records)
                node.core.on_tail(
                    start=command.start, end=end, records=records, now=node.local(self.now)
                )

            self._deliver(node, take)

        self._deliver(peer, answer)

    def _list_later(self, host: HostId, is_live: bool) -> None:
        shown_at = self.now + self.random.uniform(0, self.timings.list_lag_s * 0.5)
        shown_at = max(shown_at, self._shown_at_by_host.get(host, 0.0))
        self._shown_at_by_host[host] = shown_at
        self._at(shown_at - self.now, lambda: self._listed.update({host: is_live}))

    def _list(self, node: ModelNode) -> None:
        shown = frozenset(host for host, is_live in self._listed.items() if is_live)
        node.core.on_listing(shown, node.local(self.now))
