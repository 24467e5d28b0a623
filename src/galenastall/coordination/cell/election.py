"""Decides when a standby claims leadership: no heartbeats, and no progress of the state log.

A host with far less weight than the heaviest candidate lets that one claim first.

The store alone decides who leads: the token of a claim fences all earlier leaders. This class only
prevents claims while a leader is healthy, including one that this host cannot reach.
"""

from dataclasses import dataclass
from enum import Enum, auto
from typing import Final

from galenastall.coordination.cell.succession import is_light
from galenastall.coordination.cell.timings import CellTimings

MAX_POLL_GAP_INTERVALS: Final = 3
"""Polls of the store more than this many intervals apart are not evidence of a stalled log."""


class ElectionAction(Enum):
    """Next action of a standby."""

    WAIT = auto()
    POLL_STORE = auto()
    """Poll the store for the newest claim and the end of the log."""
    CLAIM = auto()


@dataclass(frozen=True, kw_only=True, slots=True)
class ReceivedHeartbeat:
    """The last heartbeat received from the leader with the highest token."""

    token: int
    leader: str
    received_at: float
    confirm_age_s: float
    heaviest: float = 0.0
    """Weight of the heaviest host, other than the leader, that could lead."""

    def confirm_age_at(self, now: float) -> float:
        """Return a lower bound on the time since the store confirmed the leader."""
        return self.confirm_age_s + (now - self.received_at)


class Election:
    """One host's view of the leader, and when this host may claim."""

    def __init__(
        self, *, timings: CellTimings, jitter_s: float, may_start: bool, weight: float
    ) -> None:
        """`jitter_s` delays this host's claims; `may_start`: there may never have been a leader."""
        self._timings = timings
        self._jitter_s = jitter_s
        self._weight = weight
        self._claimed_weight = 0.0
        """Weight of the host that made the newest claim in the store."""
        self._may_start = may_start
        self._heartbeat: ReceivedHeartbeat | None = None
        self._token = 0
        self._claimed_token = 0
        """Token of the newest claim in the store; the claimant may not know that it succeeded."""
        self._polled_at = float("-inf")
        self._viewed_at = float("-inf")
        """Time of the last successful poll of the store."""
        self._log_end: int | None = None
        self._log_end_moved_at = 0.0
        self._not_before = 0.0

    @property
    def leader(self) -> str:
        """Host that sends heartbeats with the highest token; empty if none was received."""
        return self._heartbeat.leader if self._heartbeat else ""

    @property
    def token(self) -> int:
        """The highest token in a received heartbeat."""
        return self._token

    @property
    def newest_token(self) -> int:
        """The highest token received or found in the store; a new claim gets a higher one."""
        return max(self._token, self._claimed_token)

    @property
    def log_end(self) -> int | None:
        """End of the state log at the last poll; a claim is appended at this position."""
        return self._log_end

    def has_recent_heartbeat(self, now: float) -> bool:
        """Whether a heartbeat arrived within `beat_silence_s`."""
        if self._heartbeat is None:
            return False
        return now - self._heartbeat.received_at <= self._timings.heartbeat_timeout_s

    def is_confirmed(self, now: float, longest_s: float) -> bool:
        """Whether heartbeats arrive and the store confirmed the leader within `longest_s`."""
        if self._heartbeat is None or not self.has_recent_heartbeat(now):
            return False
        return self._heartbeat.confirm_age_at(now) <= longest_s

    def on_heartbeat(self, heartbeat: ReceivedHeartbeat) -> bool:
        """Record a heartbeat; return False if a newer leader is known."""
        if heartbeat.token < self._token:
            return False
        self._token = heartbeat.token
        self._heartbeat = heartbeat
        if heartbeat.confirm_age_s < self._timings.confirm_suspect_s:
            self._log_end = None
        return True

    def withdraw(self, until: float) -> None:
        """Make no claim before `until`."""
        self._not_before = until

    def on_store_view(
        self,
        *,
        token: int,
        log_end: int,
        now: float,
        is_orphaned: bool = False,
        claimed_weight: float = 0.0,
    ) -> None:
        """Record a view of the store.

        `is_orphaned`: the newest claim was made by an earlier incarnation of this host. That one no
        longer runs, so the log need not be watched. After a loss of all hosts this saves 0.35 s and
        the jitter of a takeover.

        `claimed_weight` is the weight of the host that made the newest claim.

        After failed polls the stall is measured anew: a leader needs a moment to be confirmed after
        an outage of the store, and a claim at that moment costs it 0.7 s and all its tickets.
        """
        if now - self._viewed_at > MAX_POLL_GAP_INTERVALS * self._timings.log_end_poll_s:
            self._log_end = None
        self._viewed_at = now
        self._claimed_weight = claimed_weight
        if token > self.newest_token:
            # Heartbeats of a newer leader may not have arrived yet. Until then the previous leader
            # counts: a claim whose answer was lost has no leader and fences nobody.
            self._claimed_token = token
            self._log_end_moved_at = now
            self._log_end = log_end
        elif self._log_end is None or log_end != self._log_end:
            self._log_end = log_end
            self._log_end_moved_at = now
        if is_orphaned:
            self._log_end_moved_at = min(self._log_end_moved_at, now - self._required_stall_s)
        if token == 0 and self._may_start:
            stalled_s = self._required_stall_s - self._jitter_s
            self._log_end_moved_at = min(self._log_end_moved_at, now - stalled_s)

    def next_action(self, now: float) -> ElectionAction:
        """Return the action to take now."""
        if not self._is_leader_suspected(now):
            return ElectionAction.WAIT
        if self._log_end is not None and self._is_leader_unresponsive(now):
            stalled_s = now - self._log_end_moved_at
            is_stalled = stalled_s >= self._required_stall_s
            is_fresh = (
                now - self._polled_at <= MAX_POLL_GAP_INTERVALS * self._timings.log_end_poll_s
            )
            if is_stalled and is_fresh and now >= self._not_before:
                return ElectionAction.CLAIM
        if now - self._polled_at >= self._timings.log_end_poll_s:
            self._polled_at = now
            return ElectionAction.POLL_STORE
        return ElectionAction.WAIT

    @property
    def _required_stall_s(self) -> float:
        """How long the log end must not move before this host claims."""
        timings = self._timings
        # A host that has received no heartbeat yet cannot judge how long the leader has been
        # silent; with the shorter delay it would claim before all others.
        silence_s = (
            timings.log_end_stalled_s
            if self._heartbeat is not None
            else timings.heartbeat_timeout_s
        )
        heaviest = self._heartbeat.heaviest if self._heartbeat is not None else self._claimed_weight
        light_s = timings.light_host_delay_s if is_light(self._weight, heaviest) else 0.0
        return silence_s + self._jitter_s + light_s

    def _is_leader_suspected(self, now: float) -> bool:
        timings = self._timings
        if self._heartbeat is None:
            return True
        if now - self._heartbeat.received_at > timings.heartbeat_suspect_s:
            return True
        return self._heartbeat.confirm_age_at(now) > timings.confirm_suspect_s

    def _is_leader_unresponsive(self, now: float) -> bool:
        timings = self._timings
        if (
            self._heartbeat is None
            or now - self._heartbeat.received_at > timings.heartbeat_timeout_s
        ):
            return True
        return self._heartbeat.confirm_age_at(now) > timings.stale_confirm_s
