"""Shared test settings with fixed seeds, so that runs are reproducible.

Trio shuffles the tasks of each batch with its own random generator; it is seeded here, so that a
failure that depends on the order recurs in each run. The `long` profile keeps all of it random.
"""

import os
from typing import Any

import pytest
import trio
from hypothesis import HealthCheck, settings

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    max_examples=50,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.register_profile(
    "long",
    derandomize=False,
    deadline=None,
    max_examples=2000,
    suppress_health_check=[HealthCheck.too_slow],
)
PROFILE = os.environ.get("HYPOTHESIS_PROFILE", "ci")
settings.load_profile(PROFILE)


@pytest.fixture(autouse=True)
def fixed_task_order() -> None:
    if PROFILE == "ci":
        scheduler: Any = trio._core._run
        scheduler._ALLOW_DETERMINISTIC_SCHEDULING = True
        scheduler._r.seed(0)
