from pathlib import Path

import pytest

from galenastall.bench.capacity import (
    LINES,
    Assumptions,
    Basis,
    CapacityModel,
    FleetSize,
    LineKind,
    Quantity,
    all_lines,
    host_total,
    work_out,
)
from galenastall.bench.capacity_page import BEGIN, END, PageError, model_from, put_into, render
from galenastall.bench.slopes import (
    Slope,
    SlopeKind,
    SlopePoint,
    fit_slope,
    held_bytes,
    load_slopes,
    save_slope,
)

ROOT = Path(__file__).parent.parent
SLOPES_DIRECTORY = ROOT / "docs" / "measurements" / "slopes"


def line_through(name: str, *points: tuple[float, float]) -> Slope:
    kind = SlopeKind(what="w", x_name="x", y_unit="us", sizes=(), measure=lambda size: 0.0)
    return fit_slope(
        name=name,
        kind=kind,
        points=tuple(SlopePoint(x=x, y=y) for x, y in points),
        noise_spread=0.1,
    )


class TestSlopes:
    def test_fits_a_line_and_says_how_well(self) -> None:
        straight = line_through("s", (1, 12), (2, 14), (10, 30))
        assert (straight.slope, straight.intercept) == pytest.approx((2, 10))
        assert straight.residual == pytest.approx(0)
        assert line_through("b", (1, 1), (2, 4), (3, 9)).residual > 0.03

    def test_two_points_are_not_a_slope(self) -> None:
        with pytest.raises(ValueError, match="2 points; at least 3"):
            line_through("s", (1, 1), (2, 2))

    def test_are_kept_and_read_back(self, tmp_path: Path) -> None:
        kept = line_through("s", (1, 12), (2, 14), (10, 30))
        save_slope(kept, tmp_path)
        assert load_slopes(tmp_path) == {"s": kept}

    def test_held_bytes_counts_what_is_kept_only(self) -> None:
        assert 900_000 < held_bytes(lambda: bytearray(1_000_000)) < 1_100_000
        assert held_bytes(lambda: len(bytearray(1_000_000))) < 10_000


class TestLines:
    def model(self) -> CapacityModel:
        return CapacityModel(
            size=FleetSize(), slopes={"cost": line_through("cost", (1, 1), (2, 2), (3, 3))}
        )

    @pytest.mark.parametrize(
        ("formula", "value", "basis", "source"),
        [
            (lambda m: m.at("cost", 2), 2, Basis.COMPUTED, "cost"),
            (lambda m: m.at("cost", 9) * m.assume("beat_s"), 4.5, Basis.COMPUTED, "cost*, beat_s"),
            (lambda m: m.assume("beat_s"), 0.5, Basis.ASSUMED, "beat_s"),
            (lambda m: m.size.workers_here, 2800 / 11, Basis.ASSUMED, "the letter's sizes alone"),
            (lambda m: m.each("other"), None, Basis.MISSING, "slope other"),
        ],
    )
    def test_a_cell_says_how_it_is_known(
        self, formula: object, value: float | None, basis: Basis, source: str
    ) -> None:
        assert callable(formula)
        kind = LineKind(role="r", quantity=Quantity.CPU, what="w", mechanism="m", formula=formula)
        found = work_out(self.model(), kind)
        assert (found.basis, found.source) == (basis, source)
        assert found.value == (value if value is None else pytest.approx(value))

    def test_more_entry_hosts_share_the_owners_work(self) -> None:
        few = host_total(model_from(SLOPES_DIRECTORY, size=FleetSize(hosts_per_data_centre=3)))
        many = host_total(model_from(SLOPES_DIRECTORY, size=FleetSize(hosts_per_data_centre=33)))
        assert many.cpu_percent < few.cpu_percent

    def test_every_assumption_is_used_by_some_line(self) -> None:
        model = model_from(SLOPES_DIRECTORY)
        used = {name for _, kind in LINES for name in _used(model, kind)}
        assert used == {name for name, _ in model.assumptions()}


def _used(model: CapacityModel, kind: LineKind) -> list[str]:
    work_out(model, kind)
    return list(model.used_assumptions)


class TestPage:
    def test_the_tables_on_the_page_are_those_of_the_model(self) -> None:
        page = (ROOT / "docs" / "CAPACITY.md").read_text()
        assert put_into(page, render(SLOPES_DIRECTORY)) == page

    def test_every_line_of_the_page_has_a_basis(self) -> None:
        lines = all_lines(model_from(SLOPES_DIRECTORY))
        assert len(lines) == len(LINES.names())
        assert all(line.basis in Basis and line.source for line in lines)

    def test_a_page_without_marks_is_refused(self) -> None:
        with pytest.raises(PageError):
            put_into("no marks", "x")
        assert put_into(f"a{BEGIN}old{END}b", "new\n") == f"a{BEGIN}\nnew\n{END}b"

    def test_assumptions_have_reasons(self) -> None:
        model = CapacityModel(size=FleetSize(), slopes={}, assumptions=Assumptions())
        assert all(each.why and each.unit for _, each in model.assumptions())
