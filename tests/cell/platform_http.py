"""The platform's HTTP interfaces over a world in memory: log store, executors, advisor."""

import base64
from collections import defaultdict
from dataclasses import dataclass, field
from typing import Any

import msgspec
import trio

from cell.world import World
from galenastall.coordination.cell.commands import StartOrder, StopOrder
from galenastall.platform.log_wire import keyed_record, split_keyed
from galenastall.platform.names import parse_task, task_name
from galenastall.protocol.cell.executor_port import StartVerdict
from galenastall.state.cell.jobs import TaskKey
from galenastall.transport.http_json import json_response
from galenastall.transport.http_messages import HttpRequest, HttpResponse
from galenastall.transport.http_routes import route

PAGE_KEYS = 3
"""Keys of one page of newest records; small, so that tests see several pages."""
REASONS = {
    StartVerdict.FENCED: "fence",
    StartVerdict.OLD_RUN: "old",
    StartVerdict.TOO_LATE: "late",
    StartVerdict.NO_ROOM: "room",
}


@dataclass
class Topic:
    """A keyed topic with one partition."""

    records: list[tuple[str, bytes]] = field(default_factory=list)
    first: int = 0
    epochs: dict[str, int] = field(default_factory=dict)
    sequences: dict[tuple[str, int], dict[int, int]] = field(
        default_factory=lambda: defaultdict(dict)
    )
    changed: trio.Event = field(default_factory=trio.Event)

    def newest(self) -> dict[str, tuple[int, bytes]]:
        found: dict[str, tuple[int, bytes]] = {}
        for offset, (key, value) in enumerate(self.records):
            found[key] = (offset, value)
        return {key: each for key, each in found.items() if each[1]}

    def add(self, key: str, value: bytes) -> None:
        self.records.append((key, value))
        event, self.changed = self.changed, trio.Event()
        event.set()


class StoreFace:
    """The log: appends with epochs and sequence numbers, reads, newest records."""

    def __init__(self) -> None:
        self.topics: defaultdict[str, Topic] = defaultdict(Topic)
        self.is_refusing = False

    def put(self, topic: str, key: str, value: Any) -> None:
        """Write as the operator or an executor does."""
        self.topics[topic].add(key, msgspec.json.encode(value) if value is not None else b"")

    @route("POST", "/log-append")
    async def append(self, request: HttpRequest) -> HttpResponse:
        body = (await request.read_body(4_000_000)).unwrap()
        if self.is_refusing:
            return HttpResponse(status=503)
        topic = self.topics[request.query["topic"]]
        if int(request.query.get("at", len(topic.records))) != len(topic.records):
            return json_response(412, {"endOffset": len(topic.records)})
        producer = request.query.get("producer")
        if producer is not None:
            refusal = self._check_producer(topic, producer, request.query, bool(body))
            if refusal is not None:
                return refusal
        offset = len(topic.records)
        at = 0
        while at < len(body):
            length = int.from_bytes(body[at : at + 4], "big")
            topic.add(*split_keyed(body[at + 4 : at + 4 + length]))
            at += 4 + length
        return json_response(200, {"offset": offset, "endOffset": len(topic.records)})

    @staticmethod
    def _check_producer(
        topic: Topic, producer: str, query: Any, has_body: bool
    ) -> HttpResponse | None:
        epoch, sequence = int(query["epoch"]), int(query["sequence"])
        if epoch < topic.epochs.get(producer, 0):
            return json_response(409, {"reason": "fenced"})
        topic.epochs[producer] = epoch
        if not has_body:
            return None
        seen = topic.sequences[producer, epoch]
        if sequence in seen:
            return json_response(200, {"offset": seen[sequence], "endOffset": len(topic.records)})
        if seen and sequence != max(seen) + 1:
            return json_response(409, {"reason": "seq", "sequence": max(seen) + 1})
        seen[sequence] = len(topic.records)
        return None

    @route("GET", "/log-newest")
    async def newest(self, request: HttpRequest) -> HttpResponse:
        if self.is_refusing:
            return HttpResponse(status=503)
        topic = self.topics[request.query["topic"]]
        after = request.query.get("after", "")
        found = sorted((k, v) for k, v in topic.newest().items() if k > after)
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in found[:PAGE_KEYS]
        ]
        more = len(found) > PAGE_KEYS
        page = {"items": items, "hasMore": more, "endOffset": len(topic.records)}
        return json_response(200, page)

    @route("GET", "/log-read")
    async def read(self, request: HttpRequest) -> HttpResponse:
        if self.is_refusing:
            return HttpResponse(status=503)
        topic = self.topics[request.query["topic"]]
        begin = int(request.query["from"])
        if begin < topic.first:
            return json_response(410, {"firstOffset": topic.first})
        with trio.move_on_after(int(request.query.get("waitMs", "0")) / 1000.0):
            while len(topic.records) <= begin:
                await topic.changed.wait()
        head = len(topic.records).to_bytes(8, "big") + topic.first.to_bytes(8, "big")
        records = (keyed_record(key, value) for key, value in topic.records[begin:])
        return HttpResponse(body=head + b"".join(records))


