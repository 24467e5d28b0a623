"""Liveness of a data centre's roster members, by their heartbeats and the platform's host list."""

from collections.abc import Iterable
from dataclasses import dataclass

from galenastall.coordination.ownership.ownership_messages import Heartbeat
from galenastall.coordination.ownership.ownership_timings import OwnershipTimings
from galenastall.state.ids import HostId, Incarnation, Offset
from galenastall.state.ownership_records import Member, Members


@dataclass(frozen=True, kw_only=True, slots=True)
class PeerView:
    """Contents of a member's latest heartbeat."""

    sequence: int
    next_offset: Offset
    is_leaving: bool
    lacks_log: bool
    silent: frozenset[Incarnation]


class Membership:
    """Unresponsiveness by time-out, as heartbeats are regular; absence by the list's lag bound."""

    def __init__(self, *, me: Member, timings: OwnershipTimings) -> None:
        """Start without members."""
        self._me = me
        self.timings = timings
        """Replaced when operators change them."""
        self._last_seen_at: dict[Incarnation, float] = {}
        self._view_by_incarnation: dict[Incarnation, PeerView] = {}
        self._absent_since_by_host: dict[HostId, float] = {}
        self._gone: frozenset[HostId] = frozenset()

    def track(self, members: Members, now: float) -> None:
        """Track exactly these members; a new one counts as responsive until it times out."""
        known = {member.incarnation for member in members}
        for incarnation in known - self._last_seen_at.keys():
            self._last_seen_at[incarnation] = now
        for incarnation in self._last_seen_at.keys() - known:
            del self._last_seen_at[incarnation]
            self._view_by_incarnation.pop(incarnation, None)

    def reset_timeouts(self, now: float) -> None:
        """Count every member as seen now, since this process itself was paused."""
        for incarnation in self._last_seen_at:
            self._last_seen_at[incarnation] = now

    def on_heartbeat(self, heartbeat: Heartbeat, now: float) -> bool:
        """Process a heartbeat; return whether it is new."""
        known = self._view_by_incarnation.get(heartbeat.sender)
        if known is not None and heartbeat.sequence <= known.sequence:
            return False
        self._last_seen_at[heartbeat.sender] = now
        next_offset = (
            heartbeat.next_offset
            if known is None
            else max(known.next_offset, heartbeat.next_offset)
        )
        self._view_by_incarnation[heartbeat.sender] = PeerView(
            sequence=heartbeat.sequence,
            next_offset=next_offset,
            is_leaving=heartbeat.is_leaving,
            lacks_log=heartbeat.lacks_log,
            silent=frozenset(heartbeat.silent),
        )
        return True

    def on_listing(self, listed: frozenset[HostId], watched: Iterable[HostId], now: float) -> None:
        """Note which of the `watched` hosts a list fetched at `now` shows as live or leaving."""
        since = self._absent_since_by_host
        self._absent_since_by_host = {
            host: since.get(host, now) for host in watched if host not in listed
        }
        self._gone = frozenset(
            host
            for host, absent_since in self._absent_since_by_host.items()
            if now - absent_since > self.timings.list_lag_s
        )

    def view(self, incarnation: Incarnation) -> PeerView | None:
        """Return the contents of the member's latest heartbeat."""
        return self._view_by_incarnation.get(incarnation)

    def is_gone(self, host: HostId) -> bool:
        """Return whether the list has not shown the host for longer than it may lag."""
        return host in self._gone

    def is_unresponsive(self, incarnation: Incarnation, now: float) -> bool:
        """Return whether the member is unknown or was last seen too long ago."""
        if incarnation == self._me.incarnation:
            return False
        last_seen_at = self._last_seen_at.get(incarnation)
        return last_seen_at is None or now - last_seen_at > self.timings.suspect_s

    def silent(self, now: float) -> tuple[Incarnation, ...]:
        """Return the tracked members that are unresponsive, sorted."""
        return tuple(sorted(i for i in self._last_seen_at if self.is_unresponsive(i, now)))

    def reports_unresponsive(self, voter: Incarnation, subject: Incarnation, now: float) -> bool:
        """Return whether a responsive member reports another one as unresponsive."""
        if voter == self._me.incarnation:
            return self.is_unresponsive(subject, now)
        view = self._view_by_incarnation.get(voter)
        return view is not None and not self.is_unresponsive(voter, now) and subject in view.silent

    def live(self, members: Members, now: float) -> Members:
        """Return the members that can take on work."""
        return tuple(member for member in members if self._is_live(member, now))

    def _is_live(self, member: Member, now: float) -> bool:
        if member == self._me:
            return True
        view = self._view_by_incarnation.get(member.incarnation)
        if view is None or view.is_leaving or self.is_gone(member.host):
            return False
        return not self.is_unresponsive(member.incarnation, now)

    def eligible(self, live: Members) -> Members:
        """Return those that may be assigned more: one that can't read the log serves no shard."""
        return tuple(member for member in live if member == self._me or not self._lacks_log(member))

    def _lacks_log(self, member: Member) -> bool:
        view = self._view_by_incarnation.get(member.incarnation)
        return view is not None and view.lacks_log
