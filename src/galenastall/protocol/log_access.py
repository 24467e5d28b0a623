"""Local interface to the log for drivers: append with group commit, follow with folds."""

from typing import Any, Protocol

from returns.result import Result

from galenastall.state.errors import StepError
from galenastall.state.ids import Offset, RecordId, StreamName
from galenastall.state.records import RecordFold


class LogAppender(Protocol):
    """Group commit of records within the fleet's append budget."""

    async def append(
        self, *, stream: StreamName, record: Any, record_id: RecordId | None = None
    ) -> Result[Offset, StepError]:
        """Return the record's offset once the record was read back.

        After a lost answer, the record id is looked up in the followed stream. UNAVAILABLE: the
        log is down and the record was not appended. TIMEOUT: it may have been appended.
        """

    @property
    def is_log_up(self) -> bool:
        """Whether the last call to the log succeeded."""


class StreamFollower(Protocol):
    """One stream of the log, followed by long polling and fed to folds in offset order."""

    @property
    def stream(self) -> StreamName:
        """The stream that is followed."""

    @property
    def next_offset(self) -> Offset:
        """Offset of the next record to fold."""

    @property
    def log_end_read_at(self) -> float | None:
        """Runtime time at which the last read that reached the log end was SENT; None if never."""

    def subscribe(self, fold: RecordFold) -> None:
        """Feed every further record to `fold`; subscribe before `run`."""

    async def wait_for(self, offset: Offset) -> None:
        """Return once the record at `offset` has been folded."""

    async def catch_up(self) -> Result[None, StepError]:
        """Return once all records now in the log are folded, or an error if that is not known."""
