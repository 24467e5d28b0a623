import random

import pytest

from galenastall.bench.mixes import (
    MIXES,
    SIZE_ERROR,
    JobArrival,
    cancellation_wave,
    draw_jobs,
    draw_requests,
)


def jobs_of(mix: str, seed: int) -> list[JobArrival]:
    return list(
        draw_jobs(
            MIXES.get(mix),
            rng=random.Random(seed),
            rate=20.0,
            duration_s=60.0,
            prefix="j",
            now_wall=1e9,
        )
    )


@pytest.mark.parametrize("mix", ["dongmun", "citeliq"])
class TestMixes:
    def test_a_seed_gives_the_same_arrivals(self, mix: str) -> None:
        assert jobs_of(mix, 1) == jobs_of(mix, 1)
        assert jobs_of(mix, 1) != jobs_of(mix, 2)

    def test_real_sizes_are_off_by_at_most_four_and_fit_a_worker(self, mix: str) -> None:
        capacity = MIXES.get(mix).worker_capacity
        possible = [each for each in jobs_of(mix, 3) if not each.impossible]
        ratios = [each.real.memory_mb / each.spec.resources.memory_mb for each in possible]
        assert 1 / SIZE_ERROR - 0.01 <= min(ratios) < 0.5
        assert 2 < max(ratios) <= SIZE_ERROR + 0.01
        assert all(each.real.fits_in(capacity) for each in possible)

    def test_a_tenth_of_jobs_fits_no_worker(self, mix: str) -> None:
        jobs = jobs_of(mix, 4)
        capacity = MIXES.get(mix).worker_capacity
        impossible = [each for each in jobs if not each.spec.resources.fits_in(capacity)]
        assert impossible == [each for each in jobs if each.impossible]
        assert 0.05 < len(impossible) / len(jobs) < 0.15

    def test_a_wave_takes_its_share_once(self, mix: str) -> None:
        jobs = jobs_of(mix, 5)
        wave = cancellation_wave(jobs, rng=random.Random(1), share=0.5)
        assert len(wave) == len(set(wave)) == round(len(jobs) * 0.5)

    def test_requests_keep_the_rate_and_their_order(self, mix: str) -> None:
        arrivals = list(
            draw_requests(MIXES.get(mix), rng=random.Random(6), rate=100.0, duration_s=50.0)
        )
        assert 4500 < len(arrivals) < 5500
        times = [each.after_s for each in arrivals]
        assert times == sorted(times)
        assert times[-1] < 50.0
