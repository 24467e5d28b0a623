"""Measure how a cost grows with one size, and keep the fit as a JSON file.

A slope is a straight line through three or more measured points. Its residual says how well the
line fits, so that a reader sees where it must not be carried further.
"""

import gc
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from statistics import linear_regression
from typing import Any, Final

import msgspec

from galenastall.bench.noise import measure_noise
from galenastall.state.registry import Registry

REPEATS: Final = 5
"""Processor times are the least of so many, since noise only ever adds."""
LEAST_POINTS: Final = 3


@dataclass(frozen=True, kw_only=True, slots=True)
class SlopeKind:
    """What is measured and at which sizes."""

    what: str
    x_name: str
    y_unit: str
    sizes: tuple[int, ...]
    measure: Callable[[int], float]
    """Takes a size, returns y."""


@dataclass(frozen=True, kw_only=True, slots=True)
class SlopePoint:
    """One measured point."""

    x: float
    y: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Slope:
    """A line through measured points: y = intercept + slope * x."""

    name: str
    what: str
    x_name: str
    y_unit: str
    command: str
    points: tuple[SlopePoint, ...]
    intercept: float
    slope: float
    residual: float
    """Largest distance of a point from the line, as a share of the largest y."""
    noise_spread: float
    """Median over best of a fixed loop, minus one, around the measurement."""

    def at(self, x: float) -> float:
        """Return the line's y at x."""
        return self.intercept + self.slope * x

    @property
    def largest_x(self) -> float:
        """Largest size that was measured; beyond it the line is carried on."""
        return max(point.x for point in self.points)


SLOPES: Final[Registry[SlopeKind]] = Registry(kind="slope")


def slope(
    name: str, *, what: str, x_name: str, y_unit: str, sizes: tuple[int, ...]
) -> Callable[[Callable[[int], float]], Callable[[int], float]]:
    """File the decorated function as the measure of a slope."""

    def add(measure: Callable[[int], float]) -> Callable[[int], float]:
        kind = SlopeKind(what=what, x_name=x_name, y_unit=y_unit, sizes=sizes, measure=measure)
        SLOPES.register(name)(kind)
        return measure

    return add


def measure_slope(name: str) -> Slope:
    """Measure at every size and fit the line."""
    kind = SLOPES.get(name)
    before = measure_noise()
    points = tuple(SlopePoint(x=float(size), y=kind.measure(size)) for size in kind.sizes)
    after = measure_noise()
    return fit_slope(
        name=name, kind=kind, points=points, noise_spread=max(before.spread, after.spread)
    )


def fit_slope(
    *, name: str, kind: SlopeKind, points: tuple[SlopePoint, ...], noise_spread: float
) -> Slope:
    """Fit a line by least squares; raises ValueError for fewer than three points."""
    if len(points) < LEAST_POINTS:
        raise ValueError(f"slope {name}: {len(points)} points; at least {LEAST_POINTS} are needed")
    fit = linear_regression([point.x for point in points], [point.y for point in points])
    distances = [abs(point.y - fit.intercept - fit.slope * point.x) for point in points]
    largest = max(abs(point.y) for point in points)
    return Slope(
        name=name,
        what=kind.what,
        x_name=kind.x_name,
        y_unit=kind.y_unit,
        command=f"galenastall bench slope {name}",
        points=points,
        intercept=fit.intercept,
        slope=fit.slope,
        residual=max(distances) / largest if largest else 0.0,
        noise_spread=noise_spread,
    )


def save_slope(measured: Slope, directory: Path) -> Path:
    """Write `<name>.json` and return its path."""
    path = directory / f"{measured.name}.json"
    path.write_bytes(msgspec.json.format(msgspec.json.encode(measured), indent=2) + b"\n")
    return path


def load_slopes(directory: Path) -> dict[str, Slope]:
    """Return all slopes kept in a directory by name."""
    files = sorted(directory.glob("*.json"))
    slopes = [msgspec.json.decode(path.read_bytes(), type=Slope) for path in files]
    return {each.name: each for each in slopes}


def least_cpu_us(work: Callable[[], object]) -> float:
    """Return the least processor time in microseconds of several runs of `work`."""
    return min(cpu_us(work) for _ in range(REPEATS))


def held_bytes(build: Callable[[], Any]) -> float:
    """Return the bytes that Python holds for what `build` returns.

    The interpreter's own pools add some tens of per cent to this in resident memory.
    """
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    built = build()
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del built
    return float(after - before)


def cpu_us(work: Callable[[], object]) -> float:
    """Return the processor time in microseconds of one run of `work`."""
    gc.collect()
    began = time.process_time()
    work()
    return (time.process_time() - began) * 1e6
