"""The log client of an entry host: its followers and its appender, run together."""

import random
from collections.abc import Callable, Iterable

import trio

from galenastall.coordination.log.append_window import WindowLimits
from galenastall.node.log.group_commit import (
    DEFAULT_QUEUE_RECORDS,
    DEFAULT_SETTLE_S,
    GroupCommitAppender,
)
from galenastall.node.log.stream_follower import DEFAULT_POLL_WAIT_S, LogHealth, LogStreamFollower
from galenastall.protocol.clock import Clock
from galenastall.protocol.event_sink import EventSink
from galenastall.protocol.platform import LogService
from galenastall.state.ids import StreamName

__all__ = ["GroupCommitAppender", "LogClient", "LogHealth", "LogStreamFollower"]


class LogClient:
    """The followers by stream, and the appender that reads its records back through them."""

    def __init__(
        self,
        *,
        log: LogService,
        clock: Clock,
        rng: random.Random,
        writer: str,
        streams: Iterable[StreamName],
        live_hosts: Callable[[], int],
        limits: Callable[[], WindowLimits] = WindowLimits,
        events: EventSink | None = None,
        poll_wait_s: float = DEFAULT_POLL_WAIT_S,
        settle_s: float = DEFAULT_SETTLE_S,
        queue_records: int = DEFAULT_QUEUE_RECORDS,
    ) -> None:
        """`writer` must be unique per incarnation of a process; folds subscribe before `run`."""
        self.health = LogHealth()
        self.followers_by_stream = {
            stream: LogStreamFollower(
                log=log,
                stream=stream,
                clock=clock,
                rng=rng,
                health=self.health,
                events=events,
                poll_wait_s=poll_wait_s,
            )
            for stream in streams
        }
        self.appender = GroupCommitAppender(
            log=log,
            clock=clock,
            rng=rng,
            writer=writer,
            followers=self.followers_by_stream.values(),
            health=self.health,
            live_hosts=live_hosts,
            limits=limits,
            events=events,
            settle_s=settle_s,
            queue_records=queue_records,
        )

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Follow and append until cancelled."""
        async with trio.open_nursery() as nursery:
            for follower in self.followers_by_stream.values():
                await nursery.start(follower.run)
            await nursery.start(self.appender.run)
            task_status.started()
