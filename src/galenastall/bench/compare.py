"""Compare two variants of a scenario in one run, interleaved, so that drift hits both alike.

The order is A B, B A, A B, ...; each pair gives one ratio B / A for each figure.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from statistics import median
from typing import Final

from galenastall.bench.report import ScenarioResult

MAX_ROUNDS: Final = 20


@dataclass(frozen=True, kw_only=True, slots=True)
class Ratio:
    """B / A of one figure over all pairs."""

    figure: str
    unit: str
    median: float
    least: float
    most: float
    pairs: int

    @property
    def is_clear(self) -> bool:
        """Whether all pairs point the same way."""
        return self.least > 1.0 or self.most < 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Comparison:
    """Outcome of an interleaved comparison."""

    name_a: str
    name_b: str
    ratios: tuple[Ratio, ...]
    violations_a: int
    violations_b: int


async def compare(
    *,
    name_a: str,
    name_b: str,
    run_a: Callable[[int], Awaitable[ScenarioResult]],
    run_b: Callable[[int], Awaitable[ScenarioResult]],
    rounds: int,
) -> Comparison:
    """Run both variants `rounds` times; both get the round's number for their seed.

    Raises ValueError for fewer than 1 or more than MAX_ROUNDS rounds.
    """
    if not 1 <= rounds <= MAX_ROUNDS:
        raise ValueError(f"rounds: {rounds}; allowed: 1 to {MAX_ROUNDS}")
    pairs = []
    for number in range(rounds):
        if number % 2:
            result_b = await run_b(number)
            result_a = await run_a(number)
        else:
            result_a = await run_a(number)
            result_b = await run_b(number)
        pairs.append((result_a, result_b))
    return Comparison(
        name_a=name_a,
        name_b=name_b,
        ratios=tuple(_ratios(pairs)),
        violations_a=sum(a.violation_count for a, _ in pairs),
        violations_b=sum(b.violation_count for _, b in pairs),
    )


def to_table(comparison: Comparison) -> str:
    """Return the ratios as lines of text."""
    lines = [f"{comparison.name_b} / {comparison.name_a}: median [least to most] over pairs"]
    lines += [
        f"{each.figure}: {each.median:.3f} [{each.least:.3f} to {each.most:.3f}], {each.pairs}"
        f" pairs{'' if each.is_clear else ', within the spread'}"
        for each in comparison.ratios
    ]
    lines.append(
        f"violations: {comparison.name_a} {comparison.violations_a},"
        f" {comparison.name_b} {comparison.violations_b}"
    )
    return "\n".join(lines)


def _ratios(pairs: list[tuple[ScenarioResult, ScenarioResult]]) -> list[Ratio]:
    found = []
    for figure in pairs[0][0].figures:
        values = [
            _value(b, figure.name) / _value(a, figure.name)
            for a, b in pairs
            if _value(a, figure.name) and _value(b, figure.name)
        ]
        if not values:
            continue
        found.append(
            Ratio(
                figure=figure.name,
                unit=figure.unit,
                median=median(values),
                least=min(values),
                most=max(values),
                pairs=len(values),
            )
        )
    return found


def _value(result: ScenarioResult, name: str) -> float:
    return next((each.value for each in result.figures if each.name == name), 0.0)
