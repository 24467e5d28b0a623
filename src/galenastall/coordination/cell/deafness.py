"""Decides when a host that hears no leader checks its inbox, and when it rebuilds its sockets.

The store and the inbox itself are the evidence. The store names another host as the leader, whose
appends go on, and no heartbeat arrives: that is so in a cut between the two hosts as well. So the
host then calls its own inbox over a connection of its own, which no network outside this host can
cut. Only an inbox that accepts that connection and reads nothing of it, several times in a row
while the event loop is calm, is taken for deaf.
"""

from dataclasses import dataclass
from enum import Enum, auto
from typing import Final

from galenastall.coordination.cell.election import MAX_POLL_GAP_INTERVALS
from galenastall.coordination.cell.timings import CellTimings

SILENT_CONFIRMS: Final = 10
"""Intervals of a leader's confirmations that pass without a heartbeat before the inbox is probed:
2 s. A host that has found a leader in the store hears it within 0.3 s."""
PROBE_TIMEOUT_S: Final = 0.5
"""Time-out of one probe, whose answer takes a few milliseconds."""
PROBES: Final = 3
"""Probes without an answer, in a row, that show that the inbox is deaf."""
PROBE_LATE_S: Final = 0.25
"""A probe that took this much longer than its time-out says nothing: this process was stopped."""
CALM_LAG_S: Final = 0.05
"""With a larger average lag of the event loop, a probe without an answer says nothing."""
PROBE_PAUSE_S: Final = 5.0
"""Pause after a probe that was answered, or that says nothing."""
REBUILD_PAUSE_S: Final = 30.0
"""Pause after a rebuild; it doubles with each further one."""
MAX_REBUILD_PAUSE_S: Final = 480.0
"""Longest pause; a rebuild that much later is followed by the shortest one again."""


class InboxAction(Enum):
    """Next action of a host that watches its inbox."""

    WAIT = auto()
    PROBE = auto()
    """Call the own inbox."""
    REBUILD = auto()
    """Close the sockets to and from peers, and make new ones."""


class ProbeAnswer(Enum):
    """Outcome of one call to the own inbox."""

    HEARD = auto()
    UNHEARD = auto()
    """The connection was accepted, and nothing came back in time."""
    NOT_MADE = auto()
    """No connection could be made, so that nothing was sent."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Silence:
    """What is known of a leader that the store names and whose heartbeats don't arrive."""

    leader: str
    token: int
    began_at: float
    first_log_end: int
    log_end: int
    log_end_moved_at: float
    viewed_at: float


class DeafnessWatch:
    """One host's evidence that its inbox reads nothing any more."""

    def __init__(self, *, timings: CellTimings) -> None:
        """Start without evidence."""
        self._timings = timings
        self._silence: Silence | None = None
        self._heartbeat_at: float | None = None
        self._unheard = 0
        self._probe_at = float("-inf")
        self._rebuilt_at = float("-inf")
        self._pause_s = REBUILD_PAUSE_S
        self._not_before = float("-inf")

    @property
    def silence(self) -> Silence | None:
        """The silence that is being watched; None while there is no evidence of any."""
        return self._silence

    def heartbeat_age_s(self, now: float) -> float | None:
        """Return the age of the last heartbeat of any host; None if none has arrived."""
        return None if self._heartbeat_at is None else now - self._heartbeat_at

    def on_heartbeat(self, now: float) -> None:
        """Record a heartbeat of any host, outdated leaders included: the inbox is read."""
        self._heartbeat_at = now
        self._end_silence()

    def on_store_view(self, *, leader: str, token: int, log_end: int, now: float) -> None:
        """Record a view of the store; `leader` is empty if it names no host other than this one."""
        before = self._silence
        if not leader:
            self._end_silence()
            return
        if before is None or not self._goes_on(before, leader, token, log_end, now):
            self._end_silence()
            self._silence = Silence(
                leader=leader,
                token=token,
                began_at=now,
                first_log_end=log_end,
                log_end=log_end,
                log_end_moved_at=now,
                viewed_at=now,
            )
            return
        has_moved = log_end > before.log_end
        self._silence = Silence(
            leader=leader,
            token=token,
            began_at=before.began_at,
            first_log_end=before.first_log_end,
            log_end=max(log_end, before.log_end),
            log_end_moved_at=now if has_moved else before.log_end_moved_at,
            viewed_at=now,
        )

    def on_probe(self, answer: ProbeAnswer, *, took_s: float, lag_s: float, now: float) -> None:
        """Record a probe: how long it took, and the event loop's average lag after it."""
        is_calm = lag_s <= CALM_LAG_S and took_s <= PROBE_TIMEOUT_S + PROBE_LATE_S
        if answer is ProbeAnswer.UNHEARD and is_calm and self._silence is not None:
            self._unheard += 1
            return
        self._unheard = 0
        self._probe_at = now + PROBE_PAUSE_S

    def on_rebuilt(self, now: float) -> None:
        """Record that the sockets are new; the next rebuild is possible after a pause."""
        is_long_ago = now - self._rebuilt_at >= 2 * MAX_REBUILD_PAUSE_S
        doubled_s = min(2 * self._pause_s, MAX_REBUILD_PAUSE_S)
        self._pause_s = REBUILD_PAUSE_S if is_long_ago else doubled_s
        self._rebuilt_at = now
        self._not_before = now + self._pause_s
        self._end_silence()

    def next_action(self, now: float) -> InboxAction:
        """Return the action to take now."""
        if not self._is_silent_for_long(now) or now < max(self._not_before, self._probe_at):
            return InboxAction.WAIT
        return InboxAction.REBUILD if self._unheard >= PROBES else InboxAction.PROBE

    def _end_silence(self) -> None:
        self._silence = None
        self._unheard = 0

    def _goes_on(self, before: Silence, leader: str, token: int, log_end: int, now: float) -> bool:
        """Whether the same leader has gone on appending, and the store could be read throughout."""
        if (leader, token) != (before.leader, before.token) or self._is_outdated(before, now):
            return False
        has_moved = log_end > before.log_end
        return has_moved or now - before.log_end_moved_at <= self._timings.stale_confirm_s

    def _is_outdated(self, silence: Silence, now: float) -> bool:
        return now - silence.viewed_at > MAX_POLL_GAP_INTERVALS * self._timings.log_end_poll_s

    def _is_silent_for_long(self, now: float) -> bool:
        silence = self._silence
        if silence is None or self._is_outdated(silence, now):
            return False
        return now - silence.began_at >= SILENT_CONFIRMS * self._timings.confirm_every_s
