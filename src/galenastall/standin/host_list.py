"""In-memory stand-in of the platform's list of hosts; it shows the past."""

import random
from collections import deque
from dataclasses import replace
from typing import Final

import trio
from returns.result import Failure, Result, Success

from galenastall.protocol.clock import Clock
from galenastall.standin.faults import HostListFaults, draw_fate
from galenastall.state.errors import Reason, StepError
from galenastall.state.hosts import HostListing, HostState, ListedHost
from galenastall.state.ids import HostId

PEER: Final = "host-list"
MAX_VERSIONS: Final = 4096


class MemoryHostList:
    """Hosts with a history; implements protocol.platform.HostListService."""

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        hosts: tuple[ListedHost, ...] = (),
        faults: HostListFaults | None = None,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self.faults = faults or HostListFaults()
        self._versions: deque[tuple[float, dict[HostId, ListedHost]]] = deque(maxlen=MAX_VERSIONS)
        self._versions.append((float("-inf"), {host.host_id: host for host in hosts}))

    def set_faults(self, faults: HostListFaults) -> None:
        """Replace the knobs."""
        self.faults = faults

    def put(self, host: ListedHost) -> None:
        """Add or replace a host; seen after the lag."""
        self._publish({**self.current(), host.host_id: host})

    def set_state(self, host_id: HostId, state: HostState) -> None:
        """Change a host's state; raises KeyError for an unknown host."""
        self.put(replace(self.current()[host_id], state=state))

    def remove(self, host_id: HostId) -> None:
        """Drop a host's row altogether; raises KeyError for an unknown host."""
        hosts = dict(self.current())
        del hosts[host_id]
        self._publish(hosts)

    def catch_up(self) -> None:
        """Show the present hosts at once, as if they had never been others."""
        hosts = self.current()
        self._versions.clear()
        self._versions.append((float("-inf"), hosts))

    def current(self) -> dict[HostId, ListedHost]:
        """Return the hosts as they are now, without the lag."""
        return self._versions[-1][1]

    async def fetch(self) -> Result[HostListing, StepError]:
        """Return the list as it was `lag_s` ago; see HostListService."""
        faults = self.faults
        fate = draw_fate(faults=faults, clock=self._clock, rng=self._rng)
        if faults.unreachable:
            return Failure(_error(Reason.UNREACHABLE))
        if fate.lost or fate.answer_lost or faults.delay_s >= faults.call_timeout_s:
            await trio.sleep(faults.call_timeout_s)
            return Failure(_error(Reason.TIMEOUT))
        await trio.sleep(faults.delay_s)
        if self.faults.outage:
            return Failure(_error(Reason.UNAVAILABLE))
        lag_s = self.faults.lag_s
        hosts = self._as_of(self._clock.now() - lag_s)
        return Success(HostListing(as_of=self._clock.wall() - lag_s, by_id=dict(hosts)))

    def _publish(self, hosts: dict[HostId, ListedHost]) -> None:
        self._versions.append((self._clock.now(), hosts))

    def _as_of(self, moment: float) -> dict[HostId, ListedHost]:
        for since, hosts in reversed(self._versions):
            if since <= moment:
                return hosts
        return self._versions[0][1]


def _error(reason: Reason) -> StepError:
    return StepError(step="host_list.fetch", peer=PEER, reason=reason)
