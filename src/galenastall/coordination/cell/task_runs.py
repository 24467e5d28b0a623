"""A task in the leader's memory: its last run, and what earlier runs told of it."""

from enum import Enum, auto
from typing import Final

from galenastall.state.cell.jobs import TaskKey
from galenastall.state.cell.phases import TaskPhase

DONE_PERCENT: Final = 100
"""What the progress of a run that is done would be."""


class StartState(Enum):
    """What is known of an assigned task's run."""

    WRITING = auto()
    """Its assignment is not durable; no order has left."""
    SENT = auto()
    """An order is on its way; no answer yet."""
    UNSURE = auto()
    """The order got no answer; it may be carried out late."""
    STARTED = auto()
    """The executor has confirmed it."""
    INHERITED = auto()
    """Assigned by an earlier leader; the first listing under this leader's token decides."""


class TaskRun:
    """One task and its last run."""

    __slots__ = (
        "assigned_at",
        "avoided",
        "began_at",
        "blame",
        "checkpoint",
        "checkpoint_at",
        "confirmed_seq",
        "crashes",
        "executor_id",
        "failures",
        "figure",
        "first_percent",
        "first_seen_at",
        "given_up_runs",
        "is_given_up",
        "is_stopping",
        "is_suspect",
        "key",
        "listed_at",
        "not_before",
        "percent",
        "percent_at",
        "phase",
        "rate_percent",
        "rate_sent_at",
        "run",
        "sent_rate_percent",
        "state",
        "stop_sent_at",
        "stop_seq",
        "tries",
    )

    def __init__(self, *, key: TaskKey) -> None:
        """Create a task that has had no run."""
        self.key = key
        self.phase = TaskPhase.WAITING
        self.run = 0
        self.executor_id = ""
        self.failures = 0
        self.checkpoint = ""
        self.checkpoint_at = float("-inf")
        """Leader's time at which it came; of an earlier leader's no time is known."""
        self.state = StartState.WRITING
        self.tries = 0
        self.confirmed_seq = 0
        """Sequence number after which a listing that lacks the run proves that it has ended."""
        self.is_stopping = False
        self.stop_sent_at = 0.0
        self.stop_seq = 0
        """Sequence number of the answer to its stop; 0 before."""
        self.percent = 0
        self.percent_at = 0.0
        """Leader's time at which the share of its work done last rose."""
        self.figure = 0
        """Last tail in milliseconds of a task that serves; processor use of others."""
        self.rate_percent = DONE_PERCENT
        """Pace that its executor has confirmed."""
        self.sent_rate_percent = DONE_PERCENT
        self.rate_sent_at = float("-inf")
        self.listed_at = 0.0
        """Leader's time of the last listing that showed it at work."""
        self.avoided: frozenset[str] = frozenset()
        """Executors that failed or refused runs of it, or where one stood still; others are tried
        first."""
        self.not_before = float("-inf")
        """Leader's time before which it is not tried again: executors have refused it one after the
        other."""
        self.is_given_up = False
        """Whether its last run was stopped for standing still; counted with its next start."""
        self.given_up_runs = 0
        """Runs before the last that were stopped for standing still."""
        self._init_crashes()
        self.assigned_at = 0.0
        """Leader's time at which this run was given its executor."""
        self.first_percent = 0
        self.first_seen_at: float | None = None
        """Leader's time of the first listing that showed this run at work."""
        self.began_at: float | None = None
        """Leader's time at which the executor first confirmed this run, by an answer or a listing.
        """

    def _init_crashes(self) -> None:
        self.crashes = 0
        """Executors that have crashed under it."""
        self.blame = 0
        """How much of these crashes is put down to it."""
        self.is_suspect = False
        """Whether its next run has to begin apart from others."""

    def assign(self, *, run: int, executor_id: str, now: float) -> None:
        """Give the task a new run on an executor."""
        self.given_up_runs += int(self.is_given_up)
        self.is_given_up = False
        self.phase = TaskPhase.ASSIGNED
        self.run = run
        self.executor_id = executor_id
        self.state = StartState.WRITING
        self.tries = 0
        self.confirmed_seq = 0
        self.is_stopping = False
        self.stop_seq = 0
        self.percent = 0
        self.percent_at = self.assigned_at = now
        self.first_seen_at = None
        self.began_at = None
        self.rate_percent = DONE_PERCENT
        self.sent_rate_percent = DONE_PERCENT

    def record_progress(self, *, percent: int, now: float, figure: int = 0) -> None:
        """Take a listing that shows the run at work."""
        self.state = StartState.STARTED
        self.figure = figure
        self.listed_at = now
        if self.began_at is None:
            self.began_at = now
        if self.first_seen_at is None:
            self.first_percent = self.percent = percent
            self.first_seen_at = self.percent_at = now
        elif percent > self.percent:
            self.percent = percent
            self.percent_at = now
        elif self.is_throttled:
            self.percent_at = now

    @property
    def is_throttled(self) -> bool:
        """Whether it works, or is to work, at a pace that the leader has ordered."""
        return min(self.rate_percent, self.sent_rate_percent) < DONE_PERCENT

    @property
    def has_progressed(self) -> bool:
        """Whether progress was seen since its first listing."""
        return self.percent > self.first_percent

    @property
    def at_work_s(self) -> float:
        """For how long a listing has shown its run at work, in seconds; 0 before one does."""
        if self.began_at is None or self.first_seen_at is None:
            return 0.0
        return self.listed_at - self.began_at

    def avoid(self, executor_id: str) -> None:
        """Have its next runs tried elsewhere first."""
        self.avoided = self.avoided | {executor_id}

    def save(self, checkpoint: str, *, now: float) -> None:
        """Take a checkpoint, if there is one."""
        if checkpoint:
            self.checkpoint = checkpoint
            self.checkpoint_at = now

    def ends_at(self) -> float | None:
        """Return when the run should end at the pace seen so far; None before it is known."""
        gained = self.percent - self.first_percent
        if self.first_seen_at is None or gained <= 0:
            return None
        pace_s = (self.percent_at - self.first_seen_at) / gained
        return self.percent_at + pace_s * (DONE_PERCENT - self.percent)

    def release(self) -> None:
        """Wait again: its last run is known to have ended."""
        self.phase = TaskPhase.WAITING
        self.executor_id = ""
        self.is_stopping = False
