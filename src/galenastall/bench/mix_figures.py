"""What a run of a mix is accounted by, and the figures that come of it."""

from collections import defaultdict
from dataclasses import dataclass, field

from galenastall.state.work import TaskSpec, Urgency, Workload


@dataclass(frozen=True, kw_only=True, slots=True)
class MixFigures:
    """What one run gave."""

    waits_by_class: dict[str, list[float]]
    unstarted_by_class: dict[str, int]
    packing: float
    """Reserved over capacity of the workers that hold anything, mean of cores and memory."""
    used_of_reserved: float
    stranded: float
    """Free cores on workers where no waiting task fits, of all cores, while tasks wait."""
    overcommits: int
    memory_full: int
    """Usage reports at which a worker's tasks truly used more memory than it has."""
    commands: dict[str, int]
    messages: int
    core_cpu_s: float
    done: int
    core_s_done: float
    refused: int
    wrongly_refused: int
    given_up: int
    wrongly_given_up: int
    """Given up although neither the job nor its size was at fault."""
    cancels: dict[str, int]
    cancel_us: float
    quarantined: tuple[str, ...]


@dataclass(slots=True)
class MixBooks:
    """Running totals of a run; the driver adds to them."""

    reserved_s: float = 0.0
    held_s: float = 0.0
    used: float = 0.0
    used_of: float = 0.0
    stranded_s: float = 0.0
    waiting_s: float = 0.0
    overcommits: int = 0
    memory_full: int = 0
    messages: int = 0
    done: int = 0
    core_s_done: float = 0.0
    refused: int = 0
    wrongly_refused: int = 0
    given_up: int = 0
    wrongly_given_up: int = 0
    cpu_ns: int = 0
    cancel_ns: int = 0
    commands: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    cancels: dict[str, int] = field(default_factory=lambda: defaultdict(int))


def group_of(task: TaskSpec) -> str:
    """Return the class under which a task's wait is reported."""
    if task.urgency is Urgency.URGENT or task.workload is Workload.BATCH:
        return task.urgency.name.lower()
    return task.workload.value


def hash_of(text: str) -> int:
    """Return a number that is the same in every process."""
    return sum(ord(letter) * (place + 1) for place, letter in enumerate(text))
