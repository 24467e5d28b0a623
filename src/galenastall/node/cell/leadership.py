"""This host's leadership state: heartbeats, reads of the store, claims and terms."""

from collections.abc import Callable
from typing import Any, Final

import trio
from returns.result import Failure

from galenastall.coordination.cell.election import Election, ElectionAction, ReceivedHeartbeat
from galenastall.coordination.cell.executor_speeds import SpeedClass
from galenastall.coordination.cell.stop_rules import StopRule
from galenastall.coordination.cell.succession import heaviest_of
from galenastall.coordination.cell.timings import CellTimings
from galenastall.coordination.cell.wait_reasons import WaitReason
from galenastall.node.cell.handover import LeaderHandover
from galenastall.node.cell.leader_handler import LeaderHandler
from galenastall.node.cell.leader_search import LeaderSearch
from galenastall.node.cell.leader_term import LeaderTerm, TermParts
from galenastall.node.cell.link_repair import LinkRepair
from galenastall.node.cell.membership import Membership
from galenastall.protocol.cell.config import CellConfig
from galenastall.protocol.cell.messages import CanLead, Heartbeat, LeaderAnswer, TakeOver
from galenastall.protocol.cell.ports import StoreView
from galenastall.protocol.peers import PeerLink
from galenastall.state.errors import Reason, StepError
from galenastall.state.ids import HostId
from galenastall.state.resources import Resources
from galenastall.transport.logs import Recorder

TICK_S: Final = 0.05
"""Interval between two steps of the election."""
HELLO_EVERY_S: Final = 0.5
"""Interval between two `Hello` messages of a standby to the leader."""
HANDOVER_TRIES: Final = 3
"""Reads and claims at a handover: an append of the stopping leader between them fails a claim."""


