"""Which of a leader's heartbeats carry the addresses of all hosts."""

from typing import Final

from galenastall.state.ids import HostId

REPEAT_AFTER_HEARTBEATS: Final = 14
"""Beats after which a host is told all addresses again, for one that carried them may get lost:
2 s, with a beat each 0.15 s."""


class AddressBroadcast:
    """What each host was told in this term.

    Hosts are told all addresses when these change, and again in turn. With all of them in each beat
    a leader of 97 hosts sent 17 Mbit/s, computed from 35 bytes an address, through a link that
    carries 20.
    """

    def __init__(self) -> None:
        """Start a term in which nobody was told anything."""
        self._current: dict[str, str] = {}
        self._sent_by_host: dict[HostId, dict[str, str]] = {}
        self._heartbeats_until_repeat: dict[HostId, int] = {}

    def set_current(self, addresses_by_host: dict[str, str]) -> None:
        """Take the addresses of all hosts as they are now."""
        if addresses_by_host != self._current:
            self._current = addresses_by_host

    def forget(self, host: HostId) -> None:
        """Have a host told again: its process has just started."""
        self._sent_by_host.pop(host, None)

    def next_for(self, host: HostId) -> dict[str, str]:
        """Return what the next beat tells a host: all addresses, or none."""
        left = self._heartbeats_until_repeat.get(host, 0)
        if left > 0 and self._sent_by_host.get(host) is self._current:
            self._heartbeats_until_repeat[host] = left - 1
            return {}
        first_repeat = 1 + len(self._heartbeats_until_repeat) % REPEAT_AFTER_HEARTBEATS
        is_new = host not in self._heartbeats_until_repeat
        self._heartbeats_until_repeat[host] = first_repeat if is_new else REPEAT_AFTER_HEARTBEATS
        self._sent_by_host[host] = self._current
        return self._current
