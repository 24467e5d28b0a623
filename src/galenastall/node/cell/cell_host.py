"""An entry host of a cell, assembled from its parts."""

from dataclasses import dataclass
from math import inf
from typing import Final, Protocol

import trio

from galenastall.coordination.cell.election import Election
from galenastall.coordination.cell.timings import CellTimings
from galenastall.node.cell.advice_proxy import AdviceProxy
from galenastall.node.cell.caller_handler import CallerHandler
from galenastall.node.cell.config_watcher import ConfigWatcher
from galenastall.node.cell.leader_term import TermParts
from galenastall.node.cell.leadership import Leadership
from galenastall.node.cell.link_repair import LinkRepair
from galenastall.node.cell.membership import Membership
from galenastall.protocol.cell.executor_port import ExecutorPort
from galenastall.protocol.cell.ports import (
    AdvisorPort,
    ConfigPort,
    FleetPort,
    HostsPort,
    StatePort,
)
from galenastall.protocol.clock import Clock
from galenastall.protocol.peers import RepairableLink
from galenastall.state.ids import HostId
from galenastall.transport.logs import Recorder

HANDOVER_S: Final = 0.3
"""How long a stopping leader waits for its successor to take over before it drains."""


@dataclass(frozen=True, kw_only=True, slots=True)
class CellPorts:
    """The platform's ports, implemented by its adapter."""

    state: StatePort
    fleet: FleetPort
    hosts: HostsPort
    config: ConfigPort
    executors: ExecutorPort
    advisor: AdvisorPort | None


@dataclass(frozen=True, kw_only=True, slots=True)
class CellHostSettings:
    """Identity and election parameters of a host."""

    host_id: HostId
    peer_address: str
    """`IP:port` at which peers reach its link."""
    weight: float
    """Cores available for leading; hosts with a larger weight are preferred as leaders."""
    claim_delay_s: float
    """Delay in seconds before this host claims the leadership, which orders claimants."""
    may_start: bool
    """Whether the whole system may be starting for the first time."""
    link_bytes_per_s: float = inf
    """What its network link carries."""


class RunnableLink(RepairableLink, Protocol):
    """A peer link with a `run` method."""

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled; reports started once peers can connect."""


class CellHost:
    """Serves callers' operations, takes part in the election, and leads when elected."""

    def __init__(
        self,
        *,
        settings: CellHostSettings,
        ports: CellPorts,
        link: RunnableLink,
        timings: CellTimings,
        clock: Clock,
        recorder: Recorder,
    ) -> None:
        """Create the parts; `run` starts them."""
        self._recorder = recorder
        self.link = link
        self.config = ConfigWatcher(port=ports.config, link=self.link, recorder=recorder)
        AdviceProxy(link=self.link, advisor=ports.advisor)
        self.members = Membership(
            link=self.link,
            address=settings.peer_address,
            weight=settings.weight,
            config=self.config,
        )
        self.leadership = Leadership(
            host_id=settings.host_id,
            members=self.members,
            election=Election(
                timings=timings,
                jitter_s=settings.claim_delay_s,
                may_start=settings.may_start,
                weight=settings.weight,
            ),
            parts=TermParts(
                state=ports.state,
                fleet=ports.fleet,
                hosts=ports.hosts,
                host_id=settings.host_id,
                executors=ports.executors,
                link=self.link,
                clock=clock,
                recorder=recorder,
                timings=timings,
                config=self.config.current,
                refresh_config=self.config.look,
                available_hosts=self._available_hosts,
                lag_s=lambda: self.members.lag.seconds,
                link_bytes_per_s=settings.link_bytes_per_s,
            ),
            timings=timings,
            repair=LinkRepair(
                link=self.link, timings=timings, lag=self.members.lag, recorder=recorder
            ),
            on_newer_config=lambda version: self.config.note_version(
                version, self.leadership.leader
            ),
        )
        self.caller_handler = CallerHandler(
            host_id=settings.host_id, link=self.link, leadership=self.leadership, config=self.config
        )

    def _available_hosts(self) -> tuple[HostId, ...]:
        return self.leadership.available_hosts()

    @property
    def is_ready(self) -> bool:
        """Whether new callers should be routed here; False in an isolated data centre."""
        return self.config.config is not None and self.leadership.is_confirmed

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Run all parts until cancelled."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self.link.run)
            nursery.start_soon(self.config.run)
            nursery.start_soon(self.leadership.run)
            task_status.started()
            self._recorder.record("host.started")

    async def leave(self, timeout_s: float) -> None:
        """Hand over the leadership, within `timeout_s` plus `HANDOVER_S`.

        Callers' operations are still served, through the new leader.
        """
        was_leading = self.leadership.term is not None
        await self.leadership.leave(timeout_s)
        if was_leading:
            await trio.sleep(HANDOVER_S)
