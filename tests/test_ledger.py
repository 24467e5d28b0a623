"""No sequence of calls but adoption can overcommit the ledger of a worker."""

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from galenastall.state.ids import TaskId
from galenastall.state.ledger import Ledger, LedgerPhase
from galenastall.state.resources import NOTHING, Resources

amounts = st.builds(
    Resources,
    cores_milli=st.integers(0, 6000),
    memory_mb=st.integers(0, 6000),
    accelerators=st.integers(0, 3),
)
task_ids = st.integers(0, 9).map(lambda number: TaskId(f"j/{number}"))
initial_phases = st.sampled_from([LedgerPhase.HELD, LedgerPhase.STARTING])
phases = st.sampled_from(list(LedgerPhase))


class LedgerMachine(RuleBasedStateMachine):
    """Any sequence of public calls, checked against a simple model."""

    def __init__(self) -> None:
        super().__init__()
        self.capacity = Resources(cores_milli=8000, memory_mb=8000, accelerators=2)
        self.ledger = Ledger(capacity=self.capacity)
        self.amounts_by_task: dict[TaskId, Resources] = {}
        self.has_adopted = False

    @initialize(capacity=amounts)
    def begin(self, capacity: Resources) -> None:
        self.capacity = capacity
        self.ledger = Ledger(capacity=capacity)

    def total(self) -> Resources:
        return sum(self.amounts_by_task.values(), NOTHING)

    @rule(task_id=task_ids, amount=amounts, phase=initial_phases)
    def reserve(self, task_id: TaskId, amount: Resources, phase: LedgerPhase) -> None:
        fits = (self.total() + amount).fits_in(self.capacity)
        was_over = not self.total().fits_in(self.capacity)
        expected = task_id not in self.amounts_by_task and fits and not was_over
        assert self.ledger.reserve(task_id, amount, phase) is expected
        if expected:
            self.amounts_by_task[task_id] = amount

    @rule(task_id=task_ids, amount=amounts)
    def adopt(self, task_id: TaskId, amount: Resources) -> None:
        if self.ledger.adopt(task_id, amount):
            assert task_id not in self.amounts_by_task
            self.amounts_by_task[task_id] = amount
            self.has_adopted = True

    @rule(task_id=task_ids, amount=amounts)
    def resize(self, task_id: TaskId, amount: Resources) -> None:
        was_over = not self.total().fits_in(self.capacity)
        if not self.ledger.resize(task_id, amount):
            return
        before = self.amounts_by_task[task_id]
        assert not was_over or amount.fits_in(before)
        self.amounts_by_task[task_id] = amount

    @rule(task_id=task_ids)
    def release(self, task_id: TaskId) -> None:
        assert self.ledger.release(task_id) == self.amounts_by_task.pop(task_id, None)

    @rule(task_id=task_ids, phase=phases)
    def set_phase(self, task_id: TaskId, phase: LedgerPhase) -> None:
        entry = self.ledger.entry(task_id)
        before = None if entry is None else entry.phase
        if self.ledger.set_phase(task_id, phase):
            assert before is not None
            assert phase is not LedgerPhase.HELD
            assert before is not LedgerPhase.HELD or phase is LedgerPhase.STARTING

    @invariant()
    def is_exact(self) -> None:
        assert self.ledger.free == self.capacity - self.total()
        assert set(self.ledger.tasks()) == set(self.amounts_by_task)

    @invariant()
    def is_over_only_by_adoption(self) -> None:
        assert self.has_adopted or not self.ledger.is_overcommitted


TestLedgerMachine = LedgerMachine.TestCase


class TestLedger:
    def test_negative_amounts_are_refused(self) -> None:
        ledger = Ledger(capacity=Resources(cores_milli=1))
        with pytest.raises(ValueError, match="amount"):
            ledger.reserve(TaskId("j/0"), Resources(cores_milli=-1), LedgerPhase.HELD)
        with pytest.raises(ValueError, match="capacity"):
            Ledger(capacity=Resources(memory_mb=-1))

    def test_nothing_begins_as_running(self) -> None:
        ledger = Ledger(capacity=Resources(cores_milli=1))
        with pytest.raises(ValueError, match="phase"):
            ledger.reserve(TaskId("j/0"), Resources(), LedgerPhase.RUNNING)
