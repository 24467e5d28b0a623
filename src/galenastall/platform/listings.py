"""The rows in which an executor lists what runs there and what has ended."""

import re
from typing import Annotated, Final

import msgspec
from msgspec import Meta
from returns.result import Failure, Result, Success

from galenastall.coordination.cell.listings import ListedEnd, ListedRun, Listing
from galenastall.platform.names import END_BY_NAME, parse_task
from galenastall.state.decoding import Finite, Quantity, Whole, decode_json_value

MAX_ROWS: Final = 10_000
"""Most rows of a list: far more tasks than an executor has room for."""
MAX_CHECKPOINT_CHARS: Final = 65_536
"""Longest checkpoint: it is stored with its task and sent with the task's next start."""
_MOST_PERCENT: Final = 100
_ROW_FIELD: Final = re.compile(r"`\$\.(running|finished)\[(\d+)\]\[(\d+)\]`")

Checkpoint = Annotated[str, Meta(max_length=MAX_CHECKPOINT_CHARS)]


class WireRun(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A run in progress; further elements of its row are ignored."""

    task: str
    run: Whole
    saved: Checkpoint
    percent: Quantity
    figure: Finite = 0
    """A rough figure: tail latency or processor use."""

    def to_listed(self) -> ListedRun | None:
        """Convert to the internal type; None if the name is not that of a task."""
        task = parse_task(self.task)
        if task is None:
            return None
        return ListedRun(
            task=task,
            run=self.run,
            saved=self.saved,
            percent=min(int(self.percent), _MOST_PERCENT),
            figure=int(self.figure),
        )


class WireEnd(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A run that has ended; further elements of its row are ignored."""

    position: Whole
    task: str
    run: Whole
    end: str
    saved: Checkpoint

    def to_listed(self) -> ListedEnd | None:
        """Convert to the internal type; None if the name is not that of a task or an end."""
        task = parse_task(self.task)
        end = END_BY_NAME.get(self.end)
        if task is None or end is None:
            return None
        return ListedEnd(position=self.position, task=task, run=self.run, end=end, saved=self.saved)


class WireListing(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """Rows of running and of finished runs."""

    clock_ms: Whole
    born: Whole | None = None
    """Start time in milliseconds since 1970; None if the executor does not report it."""
    running: Annotated[list[WireRun], Meta(max_length=MAX_ROWS)] = []
    finished: Annotated[list[WireEnd], Meta(max_length=MAX_ROWS)] = []

    def to_listing(self) -> Listing:
        """Convert to the internal type; rows with an unknown task or end name are skipped."""
        return Listing(
            clock_ms=self.clock_ms,
            running=tuple(run for row in self.running if (run := row.to_listed()) is not None),
            ended=tuple(end for row in self.finished if (end := row.to_listed()) is not None),
        )


_ROW_TYPES: Final = {"running": WireRun, "finished": WireEnd}


def decode_listing(body: bytes) -> Result[WireListing, str]:
    """Return the listing, or an error that names the row and its field.

    One unreadable row makes the whole listing an error: without the row, its run would look ended
    and start a second time.
    """
    found = decode_json_value(body, WireListing)
    if isinstance(found, Success):
        return found
    return Failure(_ROW_FIELD.sub(_named_field, found.failure()))


def _named_field(found: re.Match[str]) -> str:
    rows, row, column = found.groups()
    return f"`{rows}[{row}].{_ROW_TYPES[rows].__struct_fields__[int(column)]}`"
