"""Headers of upstream calls and responses; names are in lower case."""

from typing import Final

REQUEST_ID: Final = "galenastall-request-id"
ATTEMPT_ID: Final = "galenastall-attempt-id"
"""Unique per attempt; the executor echoes it, so that a mismatched response is detected."""
EPOCH: Final = "galenastall-epoch"
"""Fencing number of the owner under whose permit the call is made."""
NOT_AFTER: Final = "galenastall-not-after"
"""Wall time in seconds by which the response should have been sent."""
OUTCOME: Final = "galenastall-outcome"
"""Outcome reported by the executor. Only `not_run` proves that the request did not run."""
LEAVING: Final = "galenastall-leaving"
"""Present, with value `1`, once the executor is leaving."""
CALLER: Final = "galenastall-caller"
"""Host id of the calling entry host."""
