import json
from pathlib import Path

import pytest

from galenastall.bench.compare import compare
from galenastall.bench.compare import to_table as comparison_table
from galenastall.bench.noise import measure_noise
from galenastall.bench.report import Figure, ScenarioResult, to_json, to_table, write_plot
from galenastall.proof.checker import Verdict, Violation


def result_with(value: float) -> ScenarioResult:
    result = ScenarioResult(scenario="s", seed=1, command="galenastall bench run s")
    result.add("rate", value, "requests/s", at_least=10)
    return result


class TestFigure:
    @pytest.mark.parametrize(
        ("least", "most", "holds"),
        [(None, None, None), (5, None, True), (6, None, False), (None, 4, False), (5, 5, True)],
    )
    def test_knows_whether_its_aim_is_met(
        self, least: float | None, most: float | None, holds: bool | None
    ) -> None:
        assert Figure(name="x", value=5, unit="ms", at_least=least, at_most=most).holds is holds


class TestScenarioResult:
    def test_does_not_hold_with_a_violation_or_a_missed_aim(self) -> None:
        good, missed, broken = result_with(12), result_with(9), result_with(12)
        violation = Violation(invariant="at-most-once", detail="twice")
        broken.take_verdict(Verdict(violations=(violation,), checked=("at-most-once",), events=2))
        assert [each.holds for each in (good, missed, broken)] == [True, False, False]
        assert "at-most-once: twice" in to_table(broken)
        assert json.loads(to_json(missed))["holds"] is False

    def test_noise_and_plot_are_part_of_it(self, tmp_path: Path) -> None:
        result = result_with(12)
        result.noise_before = result.noise_after = measure_noise()
        assert "machine noise" in to_table(result)
        write_plot(result, tmp_path / "plot.svg")
        assert b"<svg" in (tmp_path / "plot.svg").read_bytes()


class TestCompare:
    async def test_interleaves_and_gives_ratios_by_pair(self) -> None:
        order: list[str] = []

        async def run_a(number: int) -> ScenarioResult:
            order.append(f"a{number}")
            return result_with(10.0 + number)

        async def run_b(number: int) -> ScenarioResult:
            order.append(f"b{number}")
            return result_with(2 * (10.0 + number) + number)

        comparison = await compare(name_a="a", name_b="b", run_a=run_a, run_b=run_b, rounds=3)
        assert order == ["a0", "b0", "b1", "a1", "a2", "b2"]
        (ratio,) = comparison.ratios
        assert (ratio.least, ratio.pairs, ratio.is_clear) == (2.0, 3, True)
        assert "rate: 2.091 [2.000 to 2.167], 3 pairs" in comparison_table(comparison)

    async def test_refuses_unbounded_rounds(self) -> None:
        async def run(number: int) -> ScenarioResult:
            return result_with(number)

        with pytest.raises(ValueError, match="rounds: 0; allowed: 1 to 20"):
            await compare(name_a="a", name_b="b", run_a=run, run_b=run, rounds=0)
