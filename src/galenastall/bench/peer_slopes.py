"""Slopes of messages between entry hosts: two real links of one process over loopback."""

import time
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any, Final

import trio

from galenastall.bench.slopes import REPEATS, slope
from galenastall.coordination.ownership.ownership_messages import Heartbeat
from galenastall.coordination.placement.placement_commands import CapacitySummary, LargestAmount
from galenastall.protocol import ownership_messages
from galenastall.protocol.amount_rows import pack_summary
from galenastall.protocol.job_messages import JobHeartbeat, ShardEpoch
from galenastall.state.ids import Epoch, HostId, Incarnation, Offset
from galenastall.state.resources import Resources
from galenastall.transport.clock import TrioClock
from galenastall.transport.peer_link import ZmqPeerLink

REGISTERED: Final = ownership_messages
"""Imported so that beats have a wire name."""
NEAR: Final = HostId("north-1-entry-1")
FAR: Final = HostId("north-1-entry-2")
SHARDS: Final = 2
CONNECT_S: Final = 10.0
BURST: Final = 50
"""Messages sent before the sender waits for the receiver, well below any high-water mark."""

cpu_slope: Final = partial(
    slope, x_name="beats", y_unit="us of processor time", sizes=(200, 800, 3200)
)
bytes_slope: Final = partial(slope, x_name="beats", y_unit="bytes", sizes=(50, 200, 800))


def make_beat(sequence: int) -> Heartbeat:
    """Return a beat of ordinary times."""
    return Heartbeat(
        sender=Incarnation("north-1-entry-1.0123456789ab"),
        receiver=Incarnation("north-1-entry-2.0123456789ab"),
        sequence=1_000_000 + sequence,
        echo=1_000_000 + sequence,
        next_offset=Offset(5_000_000),
        tip_age_ms=640,
    )


def make_job_beat(sequence: int) -> JobHeartbeat:
    """Return a job beat of ordinary times."""
    some = Resources(cores_milli=1_500_000, memory_mb=3_000_000)
    hole = Resources(cores_milli=48_000, memory_mb=100_000)
    holes = tuple(LargestAmount(by=name, free=hole) for name in ("cores", "memory", "accelerators"))
    return JobHeartbeat(
        incarnation="north-1-entry-1.0123456789ab",
        shards=tuple(ShardEpoch(shard=each, epoch=Epoch(123_456)) for each in range(SHARDS)),
        valid_until=1_800_000_000.25 + sequence,
        summary=pack_summary(
            CapacitySummary(
                workers=28,
                capacity=some,
                free=some,
                holes=holes,
                largest_worker=holes,
                waiting_by_class={"urgent": 3, "normal": 40, "backfill": 500},
                running=200,
                oldest_wait_s=12.5,
            )
        ),
    )


@cpu_slope("beat-cpu", what="beats sent by one link and taken in by another")
def beat_cpu(count: int) -> float:
    """Measure both sides of so many beats."""
    return trio.run(_on_links, partial(_cost_us, make=make_beat, count=count))


@bytes_slope("beat-bytes", what="beats on the wire")
def beat_bytes(count: int) -> float:
    """Count bytes as the sending link does, without TCP and IP."""
    return trio.run(_on_links, partial(_bytes, make=make_beat, count=count))


@cpu_slope("job-beat-cpu", what="job beats sent by one link and taken in by another")
def job_beat_cpu(count: int) -> float:
    """Measure both sides of so many job beats."""
    return trio.run(_on_links, partial(_cost_us, make=make_job_beat, count=count))


@bytes_slope("job-beat-bytes", what="job beats on the wire")
def job_beat_bytes(count: int) -> float:
    """Count bytes as the sending link does, without TCP and IP."""
    return trio.run(_on_links, partial(_bytes, make=make_job_beat, count=count))


class _Sink:
    """Counts what a link takes in."""

    def __init__(self) -> None:
        self.taken = 0
        self._wanted = 0
        self._enough = trio.Event()

    async def take(self, sender: HostId, message: Any) -> None:
        self.taken += 1
        if self.taken >= self._wanted:
            self._enough.set()

    async def wait_for(self, wanted: int) -> None:
        if self.taken >= wanted:
            return
        self._wanted, self._enough = wanted, trio.Event()
        with trio.fail_after(CONNECT_S):
            await self._enough.wait()


async def _on_links(measure: Callable[[ZmqPeerLink, _Sink], Awaitable[float]]) -> float:
    clock = TrioClock()
    near = ZmqPeerLink(host_id=NEAR, incarnation=Incarnation("near"), clock=clock)
    far = ZmqPeerLink(host_id=FAR, incarnation=Incarnation("far"), clock=clock)
    sink = _Sink()
    far.handle(Heartbeat, sink.take)
    far.handle(JobHeartbeat, sink.take)
    async with trio.open_nursery() as nursery:
        await nursery.start(near.run)
        await nursery.start(far.run)
        near.set_peers({FAR: far.address})
        with trio.fail_after(CONNECT_S):
            while not sink.taken:
                near.send(peer=FAR, message=make_beat(0))
                await trio.sleep(0.05)
        result = await measure(near, sink)
        nursery.cancel_scope.cancel()
    return result


async def _cost_us(
    near: ZmqPeerLink, sink: _Sink, *, make: Callable[[int], object], count: int
) -> float:
    costs = []
    for _ in range(REPEATS):
        began = time.process_time()
        await _exchange(near, sink, make=make, count=count)
        costs.append((time.process_time() - began) * 1e6)
    return min(costs)


async def _bytes(
    near: ZmqPeerLink, sink: _Sink, *, make: Callable[[int], object], count: int
) -> float:
    before = near.counters_by_id[FAR].bytes_out
    await _exchange(near, sink, make=make, count=count)
    return float(near.counters_by_id[FAR].bytes_out - before)


async def _exchange(
    near: ZmqPeerLink, sink: _Sink, *, make: Callable[[int], object], count: int
) -> None:
    for first in range(0, count, BURST):
        wanted = sink.taken + min(BURST, count - first)
        for number in range(first, min(first + BURST, count)):
            near.send(peer=FAR, message=make(number))
        await sink.wait_for(wanted)
