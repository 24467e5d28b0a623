"""A task in the leader's memory: its last run, and what is known from earlier runs."""

from enum import Enum, auto
from typing import Final

from galenastall.state.cell.jobs import TaskKey
from galenastall.state.cell.phases import TaskPhase

DONE_PERCENT: Final = 100
"""Progress of a completed run; as a rate, full speed."""


class StartState(Enum):
    """What is known about the start of an assigned task's run."""

    WRITING = auto()
    """Its assignment is not durable yet; no order has been sent."""
    SENT = auto()
    """The order was sent and has not been answered yet."""
    UNSURE = auto()
    """The order got no answer; it may still be carried out."""
    STARTED = auto()
    """The executor has confirmed it."""
    INHERITED = auto()
    """Assigned by an earlier leader; the first listing under this leader's token shows whether it
    exists."""


class TaskRun:
    """A task and its last run."""

    __slots__ = (
        "assigned_at",
        "assigned_ms",
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
        "unanswered_by",
    )

    def __init__(self, *, key: TaskKey) -> None:
        """Create a task that has not been run."""
        self.key = key
        self.phase = TaskPhase.WAITING
        self.run = 0
        self.executor_id = ""
        self.failures = 0
        self.checkpoint = ""
        self.checkpoint_at = float("-inf")
        """Leader's time at which it arrived; unknown for one from an earlier leader."""
        self.state = StartState.WRITING
        self.tries = 0
        self.confirmed_seq = 0
        """Sequence number after which a listing that lacks the run proves that it has ended."""
        self.is_stopping = False
        self.stop_sent_at = 0.0
        self.stop_seq = 0
        """Sequence number at which its stop was answered; 0 before that."""
        self.percent = 0
        self.percent_at = 0.0
        """Leader's time at which its progress last increased."""
        self.figure = 0
        """Last tail latency in milliseconds of a task that serves requests; processor use of other
        tasks."""
        self.rate_percent = DONE_PERCENT
        """Rate that its executor has confirmed, in percent of full speed."""
        self.sent_rate_percent = DONE_PERCENT
        self.rate_sent_at = float("-inf")
        self.listed_at = 0.0
        """Leader's time of the last listing that showed it in progress."""
        self.unanswered_by = ""
        """Executor that left a start without an answer, and may still carry it out."""
        self.avoided: frozenset[str] = frozenset()
        """Executors on which its runs failed, were refused or stalled; others are tried first."""
        self.not_before = float("-inf")
        """Leader's time before which it is not started again, after several refusals."""
        self.is_given_up = False
        """Whether its last run was stopped as stalled; counted when the next run is assigned."""
        self.given_up_runs = 0
        """Runs before the last one that were stopped as stalled."""
        self._init_crashes()
        self.assigned_at = 0.0
        """Leader's time at which this run was assigned to its executor."""
        self.assigned_ms = 0
        """The same on the cell's clock, also for a run of an earlier leader; 0 if unknown."""
        self.first_percent = 0
        self.first_seen_at: float | None = None
        """Leader's time of the first listing that showed this run in progress."""
        self.began_at: float | None = None
        """Leader's time at which the executor first confirmed this run, by an answer or a listing.
        """

    def _init_crashes(self) -> None:
        self.crashes = 0
        """Number of executors that crashed while running it."""
        self.blame = 0
        """Total weight of these crashes that is attributed to it."""
        self.is_suspect = False
        """Whether its next run must start where no other run is starting."""

    def assign(self, *, run: int, executor_id: str, now: float) -> None:
        """Assign a new run of the task to an executor."""
        self.given_up_runs += int(self.is_given_up)
        self.is_given_up = False
        self.phase = TaskPhase.ASSIGNED
        self.run = run
        self.executor_id = executor_id
        self.state = StartState.WRITING
        self.tries = 0
        self.unanswered_by = ""
        self.confirmed_seq = 0
        self.is_stopping = False
        self.stop_seq = 0
        self.percent = 0
        self.percent_at = self.assigned_at = now
        self.first_seen_at = None
        self.began_at = None
        self.rate_percent = DONE_PERCENT
        self.sent_rate_percent = DONE_PERCENT

    @property
    def all_given_up_runs(self) -> int:
        """Runs stopped as stalled, the last one included once it has ended."""
        is_last_over = self.is_given_up and self.phase is not TaskPhase.ASSIGNED
        return self.given_up_runs + int(is_last_over)

    def record_progress(self, *, percent: int, now: float, figure: int = 0) -> None:
        """Record progress from a listing that shows the run in progress."""
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
        """Whether the leader has ordered a reduced rate, confirmed or not."""
        return min(self.rate_percent, self.sent_rate_percent) < DONE_PERCENT

    @property
    def has_progressed(self) -> bool:
        """Whether it has progressed since its first listing."""
        return self.percent > self.first_percent

    @property
    def at_work_s(self) -> float:
        """How long listings have shown its run in progress, in seconds; 0 before the first."""
        if self.began_at is None or self.first_seen_at is None:
            return 0.0
        return self.listed_at - self.began_at

    def avoid(self, executor_id: str) -> None:
        """Prefer other executors for its next runs."""
        self.avoided = self.avoided | {executor_id}

    def save(self, checkpoint: str, *, now: float) -> None:
        """Record a checkpoint unless it is empty."""
        if checkpoint:
            self.checkpoint = checkpoint
            self.checkpoint_at = now

    def ends_at(self) -> float | None:
        """Return when the run should end at its speed so far; None before that is known."""
        gained = self.percent - self.first_percent
        if self.first_seen_at is None or gained <= 0:
            return None
        pace_s = (self.percent_at - self.first_seen_at) / gained
        return self.percent_at + pace_s * (DONE_PERCENT - self.percent)

    def release(self) -> None:
        """Return to waiting after its last run has ended."""
        self.phase = TaskPhase.WAITING
        self.executor_id = ""
        self.is_stopping = False
