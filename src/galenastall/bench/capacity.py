"""Work out what each role costs at the letter's size, from measured slopes.

A line names what is counted, the mechanism that carries it, and gives a value for a fleet. Whatever
a line reads (slopes, assumptions) is noted while it is worked out, so that its cell says by itself
whether it is computed from measured slopes, assumed, or can't be given since a slope is missing.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, fields, replace
from enum import StrEnum
from typing import Final

from galenastall.bench.slopes import Slope
from galenastall.state.errors import GalenastallError
from galenastall.state.registry import Registry

CPU_BUDGET_PERCENT: Final = 3.4
"""Of a core, for control, by each entry host."""
MEMORY_BUDGET_MB: Final = 256.0
WIRE_BUDGET_KB_S: Final = 3.0
URGENT_START_BUDGET_S: Final = 2.3
IN_FORCE_BUDGET_S: Final = 12.0
LOG_APPENDS_PER_S: Final = 300.0
"""The least that the `several hundred` appends a second of the platform's log can mean."""


@dataclass(frozen=True, kw_only=True, slots=True)
class FleetSize:
    """What to design for; all from the users' letter but the last two."""

    workers: int = 2800
    jobs_per_day: int = 12_000
    starts_per_s: float = 770.0
    running_tasks: int = 20_000
    service_share: float = 0.2
    teams: int = 260
    regions: int = 5
    data_centres: int = 11
    changes_per_day: int = 1500
    failures_per_day: int = 51
    restarts_per_day: int = 210
    hosts_per_data_centre: int = 9
    """Entry hosts; the page says why."""
    peak_share_factor: float = 2.0
    """The busiest data centre's share of the peak over an even share; assumed."""

    @property
    def workers_here(self) -> float:
        """Workers of one data centre."""
        return self.workers / self.data_centres

    @property
    def running_here(self) -> float:
        """Running tasks of one data centre."""
        return self.running_tasks / self.data_centres

    @property
    def peak_starts_here(self) -> float:
        """Task starts a second in the busiest data centre at the peak."""
        return self.starts_per_s / self.data_centres * self.peak_share_factor

    @property
    def entry_hosts(self) -> int:
        """Entry hosts of the whole fleet."""
        return self.hosts_per_data_centre * self.data_centres


