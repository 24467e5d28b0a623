"""Write the tables of docs/CAPACITY.md from the model, so that page and model can't differ."""

from collections.abc import Iterable, Iterator
from dataclasses import fields, replace
from pathlib import Path
from typing import Final

from galenastall.bench import (
    capacity_failures_lines,
    capacity_follower_lines,
    capacity_log_lines,
    capacity_member_lines,
    capacity_owner_lines,
)
from galenastall.bench.capacity import (
    CPU_BUDGET_PERCENT,
    MEMORY_BUDGET_MB,
    PLANNED,
    WIRE_BUDGET_KB_S,
    Assumptions,
    CapacityModel,
    FleetSize,
    HostTotal,
    Line,
    all_lines,
    host_total,
)
from galenastall.bench.slopes import Slope, load_slopes
from galenastall.state.errors import GalenastallError

BEGIN: Final = "<!-- begin: written by `galenastall bench capacity --write` -->"
END: Final = "<!-- end -->"
HOST_COUNTS: Final = (3, 5, 7, 9, 13, 17, 25, 33)
LINE_MODULES: Final = (
    capacity_owner_lines,
    capacity_follower_lines,
    capacity_member_lines,
    capacity_log_lines,
    capacity_failures_lines,
)
"""Imported so that the registry of lines is full."""


class PageError(GalenastallError):
    """The page lacks the marks between which the tables go."""


def model_from(
    directory: Path, *, size: FleetSize | None = None, assumptions: Assumptions | None = None
) -> CapacityModel:
    """Return the model over the slopes kept in `directory`."""
    return CapacityModel(
        size=size or FleetSize(), slopes=load_slopes(directory), assumptions=assumptions
    )


def render(directory: Path) -> str:
    """Return all tables as Markdown."""
    model = model_from(directory)
    all_roles = "One entry host, all roles together, by entry hosts in its data centre"
    parts = [
        *_roles(model),
        *_host_counts(directory, f"{all_roles}: as built", Assumptions()),
        *_host_counts(directory, f"{all_roles}: after the changes named above", PLANNED),
        *_slopes(directory),
        *_assumptions("Assumed", Assumptions(), Assumptions()),
        *_assumptions("Assumed for the changes named above", PLANNED, Assumptions()),
    ]
    return "\n".join(parts) + "\n"


def put_into(page: str, tables: str) -> str:
    """Return the page with its tables replaced; raises PageError if a mark is missing."""
    head, begin, rest = page.partition(BEGIN)
    _, end, tail = rest.partition(END)
    if not begin or not end:
        raise PageError(f"the page has no {BEGIN!r} ... {END!r}")
    return f"{head}{BEGIN}\n{tables}{END}{tail}"


def _roles(model: CapacityModel) -> Iterator[str]:
    lines_by_role: dict[str, list[Line]] = {}
    for each in all_lines(model):
        lines_by_role.setdefault(each.kind.role, []).append(each)
    for role, lines in lines_by_role.items():
        yield f"### {role[0].upper()}{role[1:]}\n"
        yield from _table(
            ("what", "amount", "counted in", "known how", "rests on", "mechanism"),
            (_line_cells(each) for each in lines),
        )


def _line_cells(each: Line) -> tuple[str, ...]:
    amount = "?" if each.value is None else f"{each.value:.3g}"
    if each.kind.at_most is not None and each.value is not None:
        word = "fits" if each.value <= each.kind.at_most else "**does not fit**"
        amount += f" of {each.kind.at_most:g}: {word}"
    kind = each.kind
    return (kind.what, amount, kind.quantity.value, each.basis.value, each.source, kind.mechanism)


def _host_counts(directory: Path, title: str, assumptions: Assumptions) -> Iterator[str]:
    yield f"### {title}\n"
    sizes = [replace(FleetSize(), hosts_per_data_centre=count) for count in HOST_COUNTS]
    totals = [
        host_total(model_from(directory, size=size, assumptions=assumptions)) for size in sizes
    ]
    yield from _table(
        (
            "entry hosts",
            f"% of a core (of {CPU_BUDGET_PERCENT})",
            f"MB (of {MEMORY_BUDGET_MB:g})",
            f"KB/s (of {WIRE_BUDGET_KB_S:g})",
            "fits",
            "lines without a figure",
        ),
        (_total_cells(total) for total in totals),
    )


def _total_cells(total: HostTotal) -> tuple[str, ...]:
    return (
        str(total.hosts_per_data_centre),
        _margin(total.cpu_percent, CPU_BUDGET_PERCENT),
        _margin(total.memory_mb, MEMORY_BUDGET_MB),
        _margin(total.wire_kb_s, WIRE_BUDGET_KB_S),
        "yes" if total.fits else "**no**",
        str(total.missing),
    )


def _margin(value: float, budget: float) -> str:
    return f"{value:.3g} (margin {1 - value / budget:.0%})"


def _slopes(directory: Path) -> Iterator[str]:
    yield "### Slopes, all measured\n"
    yield from _table(
        ("slope", "of what", "points", "for each more", "at none", "residual", "noise", "command"),
        (_slope_cells(each) for each in load_slopes(directory).values()),
    )


def _slope_cells(each: Slope) -> tuple[str, ...]:
    points = "; ".join(f"{point.x:g}: {point.y:.4g}" for point in each.points)
    return (
        each.name,
        f"{each.what}, by {each.x_name}",
        points,
        f"{each.slope:.4g} {each.y_unit}",
        f"{each.intercept:.4g}",
        f"{each.residual:.1%}",
        f"{each.noise_spread:.0%}",
        f"`{each.command}`",
    )


def _assumptions(title: str, assumptions: Assumptions, built: Assumptions) -> Iterator[str]:
    """Yield all of `built`, or only what differs from it."""
    yield f"### {title}\n"
    rows = [
        (each.name, f"{value.value:g} {value.unit}", value.why)
        for each in fields(assumptions)
        if assumptions == built or getattr(assumptions, each.name) != getattr(built, each.name)
        for value in (getattr(assumptions, each.name),)
    ]
    yield from _table(("name", "value", "why"), rows)


def _table(head: tuple[str, ...], rows: Iterable[tuple[str, ...]]) -> Iterator[str]:
    yield f"| {' | '.join(head)} |"
    yield f"|{'---|' * len(head)}"
    for row in rows:
        yield f"| {' | '.join(row)} |"
    yield ""
