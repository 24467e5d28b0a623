"""Reasons that the last decision recorded for steps that it did not start."""

from galenastall.coordination.cell.wait_reasons import WaitReason
from galenastall.state.cell.jobs import StepKey


class WaitObservations:
    """Wait reasons by step, of one decision."""

    def __init__(self) -> None:
        """Create the state before the first decision."""
        self._reasons_by_step: dict[StepKey, WaitReason] = {}
        self._of_others = WaitReason.NOT_LOOKED_AT

    def begin(self, *, is_any_open: bool) -> None:
        """Begin a decision, which considers no step if no executor is open."""
        self._reasons_by_step.clear()
        self._of_others = WaitReason.NOT_LOOKED_AT if is_any_open else WaitReason.NONE_OPEN

    def hold(self) -> None:
        """Note that nothing is placed now."""
        self._reasons_by_step.clear()
        self._of_others = WaitReason.STORE_AWAY

    def note(self, step: StepKey, reason: WaitReason) -> None:
        """Record why a step, or part of it, was not started."""
        self._reasons_by_step[step] = reason

    def reason_of(self, step: StepKey) -> WaitReason:
        """Return why a step waits."""
        return self._reasons_by_step.get(step, self._of_others)
