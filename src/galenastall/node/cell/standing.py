"""Who leads, as this host knows it: heartbeats, looks at the store, claims and terms."""

from collections.abc import Callable
from typing import Any, Final

import trio
from returns.result import Failure

from galenastall.coordination.cell.election import Election, ElectionAction, ReceivedHeartbeat
from galenastall.coordination.cell.stop_rules import StopRule
from galenastall.coordination.cell.succession import heaviest_of
from galenastall.coordination.cell.timings import CellTimings
from galenastall.coordination.cell.wait_reasons import WaitReason
from galenastall.node.cell.handover import LeaderHandover
from galenastall.node.cell.leader_desk import LeaderDesk
from galenastall.node.cell.leader_search import LeaderSearch
from galenastall.node.cell.leader_term import LeaderTerm, TermParts
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
"""Between two looks at what to do about the leadership."""
HELLO_EVERY_S: Final = 0.5
"""Between two messages by which a standby makes itself known to the leader."""
HANDOVER_TRIES: Final = 3
"""Looks and claims at a handover; an append of the leader that stops may come in between."""


class Standing:
    """Runs the election on this host, and the term when it wins."""

    def __init__(
        self,
        *,
        host_id: HostId,
        members: Membership,
        election: Election,
        parts: TermParts,
        timings: CellTimings,
        on_newer_config: Callable[[int], None],
    ) -> None:
        """`on_newer_config` takes a version of the configuration that a leader has."""
        self._host_id = host_id
        self._members = members
        self._election = election
        self._parts = parts
        self._timings = timings
        self._on_newer_config = on_newer_config
        self._is_asked_to_claim = False
        self._has_claimed = False
        """Whether this process has ever sent a claim; any other claim of this host is of an earlier
        life."""
        self._link: PeerLink = parts.link
        self._recorder: Recorder = parts.recorder
        self._search = LeaderSearch(link=self._link, view=self)
        self.changed = trio.Event()
        """Set, and replaced, whenever another host leads."""
        self.term: LeaderTerm | None = None
        """The term of this host, if it leads."""
        self.desk: LeaderDesk | None = None
        self._link.handle(Heartbeat, self._on_beat)
        self._link.handle(TakeOver, self._on_take_over)
        self._link.handle(CanLead, self._on_can_lead)

    @property
    def leader(self) -> HostId | None:
        """The host that leads, or None if none is heard."""
        if self.term is not None:
            return self._host_id
        return HostId(self._election.leader) if self.is_heard and self._election.leader else None

    @property
    def is_heard(self) -> bool:
        """Whether this host leads or hears who does."""
        return self.term is not None or self._election.has_recent_heartbeat(trio.current_time())

    @property
    def last_leader(self) -> str:
        """The leader that was heard last; empty if none was."""
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
        """Token of this host's term, or of the leader that it hears."""
        return self.term.token if self.term is not None else self._election.token

    @property
    def job_count(self) -> int:
        """Jobs that this host knows as leader."""
        return len(self.term.core.jobs_by_id) if self.term is not None else 0

    @property
    def executor_count(self) -> int:
        """Executors that this host knows as leader."""
        return len(self.term.core.executors_by_id) if self.term is not None else 0

    @property
    def waiting_by_reason(self) -> dict[WaitReason, int]:
        """Steps that wait for this host as leader, by what kept them from starting."""
        return self.term.core.waiting_by_reason if self.term is not None else {}

    @property
    def used_by_workspace(self) -> dict[str, Resources]:
        """What each workspace may have running, as this host knows it as leader."""
        return self.term.core.used_by_workspace if self.term is not None else {}

    @property
    def stopped_by_rule(self) -> dict[StopRule, int]:
        """Runs that this host has stopped in its term as leader."""
        return self.term.core.stopped_by_rule if self.term is not None else {}

    @property
    def last_append_s(self) -> float:
        """How long this host's last append as leader took."""
        return self.term.last_append_s if self.term is not None else 0.0

    @property
    def is_confirmed(self) -> bool:
        """Whether a leader is heard whom the store has just confirmed: callers may come here."""
        longest_s = self._timings.ready_confirm_s
        if self.term is not None:
            return self.term.confirm_age_s <= longest_s
        return self._election.is_confirmed(trio.current_time(), longest_s)

    def helpers(self) -> tuple[HostId, ...]:
        """Return the hosts that can be asked to do something for the leader, itself included."""
        return (self._host_id, *self._members.heard.fit(trio.current_time()))

    async def run(self) -> None:
        """Run the election until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._say_hello)
            nursery.start_soon(self._search.run)
            nursery.start_soon(self._members.lag.run)
            while True:
                await self._step(nursery)
                await trio.sleep(TICK_S)

    async def leave(self, patience_s: float) -> None:
        """Hand the leadership over, if this host has it, and claim no more.

        Waits up to `patience_s` for a slow store: a takeover in the midst of it costs a second.
        """
        self._members.is_leaving = True
        with trio.move_on_after(patience_s):
            while self.term is not None and self.term.is_store_slow:
                await self.term.context.committed.wait()
        term = self.term
        if term is None:
            leader = self._election.leader
            if leader:
                self._members.say_hello(leader)
            return
        successor = self._members.heard.successor(trio.current_time())
        term.give_up("this process stops")
        if successor is not None:
            self._recorder.record("leader.hands_over", peer=successor)
            self._link.send(peer=successor, message=TakeOver(token=term.token))

    def _has_followers(self) -> bool:
        return self._members.heard.has_followers(trio.current_time())

    async def _step(self, nursery: trio.Nursery) -> None:
        if self.term is not None or self._members.is_leaving:
            return
        if self._is_asked_to_claim:
            self._is_asked_to_claim = False
            await self._take_over(nursery)
            return
        move = self._election.next_action(trio.current_time())
        if move is ElectionAction.POLL_STORE:
            nursery.start_soon(self._look)
        elif move is ElectionAction.CLAIM:
            # Another claim may have come since the last look; two claims cost a second takeover.
            await self._look()
            if self._election.next_action(trio.current_time()) is ElectionAction.CLAIM:
                await self._claim(nursery, cause="no heartbeat, and the state's end stands still")

    async def _take_over(self, nursery: trio.Nursery) -> None:
        """Claim at the request of a leader that stops; its last append may still move the end."""
        for _ in range(HANDOVER_TRIES):
            await self._look()
            await self._claim(nursery, cause="the leader hands over")
            if self.term is not None:
                return

    async def _look(self) -> None:
        answer = await self._parts.state.poll()
        if isinstance(answer, Failure):
            return
        view: StoreView = answer.unwrap()
        token = view.leader.token if view.leader else 0
        is_of_this_host = view.leader is not None and view.leader.host_id == self._host_id
        self._election.on_store_view(
            token=token,
            log_end=view.log_end,
            now=trio.current_time(),
            is_orphaned=is_of_this_host and not self._has_claimed,
            claimed_weight=view.leader.weight if view.leader else 0.0,
        )
        if view.leader is not None and view.leader.host_id != self._host_id:
            self._members.make_known_to(view.leader.host_id, view.leader.address)

    async def _claim(self, nursery: trio.Nursery, *, cause: str) -> None:
        log_end = self._election.log_end
        if log_end is None:
            self._recorder.record("leader.claim_failed", cause="the state's end is not known")
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
        self.desk = LeaderDesk(term=term, host_id=self._host_id, has_followers=self._has_followers)
        self._members.begin_term()
        self._tell_changed()
        nursery.start_soon(self._lead, term)

    async def _lead(self, term: LeaderTerm) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._beat_forever, term)
            nursery.start_soon(self._handover_of(term).run)
            await term.run()
            nursery.cancel_scope.cancel()
        self.term = None
        self.desk = None
        self._election.withdraw(trio.current_time() + self._timings.withdrawn_pause_s)
        self._tell_changed()

    def _handover_of(self, term: LeaderTerm) -> LeaderHandover:
        return LeaderHandover(
            term=term,
            heard=self._members.heard,
            weight=self._members.weight,
            lag=self._members.lag,
            link=self._link,
            recorder=self._recorder,
            look=self._parts.state.poll,
            on_behind=self._on_behind,
        )

    def _on_behind(self) -> None:
        self._members.refuse_to_lead(self._timings.fell_behind_pause_s)

    async def _beat_forever(self, term: LeaderTerm) -> None:
        while True:
            self._beat(term)
            await trio.sleep(self._timings.heartbeat_interval_s)

    def _beat(self, term: LeaderTerm) -> None:
        config: CellConfig | None = self._parts.config()
        plain = Heartbeat(
            token=term.token,
            address=self._members.address,
            confirm_age_s=term.confirm_age_s,
            config_version=config.version if config else 0,
            heaviest=heaviest_of(self._members.heard.contenders(trio.current_time())),
        )
        self._members.send_beats(plain)

    async def _say_hello(self) -> None:
        while True:
            leader = self._election.leader
            if self.term is None and leader and leader != self._host_id:
                self._members.say_hello(leader)
            await trio.sleep(HELLO_EVERY_S)

    def sight(self) -> LeaderAnswer:
        """Return the leader that is heard here, for a host that hears none."""
        leader = self.leader
        if leader is None:
            return LeaderAnswer()
        known = self._members.address if self.is_leading else self._members.address_of(leader)
        return LeaderAnswer(token=self.token, host_id=leader, address=known)

    def take_sight(self, found: LeaderAnswer) -> None:
        """Follow a leader that another host hears, unless it is older than the one heard last."""
        is_other = found.address and found.host_id != self._host_id
        if is_other and not self.is_heard and found.token >= self._election.token:
            self._members.make_known_to(found.host_id, found.address)

    async def _on_beat(self, sender: HostId, beat: Heartbeat) -> Any:
        if self.term is not None and beat.token < self.term.token:
            return None
        now = trio.current_time()
        heard = ReceivedHeartbeat(
            token=beat.token,
            leader=sender,
            received_at=now,
            confirm_age_s=beat.confirm_age_s,
            heaviest=beat.heaviest,
        )
        before = self._election.leader, self._election.token
        if not self._election.on_heartbeat(heard):
            return None
        if self.term is not None and beat.token > self.term.token:
            self.term.give_up(f"{sender} leads with a higher token")
        self._members.take_addresses(sender, beat)
        if (self._election.leader, self._election.token) != before:
            self._recorder.record("leader.heard", peer=sender, fields={"token": str(beat.token)})
            self._members.say_hello(sender)
            self._tell_changed()
        self._on_newer_config(beat.config_version)
        return None

    async def _on_can_lead(self, sender: HostId, _: CanLead) -> Any:
        if self._members.is_leaving:
            detail = "this host stops"
            return StepError(
                step="leader.can_lead", peer=self._host_id, reason=Reason.REFUSED, detail=detail
            )
        answer = await self._parts.state.poll()
        return answer.failure() if isinstance(answer, Failure) else None

    async def _on_take_over(self, sender: HostId, message: TakeOver) -> Any:
        if self.term is None and message.token >= self._election.token:
            self._is_asked_to_claim = True
        return None

    def _tell_changed(self) -> None:
        event, self.changed = self.changed, trio.Event()
        event.set()
