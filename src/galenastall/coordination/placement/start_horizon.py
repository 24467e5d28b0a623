"""Until when starts that were sent to a worker may still take effect there.

A start delayed in the network may arrive after its sender was replaced as owner, and a worker
executes any start that it receives. So a new owner sends a worker nothing until the earlier owners'
starts were all answered or can no longer take effect.
"""

from dataclasses import dataclass, field

from galenastall.state.ids import Epoch, HostId


@dataclass(slots=True)
class _Tenure:
    epoch: Epoch
    inherited_until: float
    untils_by_call: dict[int, float] = field(default_factory=dict)


class StartHorizon:
    """The calls of this process that may still start tasks, by worker; times are wall seconds."""

    def __init__(self) -> None:
        """Start without workers."""
        self._tenures_by_worker: dict[HostId, _Tenure] = {}
        self._calls = 0

    def begin(
        self, worker: HostId, *, epoch: Epoch, last_epoch: Epoch | None, until: float
    ) -> None:
        """Begin to own a worker.

        `until` is the time after which no start of earlier owners can take effect. If this process
        was the last owner, under `last_epoch`, its own inherited time and unanswered calls are used
        instead; they must be, since the ledger that reserved capacity for those calls is gone.
        """
        known = self._tenures_by_worker.get(worker)
        if known is not None and known.epoch == last_epoch:
            known.epoch = epoch
            known.inherited_until = max(known.inherited_until, *known.untils_by_call.values(), 0.0)
            return
        self._tenures_by_worker[worker] = _Tenure(epoch, until)

    def shorten(self, worker: HostId, *, epoch: Epoch, until: float) -> None:
        """Apply the last owner's answer on when its starts are over; ignored for other epochs."""
        tenure = self._tenures_by_worker.get(worker)
        if tenure is not None and tenure.epoch == epoch:
            tenure.inherited_until = min(tenure.inherited_until, until)

    def sent(self, worker: HostId, *, until: float) -> int:
        """Record a call that is about to be sent; return its number for `answered`."""
        self._calls += 1
        tenure = self._tenures_by_worker.setdefault(worker, _Tenure(Epoch(0), 0.0))
        tenure.untils_by_call[self._calls] = until
        return self._calls

    def answered(self, worker: HostId, call: int) -> None:
        """Record that a call took effect or never will."""
        self._tenures_by_worker[worker].untils_by_call.pop(call, None)

    def inherited_until(self, worker: HostId) -> float:
        """Return the time after which no start of earlier owners can take effect."""
        tenure = self._tenures_by_worker.get(worker)
        return tenure.inherited_until if tenure is not None else 0.0

    def left_s(self, worker: HostId, *, epoch: Epoch, now: float) -> float | None:
        """Return for how many seconds starts up to `epoch` may still take effect.

        None unless `epoch` is the last one under which this process owned the worker.
        """
        tenure = self._tenures_by_worker.get(worker)
        if tenure is None or tenure.epoch != epoch:
            return None
        calls = tenure.untils_by_call
        for call in [call for call, until in calls.items() if until <= now]:
            del calls[call]
        return max(0.0, tenure.inherited_until - now, *(until - now for until in calls.values()))