@dataclass(frozen=True, kw_only=True, slots=True)
class Assumption:
    """A number that nobody has measured, with its reason."""

    value: float
    unit: str
    why: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Assumptions:
    """All numbers that lines use and that no slope gives; settings are named as such."""

    renew_every_s: Assumption = Assumption(
        value=10.0, unit="s", why="setting: a third of a 30 s lease"
    )
    listing_every_s: Assumption = Assumption(
        value=1.0, unit="s", why="setting: how often an owner lists a worker"
    )
    listing_share: Assumption = Assumption(
        value=1.0, unit="of the tasks", why="rows of a listing whose usage changed: all of them"
    )
    read_gap_s: Assumption = Assumption(
        value=0.0, unit="s", why="least time between two reads of a stream: none is kept today"
    )
    start_batch: Assumption = Assumption(
        value=1.0, unit="tasks", why="starts a call; 1 is the worst case of spread work"
    )
    append_budget_per_s: Assumption = Assumption(
        value=150.0, unit="appends/s", why="setting: fleet-wide append budget"
    )
    poll_wait_s: Assumption = Assumption(
        value=1.0, unit="s", why="setting: long poll of a quiet stream"
    )
    task_end_group: Assumption = Assumption(
        value=4.0, unit="tasks", why="ends of one job that fall into one window"
    )
    change_bytes: Assumption = Assumption(
        value=1500.0, unit="bytes", why="a team's subtree as one record"
    )
    busy_hour_share: Assumption = Assumption(
        value=0.25, unit="of a day", why="share of a day's jobs and changes in its busiest hour"
    )
    ended_jobs_kept: Assumption = Assumption(
        value=20_000.0, unit="jobs", why="constant of the job fold"
    )
    rss_factor: Assumption = Assumption(
        value=1.4, unit="x", why="resident memory over what Python holds"
    )
    waiting_requests: Assumption = Assumption(
        value=1000.0, unit="requests", why="setting: waiting requests at most"
    )
    waiting_request_kb: Assumption = Assumption(
        value=24.0, unit="KB", why="task, connection and buffers of a waiting request"
    )
    host_list_every_s: Assumption = Assumption(
        value=2.0, unit="s", why="constant: how often the platform's list is fetched"
    )
    entry_list_every_s: Assumption = Assumption(
        value=10.0, unit="s", why="constant: how often all entry hosts are looked up"
    )
    unchanged_bytes: Assumption = Assumption(
        value=100.0, unit="bytes", why="body of an unchanged answer, as measured once"
    )
    ended_row_bytes: Assumption = Assumption(
        value=146.0, unit="bytes", why="an ended task in a listing, listed once; measured once"
    )
    list_changes_per_day: Assumption = Assumption(
        value=900.0, unit="changes", why="two for each of 210 restarts and 240 other changes"
    )
    decision_window_s: Assumption = Assumption(
        value=0.05, unit="s", why="setting: how long starts gather before a decision"
    )
    log_append_s: Assumption = Assumption(
        value=0.05, unit="s", why="an append and its reading back on a healthy log"
    )
    one_way_delay_s: Assumption = Assumption(value=0.05, unit="s", why="between regions, one way")
    beats_per_s: Assumption = Assumption(
        value=12.0, unit="beats/s", why="setting: beats that a member sends at most"
    )
    legs_s: Assumption = Assumption(
        value=3.0, unit="s", why="settings: the longer of vouch and read time of ownership"
    )
    clock_rate_factor: Assumption = Assumption(
        value=1.02, unit="x", why="setting: clocks differ by at most 1% in rate"
    )
    suspect_s: Assumption = Assumption(
        value=2.5, unit="s", why="setting: silence after which a member is suspected"
    )
    flight_s: Assumption = Assumption(
        value=0.5, unit="s", why="setting: longest flight of a command"
    )
    job_beat_s: Assumption = Assumption(
        value=1.0, unit="s", why="setting: least time between two job beats to one member"
    )
    job_beat_s_per_peer: Assumption = Assumption(
        value=0.3, unit="s", why="setting: further time for each peer"
    )
    beat_s: Assumption = Assumption(
        value=0.5, unit="s", why="setting: least time between beats to one member"
    )


PLANNED: Final = replace(
    Assumptions(),
    listing_every_s=Assumption(value=2.0, unit="s", why="where nothing is about to end"),
    listing_share=Assumption(value=0.1, unit="of the tasks", why="only usage that moved much"),
    start_batch=Assumption(value=4.0, unit="tasks", why="starts gathered for a worker at the peak"),
    read_gap_s=Assumption(value=0.5, unit="s", why="a least time between reads"),
    beats_per_s=Assumption(value=4.0, unit="beats/s", why="beats every 2 s to 8 peers"),
    job_beat_s_per_peer=Assumption(value=1.0, unit="s", why="summaries as deltas would do as well"),
)
"""What the changes named on the page would make of the numbers above; all assumed."""


class Basis(StrEnum):
    """How a cell came about."""

    MEASURED = "measured"
    COMPUTED = "computed"
    """From measured slopes (and the assumptions named)."""
    ASSUMED = "assumed"
    """From assumptions and the letter's size alone."""
    MISSING = "not measured"


class Quantity(StrEnum):
    """What a line counts against."""

    STATE = "state"
    MESSAGES = "messages"
    WIRE = "KB/s"
    CPU = "% of a core"
    MEMORY = "MB"
    TIME = "s"
    APPENDS = "appends/s"


class MissingSlopeError(GalenastallError):
    """A line needs a slope that was not measured."""


