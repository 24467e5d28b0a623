"""When a standby claims the leadership: beats have stopped, and the state's end stands still.

A host that is far smaller than the heaviest one that could lead lets that one claim first.

The store alone decides who leads: a claim's token fences all older leaders. This class only keeps
standbys from claiming while a leader is well, also one that this host can't hear.
"""

from dataclasses import dataclass
from enum import Enum, auto
from typing import Final

from galenastall.coordination.cell.succession import is_light
from galenastall.coordination.cell.timings import CellTimings

LOOKS_IN_A_ROW: Final = 3
"""Looks at the store further apart than so many of their intervals show no stillness."""


class Move(Enum):
    """What a standby should do next."""

    WAIT = auto()
    LOOK = auto()
    """Look at the store for signs of the leader."""
    CLAIM = auto()


@dataclass(frozen=True, kw_only=True, slots=True)
class HeardBeat:
    """The last heartbeat of the leader with the highest token."""

    token: int
    leader: str
    heard_at: float
    confirm_age_s: float
    heaviest: float = 0.0
    """Weight of the heaviest host besides the leader that could lead."""

    def confirm_age_at(self, now: float) -> float:
        """Return how long ago the store confirmed the leader, at least."""
        return self.confirm_age_s + (now - self.heard_at)


class Election:
    """One host's view of who leads, and its patience."""

    def __init__(
        self, *, timings: CellTimings, jitter_s: float, may_start: bool, weight: float
    ) -> None:
        """`jitter_s` delays this host's claims; `may_start`: the system may be all new."""
        self._timings = timings
        self._jitter_s = jitter_s
        self._weight = weight
        self._claimed_weight = 0.0
        """Weight of the host that made the newest claim seen at the store."""
        self._may_start = may_start
        self._beat: HeardBeat | None = None
        self._token = 0
        self._claimed_token = 0
        """The newest claim seen at the store; whoever made it may never have learned of it."""
        self._looked_at = float("-inf")
        self._seen_at = float("-inf")
        """When the store last showed anything."""
        self._tip: int | None = None
        self._tip_moved_at = 0.0
        self._not_before = 0.0

    @property
    def leader(self) -> str:
        """Host that beats with the highest token; empty if none has been heard."""
        return self._beat.leader if self._beat else ""

    @property
    def token(self) -> int:
        """The highest token of a leader that was heard."""
        return self._token

    @property
    def newest_token(self) -> int:
        """The highest token that was heard of or seen at the store; a claim comes after it."""
        return max(self._token, self._claimed_token)

    @property
    def tip(self) -> int | None:
        """The state's end as the last look showed it; a claim comes right there."""
        return self._tip

    def is_heard(self, now: float) -> bool:
        """Whether the leader's beats go on."""
        if self._beat is None:
            return False
        return now - self._beat.heard_at <= self._timings.heartbeat_timeout_s

    def is_confirmed(self, now: float, longest_s: float) -> bool:
        """Whether the leader is heard and the store has confirmed it within `longest_s`."""
        if self._beat is None or not self.is_heard(now):
            return False
        return self._beat.confirm_age_at(now) <= longest_s

    def on_beat(self, beat: HeardBeat) -> bool:
        """Take a heartbeat; False if a newer leader is known."""
        if beat.token < self._token:
            return False
        self._token = beat.token
        self._beat = beat
        if beat.confirm_age_s < self._timings.confirm_suspect_s:
            self._tip = None
        return True

    def withdraw(self, until: float) -> None:
        """Make no claim before `until`."""
        self._not_before = until

    def on_look(
        self,
        *,
        token: int,
        tip: int,
        now: float,
        is_orphaned: bool = False,
        claimed_weight: float = 0.0,
    ) -> None:
        """Take what the store shows; `is_orphaned`: the newest claim is of an earlier one here.

        `claimed_weight` is that of the host that made the newest claim.

        An earlier incarnation of this host is over, so the end need not be watched.
        After a loss of all hosts that saves 0.35 s and the jitter of a takeover.

        What stood between looks that failed is not known: a leader takes a moment to be confirmed
        again after an outage, and claims at its end cost it 0.7 s and all its tickets.
        """
        if now - self._seen_at > LOOKS_IN_A_ROW * self._timings.log_end_poll_s:
            self._tip = None
        self._seen_at = now
        self._claimed_weight = claimed_weight
        if token > self.newest_token:
            # A newer leader may not have reached this host yet. Until it is heard, the one before
            # counts: a claim whose answer was lost has no leader, and fences nobody.
            self._claimed_token = token
            self._tip_moved_at = now
            self._tip = tip
        elif self._tip is None or tip != self._tip:
            self._tip = tip
            self._tip_moved_at = now
        if is_orphaned:
            self._tip_moved_at = min(self._tip_moved_at, now - self._still_for_s)
        if token == 0 and self._may_start:
            still_s = self._still_for_s - self._jitter_s
            self._tip_moved_at = min(self._tip_moved_at, now - still_s)

    def next_move(self, now: float) -> Move:
        """Return what to do now."""
        if not self._is_doubtful(now):
            return Move.WAIT
        if self._tip is not None and self._is_silent(now):
            still_s = now - self._tip_moved_at
            is_still = still_s >= self._still_for_s
            is_fresh = now - self._looked_at <= LOOKS_IN_A_ROW * self._timings.log_end_poll_s
            if is_still and is_fresh and now >= self._not_before:
                return Move.CLAIM
        if now - self._looked_at >= self._timings.log_end_poll_s:
            self._looked_at = now
            return Move.LOOK
        return Move.WAIT

    @property
    def _still_for_s(self) -> float:
        """How long the state's end must stand still before this host claims."""
        timings = self._timings
        # A host that has heard nobody yet can't tell silence: it would come before all others.
        silence_s = (
            timings.log_end_stalled_s if self._beat is not None else timings.heartbeat_timeout_s
        )
        heaviest = self._beat.heaviest if self._beat is not None else self._claimed_weight
        light_s = timings.light_host_delay_s if is_light(self._weight, heaviest) else 0.0
        return silence_s + self._jitter_s + light_s

    def _is_doubtful(self, now: float) -> bool:
        timings = self._timings
        if self._beat is None:
            return True
        if now - self._beat.heard_at > timings.heartbeat_suspect_s:
            return True
        return self._beat.confirm_age_at(now) > timings.confirm_suspect_s

    def _is_silent(self, now: float) -> bool:
        timings = self._timings
        if self._beat is None or now - self._beat.heard_at > timings.heartbeat_timeout_s:
            return True
        return self._beat.confirm_age_at(now) > timings.stale_confirm_s