class Leadership:
    """Runs the election on this host, and a leader term whenever this host wins."""

    def __init__(
        self,
        *,
        host_id: HostId,
        members: Membership,
        election: Election,
        parts: TermParts,
        timings: CellTimings,
        repair: LinkRepair,
        on_newer_config: Callable[[int], None],
    ) -> None:
        """`on_newer_config` is called with the configuration version that a leader announces."""
        self._host_id = host_id
        self._members = members
        self._election = election
        self._parts = parts
        self._timings = timings
        self._repair = repair
        self._on_newer_config = on_newer_config
        self._is_asked_to_claim = False
        self._has_claimed = False
        """Whether this process has sent a claim; otherwise a claim in this host's name is of an
        earlier process."""
        self._unreadable_token = 0
        """Token of the last claim that could not be read, and has been reported."""
        self._link: PeerLink = parts.link
        self._recorder: Recorder = parts.recorder
        self._search = LeaderSearch(link=self._link, view=self)
        self.changed = trio.Event()
        """Set and replaced whenever the leader changes."""
        self.term: LeaderTerm | None = None
        """The term of this host, if it leads."""
        self.leader_handler: LeaderHandler | None = None
        self._link.handle(Heartbeat, self._on_heartbeat)
        self._link.handle(TakeOver, self._on_take_over)
        self._link.handle(CanLead, self._on_can_lead)

    @property
    def leader(self) -> HostId | None:
        """The current leader; None if no heartbeat has arrived recently."""
        if self.term is not None:
            return self._host_id
        return HostId(self._election.leader) if self.has_leader and self._election.leader else None

    @property
    def has_leader(self) -> bool:
        """Whether this host leads or receives a leader's heartbeats."""
        return self.term is not None or self._election.has_recent_heartbeat(trio.current_time())

    @property
    def last_leader(self) -> str:
        """The leader whose heartbeat arrived last; empty if none ever did."""
        return self._election.leader

    @property
    def other_hosts(self) -> set[str]:
        """All other hosts whose addresses are known."""
        return self._members.others

    @property
    def is_leading(self) -> bool:
        """Whether this host leads."""
        return self.term is not None

    @property
    def token(self) -> int:
        """Token of this host's term, or of the leader that it follows."""
        return self.term.token if self.term is not None else self._election.token

    @property
    def job_count(self) -> int:
        """Jobs in this host's state as leader; 0 unless it leads."""
        return len(self.term.core.jobs_by_id) if self.term is not None else 0

    @property
    def executor_count(self) -> int:
        """Executors in this host's table as leader; 0 unless it leads."""
        return len(self.term.core.executors_by_id) if self.term is not None else 0

    @property
    def waiting_by_reason(self) -> dict[WaitReason, int]:
        """Number of waiting steps by wait reason; empty unless this host leads."""
        return self.term.core.waiting_by_reason if self.term is not None else {}

    @property
    def used_by_workspace(self) -> dict[str, Resources]:
        """Resources counted against each workspace's limit; empty unless this host leads."""
        return self.term.core.used_by_workspace if self.term is not None else {}

    @property
    def kept_for_urgent_cores(self) -> float:
        """Free cores that the last decision kept for urgent work; 0 unless this host leads."""
        return self.term.core.plan.urgent.kept_cores_milli / 1000.0 if self.term else 0.0

    @property
    def stopped_by_rule(self) -> dict[StopRule, int]:
        """Runs stopped in this host's current term, by rule; empty unless this host leads."""
        return self.term.core.stopped_by_rule if self.term is not None else {}

    @property
    def hosts_by_speed(self) -> dict[SpeedClass, int]:
        """Hosts of executors by the class of their learned speed; empty unless this host leads."""
        return self.term.core.hosts_by_speed if self.term is not None else {}

    @property
    def last_append_s(self) -> float:
        """Duration of this host's last append as leader."""
        return self.term.last_append_s if self.term is not None else 0.0

    @property
    def is_confirmed(self) -> bool:
        """Whether the store has confirmed the current leader recently, so callers can be served."""
        longest_s = self._timings.ready_confirm_s
        if self.term is not None:
            return self.term.confirm_age_s <= longest_s
        return self._election.is_confirmed(trio.current_time(), longest_s)

    def available_hosts(self) -> tuple[HostId, ...]:
        """Return the hosts that can make calls on the leader's behalf, this one included."""
        return (self._host_id, *self._members.peers.available(trio.current_time()))

    async def run(self) -> None:
        """Run the election until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._say_hello)
            nursery.start_soon(self._search.run)
            nursery.start_soon(self._repair.run)
            nursery.start_soon(self._members.lag.run)
            while True:
                await self._step(nursery)
                await trio.sleep(TICK_S)

    async def leave(self, timeout_s: float) -> None:
        """Hand over the leadership if this host has it, and stop claiming it.

        Waits up to `timeout_s` while the store is slow: a takeover then takes a second longer.
        """
        self._members.is_leaving = True
        with trio.move_on_after(timeout_s):
            while self.term is not None and self.term.is_store_slow:
                await self.term.context.committed.wait()
        term = self.term
        if term is None:
            leader = self._election.leader
            if leader:
                self._members.say_hello(leader)
            return
        successor = self._members.peers.successor(trio.current_time())
        term.give_up("this process is stopping")
        if successor is not None:
            self._recorder.record("leader.hands_over", peer=successor)
            self._link.send(peer=successor, message=TakeOver(token=term.token))

    def _has_followers(self) -> bool:
        return self._members.peers.has_followers(trio.current_time())

    async def _step(self, nursery: trio.Nursery) -> None:
        if self.term is not None or self._members.is_leaving:
            return
        if self._is_asked_to_claim:
            self._is_asked_to_claim = False
            await self._take_over(nursery)
            return
        move = self._election.next_action(trio.current_time())
        if move is ElectionAction.POLL_STORE:
            nursery.start_soon(self._read_store)
        elif move is ElectionAction.CLAIM:
            # Another host may have claimed since the last read; a second claim causes a second
            # takeover.
            await self._read_store()
            if self._election.next_action(trio.current_time()) is ElectionAction.CLAIM:
                await self._claim(nursery, cause="no heartbeat, and no append to the state log")

    async def _take_over(self, nursery: trio.Nursery) -> None:
        """Claim at a stopping leader's request; its last append may still move the log end."""
        for _ in range(HANDOVER_TRIES):
            await self._read_store()
            await self._claim(nursery, cause="handover from the previous leader")
            if self.term is not None:
                return

    async def _read_store(self) -> None:
        answer = await self._parts.state.poll()
        if isinstance(answer, Failure):
            return
        view: StoreView = answer.unwrap()
        self._repair.on_store_view(view)
        token = view.leader.token if view.leader else 0
        is_of_this_host = view.leader is not None and view.leader.host_id == self._host_id
        self._election.on_store_view(
            token=token,
            log_end=view.log_end,
            now=trio.current_time(),
            is_orphaned=is_of_this_host and not self._has_claimed,
            claimed_weight=view.leader.weight if view.leader else 0.0,
        )
        if view.leader is None or view.leader.host_id == self._host_id:
            return
        if view.leader.host_id:
            self._members.make_known_to(view.leader.host_id, view.leader.address)
        elif token != self._unreadable_token:
            self._unreadable_token = token
            self._recorder.record("leader.claim_unreadable", fields={"token": str(token)})

    async def _claim(self, nursery: trio.Nursery, *, cause: str) -> None:
        log_end = self._election.log_end
        if log_end is None:
            self._recorder.record(
                "leader.claim_failed", cause="the end of the state log is not known"
            )
            return
        claimed_at = trio.current_time()
        self._has_claimed = True
        answer = await self._parts.state.claim(
            host_id=self._host_id,
            address=self._members.address,
            weight=self._members.weight,
            log_end=log_end,
        )
        if isinstance(answer, Failure):
            self._recorder.record("leader.claim_failed", cause=str(answer.failure()))
            return
        token: int = answer.unwrap()
        if token < self._election.token or self._members.is_leaving:
            return
        fields = {"token": str(token), "weight": f"{self._members.weight:g}"}
        self._recorder.record("leader.claimed", cause=cause, fields=fields)
        term = LeaderTerm(parts=self._parts, token=token, claimed_at=claimed_at)
        self.term = term
        self.leader_handler = LeaderHandler(
            term=term, host_id=self._host_id, has_followers=self._has_followers
        )
        self._members.begin_term()
        self._notify_changed()
        nursery.start_soon(self._lead, term)

    async def _lead(self, term: LeaderTerm) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_heartbeats_forever, term)
            nursery.start_soon(self._handover_of(term).run)
            await term.run()
            nursery.cancel_scope.cancel()
        self.term = None
        self.leader_handler = None
        self._election.withdraw(trio.current_time() + self._timings.withdrawn_pause_s)
        self._notify_changed()

    def _handover_of(self, term: LeaderTerm) -> LeaderHandover:
        return LeaderHandover(
            term=term,
            peers=self._members.peers,
            weight=self._members.weight,
            lag=self._members.lag,
            link=self._link,
            recorder=self._recorder,
            read_store=self._parts.state.poll,
            on_behind=self._on_behind,
        )

    def _on_behind(self) -> None:
        self._members.refuse_to_lead(self._timings.fell_behind_pause_s)

    async def _send_heartbeats_forever(self, term: LeaderTerm) -> None:
        while True:
            self._send_heartbeat(term)
            await trio.sleep(self._timings.heartbeat_interval_s)

    def _send_heartbeat(self, term: LeaderTerm) -> None:
        config: CellConfig | None = self._parts.config()
        plain = Heartbeat(
            token=term.token,
            address=self._members.address,
            confirm_age_s=term.confirm_age_s,
            config_version=config.version if config else 0,
            heaviest=heaviest_of(self._members.peers.candidates(trio.current_time())),
        )
        self._members.send_heartbeats(plain)

    async def _say_hello(self) -> None:
        while True:
            leader = self._election.leader
            if self.term is None and leader and leader != self._host_id:
                self._members.say_hello(leader)
            await trio.sleep(HELLO_EVERY_S)

    def leader_answer(self) -> LeaderAnswer:
        """Return the leader that this host follows, for a host that has none."""
        leader = self.leader
        if leader is None:
            return LeaderAnswer()
        known = self._members.address if self.is_leading else self._members.address_of(leader)
        return LeaderAnswer(token=self.token, host_id=leader, address=known)

    def on_leader_answer(self, found: LeaderAnswer) -> None:
        """Follow a leader that another host named, unless its token is older than the last one."""
        is_other = found.address and found.host_id != self._host_id
        if is_other and not self.has_leader and found.token >= self._election.token:
            self._members.make_known_to(found.host_id, found.address)

    async def _on_heartbeat(self, sender: HostId, heartbeat: Heartbeat) -> Any:
        self._repair.on_heartbeat()
        if self.term is not None and heartbeat.token < self.term.token:
            return None
        now = trio.current_time()
        received = ReceivedHeartbeat(
            token=heartbeat.token,
            leader=sender,
            received_at=now,
            confirm_age_s=heartbeat.confirm_age_s,
            heaviest=heartbeat.heaviest,
        )
        before = self._election.leader, self._election.token
        if not self._election.on_heartbeat(received):
            return None
        if self.term is not None and heartbeat.token > self.term.token:
            self.term.give_up(f"{sender} leads with a higher token")
        self._members.learn_addresses(sender, heartbeat)
        if (self._election.leader, self._election.token) != before:
            self._recorder.record(
                "leader.heard", peer=sender, fields={"token": str(heartbeat.token)}
            )
            self._members.say_hello(sender)
            self._notify_changed()
        self._on_newer_config(heartbeat.config_version)
        return None

    async def _on_can_lead(self, sender: HostId, _: CanLead) -> Any:
        if self._members.is_leaving:
            detail = "this host is stopping"
            return StepError(
                step="leader.can_lead", peer=self._host_id, reason=Reason.REFUSED, detail=detail
            )
        answer = await self._parts.state.poll()
        return answer.failure() if isinstance(answer, Failure) else None

    async def _on_take_over(self, sender: HostId, message: TakeOver) -> Any:
        if self.term is None and message.token >= self._election.token:
            self._is_asked_to_claim = True
        return None

    def _notify_changed(self) -> None:
        event, self.changed = self.changed, trio.Event()
        event.set()
