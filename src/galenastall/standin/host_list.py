"""In-memory stand-in of the platform's host list, which lags behind changes."""

import random
from collections import deque
from dataclasses import dataclass, field, replace
from typing import Final

import msgspec
import trio
import xxhash
from returns.result import Failure, Result, Success

from galenastall.protocol.clock import Clock
from galenastall.standin.faults import HostListFaults, draw_call_outcome
from galenastall.state.errors import Reason, StepError
from galenastall.state.hosts import HostKind, HostListing, HostState, ListedHost
from galenastall.state.ids import DataCentre, HostId

PEER: Final = "host-list"
MAX_VERSIONS: Final = 4096


class MemoryHostList:
    """Versioned list of hosts; implements protocol.platform.HostListService."""

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
        self._versions: deque[_Version] = deque(maxlen=MAX_VERSIONS)
        self._versions.append(
            _Version(since=float("-inf"), hosts={host.host_id: host for host in hosts})
        )

    def set_faults(self, faults: HostListFaults) -> None:
        """Replace the fault settings."""
        self.faults = faults

    def put(self, host: ListedHost) -> None:
        """Add or replace a host; visible after the lag."""
        self._publish({**self.current(), host.host_id: host})

    def set_state(self, host_id: HostId, state: HostState) -> None:
        """Change a host's state; raises KeyError for an unknown host."""
        self.put(replace(self.current()[host_id], state=state))

    def remove(self, host_id: HostId) -> None:
        """Remove a host's row; raises KeyError for an unknown host."""
        hosts = dict(self.current())
        del hosts[host_id]
        self._publish(hosts)

    def catch_up(self) -> None:
        """Make the present hosts visible at once and drop all earlier versions."""
        hosts = self.current()
        self._versions.clear()
        self._versions.append(_Version(since=float("-inf"), hosts=hosts))

    def current(self) -> dict[HostId, ListedHost]:
        """Return the present hosts, without the lag."""
        return self._versions[-1].hosts

    async def fetch(
        self,
        *,
        data_centre: DataCentre | None = None,
        kind: HostKind | None = None,
        known_version: str | None = None,
    ) -> Result[HostListing, StepError]:
        """Return the list as it was `lag_s` ago; see HostListService."""
        faults = self.faults
        outcome = draw_call_outcome(faults=faults, clock=self._clock, rng=self._rng)
        if faults.unreachable:
            return Failure(_error(Reason.UNREACHABLE))
        if outcome.lost or outcome.answer_lost or faults.delay_s >= faults.call_timeout_s:
            await trio.sleep(faults.call_timeout_s)
            return Failure(_error(Reason.TIMEOUT))
        await trio.sleep(faults.delay_s)
        if self.faults.outage:
            return Failure(_error(Reason.UNAVAILABLE))
        lag_s = self.faults.lag_s
        selection = self._as_of(self._clock.now() - lag_s).selection(data_centre, kind)
        is_unchanged = known_version == selection.name
        return Success(
            HostListing(
                as_of=self._clock.wall() - lag_s,
                by_id={} if is_unchanged else dict(selection.hosts),
                version=selection.name,
                is_unchanged=is_unchanged,
            )
        )

    def _publish(self, hosts: dict[HostId, ListedHost]) -> None:
        self._versions.append(_Version(since=self._clock.now(), hosts=hosts))

    def _as_of(self, moment: float) -> "_Version":
        for version in reversed(self._versions):
            if version.since <= moment:
                return version
        return self._versions[0]


@dataclass(frozen=True, kw_only=True, slots=True)
class _Selection:
    """Some rows of a version, named by a hash of their content, which restarts don't change."""

    name: str
    hosts: dict[HostId, ListedHost]


@dataclass(frozen=True, kw_only=True, slots=True)
class _Version:
    """All rows from a point in time on, and the selections requested so far."""

    since: float
    """Runtime seconds."""
    hosts: dict[HostId, ListedHost]
    selections: dict[tuple[DataCentre | None, HostKind | None], _Selection] = field(
        default_factory=dict
    )

    def selection(self, data_centre: DataCentre | None, kind: HostKind | None) -> _Selection:
        """Return the rows of a data centre and a kind; None selects all."""
        found = self.selections.get((data_centre, kind))
        if found is not None:
            return found
        hosts = {
            host_id: host
            for host_id, host in self.hosts.items()
            if data_centre in (None, host.data_centre) and kind in (None, host.kind)
        }
        rows = sorted(hosts.values(), key=lambda host: host.host_id)
        name = xxhash.xxh3_128_hexdigest(msgspec.json.encode(rows))
        selection = self.selections[data_centre, kind] = _Selection(name=name, hosts=hosts)
        return selection


def _error(reason: Reason) -> StepError:
    return StepError(step="host_list.fetch", peer=PEER, reason=reason)