class CapacityModel:
    """Gives lines their numbers and notes which ones they used."""

    def __init__(
        self, *, size: FleetSize, slopes: dict[str, Slope], assumptions: Assumptions | None = None
    ) -> None:
        """Take the size, the measured slopes by name, and what is assumed."""
        self.size = size
        self._slopes = slopes
        self._assumptions = assumptions or Assumptions()
        self.used_slopes: dict[str, None] = {}
        self.used_assumptions: dict[str, None] = {}
        self.carried_beyond: dict[str, None] = {}

    def begin(self) -> None:
        """Forget what the line before used."""
        self.used_slopes = {}
        self.used_assumptions = {}
        self.carried_beyond = {}

    def at(self, slope: str, x: float) -> float:
        """Return a slope's y at x; raises MissingSlopeError if it was not measured."""
        measured = self._slope(slope)
        if x > measured.largest_x:
            self.carried_beyond[slope] = None
        return measured.at(x)

    def each(self, slope: str) -> float:
        """Return what one more unit costs."""
        return self._slope(slope).slope

    def assume(self, name: str) -> float:
        """Return an assumed number."""
        self.used_assumptions[name] = None
        assumption: Assumption = getattr(self._assumptions, name)
        return assumption.value

    def assumptions(self) -> Iterator[tuple[str, Assumption]]:
        """Yield all assumptions by name."""
        for each in fields(self._assumptions):
            yield each.name, getattr(self._assumptions, each.name)

    def _slope(self, name: str) -> Slope:
        if name not in self._slopes:
            raise MissingSlopeError(name)
        self.used_slopes[name] = None
        return self._slopes[name]


Formula = Callable[[CapacityModel], float]


@dataclass(frozen=True, kw_only=True, slots=True)
class LineKind:
    """One line of the page before it is worked out."""

    role: str
    quantity: Quantity
    what: str
    mechanism: str
    formula: Formula
    at_most: float | None = None
    """A budget of the line alone, where there is one."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Line:
    """One line of the page."""

    kind: LineKind
    value: float | None
    basis: Basis
    source: str
    """Slopes and assumptions that it rests on; a star marks a slope carried beyond its points."""


LINES: Final[Registry[LineKind]] = Registry(kind="capacity line")


def line(
    name: str,
    *,
    role: str,
    quantity: Quantity,
    what: str,
    mechanism: str,
    at_most: float | None = None,
) -> Callable[[Formula], Formula]:
    """File the decorated formula as a line."""

    def add(formula: Formula) -> Formula:
        LINES.register(name)(
            LineKind(
                role=role,
                quantity=quantity,
                what=what,
                mechanism=mechanism,
                formula=formula,
                at_most=at_most,
            )
        )
        return formula

    return add


def work_out(model: CapacityModel, kind: LineKind) -> Line:
    """Return the line's value and what it rests on."""
    model.begin()
    try:
        value: float | None = kind.formula(model)
    except MissingSlopeError as error:
        return Line(kind=kind, value=None, basis=Basis.MISSING, source=f"slope {error}")
    slopes = [f"{name}*" if name in model.carried_beyond else name for name in model.used_slopes]
    basis = Basis.COMPUTED if slopes else Basis.ASSUMED
    source = ", ".join((*slopes, *model.used_assumptions)) or "the letter's sizes alone"
    return Line(kind=kind, value=value, basis=basis, source=source)


def all_lines(model: CapacityModel) -> list[Line]:
    """Return all lines in the order of their names."""
    return [work_out(model, kind) for _, kind in LINES]


@dataclass(frozen=True, kw_only=True, slots=True)
class HostTotal:
    """What one entry host spends on control, all roles together."""

    hosts_per_data_centre: int
    cpu_percent: float
    memory_mb: float
    wire_kb_s: float
    missing: int
    """Lines without a value."""

    @property
    def fits(self) -> bool:
        """Whether all three budgets are kept."""
        return (
            self.cpu_percent <= CPU_BUDGET_PERCENT
            and self.memory_mb <= MEMORY_BUDGET_MB
            and self.wire_kb_s <= WIRE_BUDGET_KB_S
        )


PER_HOST_ROLES: Final = ("owner", "follower", "member", "relay", "caller side", "process")
"""Roles that every entry host plays at the same time."""


def host_total(model: CapacityModel) -> HostTotal:
    """Add up the lines of all roles of an entry host."""
    sums = dict.fromkeys((Quantity.CPU, Quantity.MEMORY, Quantity.WIRE), 0.0)
    missing = 0
    for each in all_lines(model):
        if each.kind.role not in PER_HOST_ROLES or each.kind.quantity not in sums:
            continue
        if each.value is None:
            missing += 1
            continue
        sums[each.kind.quantity] += each.value
    return HostTotal(
        hosts_per_data_centre=model.size.hosts_per_data_centre,
        cpu_percent=sums[Quantity.CPU],
        memory_mb=sums[Quantity.MEMORY],
        wire_kb_s=sums[Quantity.WIRE],
        missing=missing,
    )
