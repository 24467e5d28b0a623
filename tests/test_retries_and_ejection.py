"""Which requests may be retried, and which upstreams are ejected."""

import pytest

from galenastall.coordination.requests.ejection import Ejection, EjectionLimits
from galenastall.coordination.requests.retries import (
    AttemptEnd,
    RetryBudget,
    RetryLimits,
    may_retry,
)
from galenastall.state.ids import HostId
from galenastall.state.outcomes import Outcome

HOSTS = tuple(HostId(f"u{number}") for number in range(10))


def attempt_end(
    outcome: Outcome,
    *,
    idempotent: bool,
    answer_begun: bool,
    attempt: int,
    remaining_s: float,
) -> AttemptEnd:
    return AttemptEnd(
        outcome=outcome,
        attempt=attempt,
        idempotent=idempotent,
        answer_begun=answer_begun,
        remaining_s=remaining_s,
    )


class TestMayRetry:
    @pytest.mark.parametrize(
        ("end", "expected"),
        [
            (
                attempt_end(
                    Outcome.NOT_RUN,
                    idempotent=False,
                    answer_begun=False,
                    attempt=1,
                    remaining_s=5.0,
                ),
                True,
            ),
            (
                attempt_end(
                    Outcome.UNKNOWN, idempotent=True, answer_begun=False, attempt=1, remaining_s=5.0
                ),
                True,
            ),
            (
                attempt_end(
                    Outcome.UNKNOWN,
                    idempotent=False,
                    answer_begun=False,
                    attempt=1,
                    remaining_s=5.0,
                ),
                False,
            ),
            (
                attempt_end(
                    Outcome.UNKNOWN, idempotent=True, answer_begun=True, attempt=1, remaining_s=5.0
                ),
                False,
            ),
            (
                attempt_end(
                    Outcome.FAILED, idempotent=True, answer_begun=False, attempt=1, remaining_s=5.0
                ),
                False,
            ),
            (
                attempt_end(
                    Outcome.DONE, idempotent=True, answer_begun=False, attempt=1, remaining_s=5.0
                ),
                False,
            ),
            (
                attempt_end(
                    Outcome.NOT_RUN, idempotent=True, answer_begun=False, attempt=3, remaining_s=5.0
                ),
                False,
            ),
            (
                attempt_end(
                    Outcome.NOT_RUN, idempotent=True, answer_begun=False, attempt=1, remaining_s=0.4
                ),
                False,
            ),
        ],
    )
    def test_only_requests_not_run_or_idempotent_are_retried(
        self, end: AttemptEnd, expected: bool
    ) -> None:
        assert may_retry(end=end, limits=RetryLimits(), shortest_s=0.5) is expected

    def test_retries_stay_a_share_of_first_attempts(self) -> None:
        budget = RetryBudget(limits=RetryLimits(ratio=0.1, burst=5.0))
        spent = 0
        for _ in range(1_000):
            budget.first_attempt()
            spent += budget.spend()
        assert 100 <= spent <= 105


class TestEjection:
    def make(self) -> Ejection:
        ejection = Ejection(limits=EjectionLimits(consecutive_failures=3, latency_samples=5))
        for host in HOSTS:
            ejection.add(host)
        return ejection

    def test_consecutive_failures_eject_and_a_success_clears_them(self) -> None:
        ejection = self.make()
        for _ in range(2):
            ejection.failed(upstream=HOSTS[0], now=0.0)
        ejection.succeeded(upstream=HOSTS[0], latency_s=0.1, slots=8, now=0.0)
        assert [ejection.failed(upstream=HOSTS[0], now=0.0) for _ in range(3)] == [
            False,
            False,
            True,
        ]
        assert ejection.allowed(upstream=HOSTS[0], slots=8, now=4.9) == 0

    def test_no_more_than_the_cap_are_ejected(self) -> None:
        ejection = self.make()
        for host in HOSTS:
            for _ in range(5):
                ejection.failed(upstream=host, now=0.0)
        assert len(ejection.ejected(now=0.0)) == 3

    def test_a_slow_upstream_is_ejected(self) -> None:
        ejection = self.make()
        for _ in range(5):
            for host in HOSTS:
                latency_s = 2.0 if host == HOSTS[0] else 0.1
                ejection.succeeded(upstream=host, latency_s=latency_s, slots=8, now=0.0)
        ejection.succeeded(upstream=HOSTS[0], latency_s=2.0, slots=8, now=0.0)
        assert ejection.ejected(now=0.0) == {HOSTS[0]}

    def test_an_ejected_upstream_returns_slowly_and_goes_at_the_first_failure(self) -> None:
        ejection = self.make()
        for _ in range(3):
            ejection.failed(upstream=HOSTS[0], now=0.0)
        allowed = []
        for _ in range(4):
            allowed.append(ejection.allowed(upstream=HOSTS[0], slots=8, now=5.0))
            ejection.succeeded(upstream=HOSTS[0], latency_s=0.1, slots=8, now=5.0)
        assert allowed == [1, 2, 4, 8]
        for _ in range(3):
            ejection.failed(upstream=HOSTS[0], now=6.0)
        assert ejection.failed(upstream=HOSTS[0], now=11.5)
        assert ejection.allowed(upstream=HOSTS[0], slots=8, now=16.0) == 0
