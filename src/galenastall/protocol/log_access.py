"""What drivers may ask of the log's local side: append with group commit, follow with folds."""

from typing import Any, Protocol

from returns.result import Result

from galenastall.state.errors import StepError
from galenastall.state.ids import Offset, RecordId, StreamName
from galenastall.state.records import RecordFold


class LogAppender(Protocol):
    """Group commit of records under the fleet's append budget."""

    async def append(
        self, *, stream: StreamName, record: Any, record_id: RecordId | None = None
    ) -> Result[Offset, StepError]:
        """Return the record's offset once it was read back.

        A lost answer is resolved by record id from the followed stream. UNAVAILABLE: the log is
        down and the record was not appended. TIMEOUT: it may have been appended.
        """

    @property
    def is_log_up(self) -> bool:
        """Whether the last call to the log succeeded."""


class StreamFollower(Protocol):
    """One stream of the log, followed by long poll and fed to folds in offset order."""

    @property
    def stream(self) -> StreamName:
        """The stream followed."""

    @property
    def next_offset(self) -> Offset:
        """Offset of the next record to fold."""

    @property
    def log_end_read_at(self) -> float | None:
        """Runtime time at which the last read that reached the tip was SENT; None if never."""

    def subscribe(self, fold: RecordFold) -> None:
        """Feed every further record to `fold`; subscribe before `run`."""

    async def wait_for(self, offset: Offset) -> None:
        """Return once the record at `offset` has been folded."""

    async def catch_up(self) -> Result[None, StepError]:
        """Return once everything is folded that the log holds now, or why that is not known."""
