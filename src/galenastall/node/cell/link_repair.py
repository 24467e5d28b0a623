"""Probes this host's inbox while it hears no leader, and rebuilds the sockets of a deaf one."""

from typing import Final

import trio
from returns.result import Failure, Result

from galenastall.coordination.cell.deafness import (
    PROBE_TIMEOUT_S,
    DeafnessWatch,
    InboxAction,
    ProbeAnswer,
    Silence,
)
from galenastall.coordination.cell.timings import CellTimings
from galenastall.node.cell.loop_lag import LoopLag
from galenastall.protocol.cell.ports import StoreView
from galenastall.protocol.peers import RepairableLink
from galenastall.state.errors import Reason, StepError
from galenastall.transport.logs import Recorder

REBIND_EVERY_S: Final = 0.5
"""Interval between attempts to bind the address again."""


class LinkRepair:
    """Carries out what a `DeafnessWatch` decides."""

    def __init__(
        self, *, link: RepairableLink, timings: CellTimings, lag: LoopLag, recorder: Recorder
    ) -> None:
        """`lag` is that of this process's event loop."""
        self._link = link
        self._lag = lag
        self._recorder = recorder
        self._watch = DeafnessWatch(timings=timings)
        self._due = trio.Event()

    def on_heartbeat(self) -> None:
        """Record that a heartbeat has arrived."""
        self._watch.on_heartbeat(trio.current_time())

    def on_store_view(self, view: StoreView) -> None:
        """Record a view of the store, which is read only while no leader is heard."""
        now = trio.current_time()
        is_other = view.leader is not None and view.leader.host_id != self._link.host_id
        self._watch.on_store_view(
            leader=view.leader.host_id if view.leader and is_other else "",
            token=view.leader.token if view.leader else 0,
            log_end=view.log_end,
            now=now,
        )
        if self._watch.next_action(now) is not InboxAction.WAIT:
            self._due.set()

    async def run(self) -> None:
        """Probe and rebuild as needed, until cancelled."""
        while True:
            await self._due.wait()
            self._due = trio.Event()
            match self._watch.next_action(trio.current_time()):
                case InboxAction.PROBE:
                    await self._probe()
                case InboxAction.REBUILD:
                    self._record_deaf()
                    await self._rebuild()

    async def _probe(self) -> None:
        begun_at = trio.current_time()
        result = await self._link.probe_inbox(timeout_s=PROBE_TIMEOUT_S)
        now = trio.current_time()
        self._watch.on_probe(
            _answer_of(result), took_s=now - begun_at, lag_s=self._lag.seconds, now=now
        )

    async def _rebuild(self) -> None:
        while isinstance(result := await self._link.rebuild(), Failure):
            self._recorder.record("host.not_rebound", cause=str(result.failure()))
            await trio.sleep(REBIND_EVERY_S)
        self._watch.on_rebuilt(trio.current_time())

    def _record_deaf(self) -> None:
        silence = self._watch.silence
        if silence is None:
            return
        self._recorder.record(
            "host.deaf",
            peer=silence.leader,
            cause="its inbox accepts connections and reads nothing; the sockets are rebuilt",
            fields=self._fields_of(silence),
        )

    def _fields_of(self, silence: Silence) -> dict[str, str]:
        now = trio.current_time()
        age_s = self._watch.heartbeat_age_s(now)
        return {
            "token": str(silence.token),
            "heartbeat_age_s": "never" if age_s is None else f"{age_s:.2f}",
            "silent_s": f"{now - silence.began_at:.2f}",
            "log_end": str(silence.log_end),
            "log_end_moved_by": str(silence.log_end - silence.first_log_end),
            "log_end_moved_s_ago": f"{now - silence.log_end_moved_at:.2f}",
        }


def _answer_of(result: Result[None, StepError]) -> ProbeAnswer:
    if not isinstance(result, Failure):
        return ProbeAnswer.HEARD
    is_unheard = result.failure().reason is Reason.TIMEOUT
    return ProbeAnswer.UNHEARD if is_unheard else ProbeAnswer.NOT_MADE
