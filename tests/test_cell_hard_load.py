"""Random faults while workspaces compete for executors of unlike speed."""

import pytest

from cell.scenarios import competing_workspaces_with_faults, run_scenario


class TestRandomTroubleUnderHardLoad:
    @pytest.mark.parametrize("seed", range(4))
    async def test_a_flood_with_faults_breaks_no_invariant(
        self, autojump_clock: object, seed: int
    ) -> None:
        await run_scenario(competing_workspaces_with_faults, seed=seed, executors=6)
