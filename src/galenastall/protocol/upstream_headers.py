"""Headers of calls to upstreams and of their answers; names are in lower case."""

from typing import Final

REQUEST_ID: Final = "galenastall-request-id"
ATTEMPT_ID: Final = "galenastall-attempt-id"
"""Unique for each attempt; an executor echoes it, so that a stray answer is recognised."""
EPOCH: Final = "galenastall-epoch"
"""Fencing number of the owner under whose permit the call is made."""
NOT_AFTER: Final = "galenastall-not-after"
"""Wall time in seconds by which the answer should have left."""
OUTCOME: Final = "galenastall-outcome"
"""The executor's word: a value of Outcome. Only `not_run` proves that it did not run."""
LEAVING: Final = "galenastall-leaving"
"""Present and `1` once the executor is leaving."""
CALLER: Final = "galenastall-caller"
"""Host id of the entry host that calls."""