class ExecutorFace:
    """One executor; also the advisor, which approves all."""

    def __init__(self, *, world: World, executor_id: str) -> None:
        self.world = world
        self.executor_id = executor_id

    def _life(self, request: HttpRequest) -> bool:
        return request.headers.get("expected-instance") == self.executor_id

    @route("POST", "/run-start")
    async def start(self, request: HttpRequest) -> HttpResponse:
        message = msgspec.json.decode((await request.read_body(100_000)).unwrap())
        if not self._life(request):
            return HttpResponse(status=421)
        order = StartOrder(
            task=_task(message["task"]),
            run=message["run"],
            executor_id=self.executor_id,
            payload=message["specification"],
        )
        executor = self.world.executors[self.executor_id]
        return self._verdict(executor.start(order, message["deadlineMs"], message["fencingToken"]))

    @route("POST", "/run-stop")
    async def stop(self, request: HttpRequest) -> HttpResponse:
        message = msgspec.json.decode((await request.read_body(100_000)).unwrap())
        order = StopOrder(
            task=_task(message["task"]), run=message["run"], executor_id=self.executor_id
        )
        executor = self.world.executors[self.executor_id]
        return self._verdict(executor.stop(order, message["fencingToken"]))

    def _verdict(self, verdict: StartVerdict) -> HttpResponse:
        clock_ms = int(self.world.executors[self.executor_id].clock_ms())
        if verdict is StartVerdict.STARTED:
            return json_response(200, {"clockMs": clock_ms})
        return json_response(409, {"clockMs": clock_ms, "reason": REASONS[verdict]})

    @route("POST", "/hold")
    async def hold(self, request: HttpRequest) -> HttpResponse:
        message = msgspec.json.decode((await request.read_body(100_000)).unwrap())
        if not self._life(request):
            return HttpResponse(status=421)
        executor = self.world.executors[self.executor_id]
        verdict = executor.hold(
            message.get("deadlineMs"), message["ackPosition"], message["fencingToken"]
        )
        if verdict is not StartVerdict.STARTED:
            return self._verdict(verdict)
        with trio.move_on_after(min(message.get("waitMs", 0) / 1000.0, 0.2)):
            while not executor.ended:
                await trio.sleep(0.01)
                self.world.sweep()
        listing = executor.listing()
        return json_response(
            200,
            {
                "clockMs": listing.clock_ms,
                "running": [
                    [task_name(run.task), run.run, run.saved, run.percent, 0]
                    for run in listing.running
                ],
                "finished": [
                    [end.position, task_name(end.task), end.run, end.end.value, end.saved]
                    for end in listing.ended
                ],
            },
        )

    @route("POST", "/advise")
    async def advise(self, request: HttpRequest) -> HttpResponse:
        message = msgspec.json.decode((await request.read_body(100_000)).unwrap())
        approved = [[worker, f"ticket-{worker}"] for worker in message["workers"]]
        return json_response(200, {"approved": approved, "validityMs": 1500})


def _task(name: str) -> TaskKey:
    task = parse_task(name)
    assert task is not None, name
    return task
