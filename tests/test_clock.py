"""Clock of the runtime."""

import time
from typing import Any

import pytest
import trio

from galenastall.transport.clock import TrioClock


class TestTrioClock:
    async def test_a_jump_of_the_time_of_day_changes_nothing(
        self, autojump_clock: Any, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        clock = TrioClock()
        before = clock.wall()
        truth = time.time
        monkeypatch.setattr(time, "time", lambda: truth() + 2_000.0)
        await trio.sleep(1.5)
        assert clock.wall() - before == pytest.approx(1.5)
