"""The platform's metadata store: topics of one partition each, kept in memory."""

import asyncio
import base64
import contextlib
import json
import random
from collections import OrderedDict, defaultdict

from standin_3.http import Request, Response, Server

PAGE_KEYS = 500
CACHED_ANSWERS = 5
READ_ONLY = frozenset({"keyed.op", "keyed.servers"})


class Topic:
    """One partition of a topic."""

    def __init__(self) -> None:
        """Start empty."""
        self.records: list[bytes] = []
        self.newest: dict[str, tuple[int, bytes]] = {}
        self.epochs: dict[str, int] = {}
        self.answers: dict[str, OrderedDict[int, dict]] = defaultdict(OrderedDict)
        self.changed = asyncio.Event()

    @property
    def end(self) -> int:
        """Offset after the last record."""
        return len(self.records)

    def add(self, record: bytes, *, is_keyed: bool) -> None:
        """Append one record."""
        if is_keyed:
            split = 1 + record[0]
            key = record[1:split].decode()
            self.newest.pop(key, None)
            if record[split:]:
                self.newest[key] = (self.end, record[split:])
        self.records.append(record)

    def notify(self) -> None:
        """Wake readers."""
        event, self.changed = self.changed, asyncio.Event()
        event.set()


class Store:
    """Serves the log calls that entry hosts make."""

    def __init__(self) -> None:
        """Start without topics."""
        self.topics: defaultdict[str, Topic] = defaultdict(Topic)
        self.turned_away: set[str] = set()
        """Names of entry hosts that get 503."""
        self.is_down = False
        """Whether all calls get 503."""
        self.delay_s = 0.0
        self.lost_share, self.is_late = 0.0, False
        """Share of the writes that get no answer, and whether these are done seconds later."""
        self.on_append = None
        """Called with the topic's name and the records of each append."""

    def server_for(self, host: str) -> Server:
        """Return a server for one entry host: on loopback all have the same source address."""
        return Server(self._handle, caller=host)

    def put(self, topic: str, key: str, value: object) -> None:
        """Write a key as the operator or an executor does; None deletes it."""
        name = key.encode()
        content = b"" if value is None else json.dumps(value).encode()
        self.topics[topic].add(bytes([len(name)]) + name + content, is_keyed=True)
        self.topics[topic].notify()

    def value(self, topic: str, key: str) -> object:
        """Return a key's newest JSON value, or None."""
        found = self.topics[topic].newest.get(key)
        return None if found is None else json.loads(found[1])

    async def _handle(self, request: Request) -> Response | None:
        if self.is_down or request.peer in self.turned_away:
            return Response(503)
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        match request.method, request.path:
            case "POST", "/log-append":
                return await self._lossy_append(request)
            case "GET", "/log-read":
                return await self._read(request)
            case "GET", "/log-newest":
                return self._newest(request)
        return Response(404)

    async def _lossy_append(self, request: Request) -> Response | None:
        if random.random() >= self.lost_share:
            return self._append(request)
        if self.is_late:
            await asyncio.sleep(random.uniform(1.0, 6.0))
        self._append(request)
        return None

    def _append(self, request: Request) -> Response:
        query, name = request.query, request.query["topic"]
        if name in READ_ONLY:
            return Response(403)
        topic = self.topics[name]
        if "at" in query and int(query["at"]) != topic.end:
            return Response.of(412, {"endOffset": topic.end})
        records = split_records(request.body)
        refusal = self._check_producer(topic, query, records)
        if refusal is not None:
            return refusal
        offset = topic.end
        for record in records:
            topic.add(record, is_keyed=name.startswith("keyed."))
        answer = {"offset": offset, "endOffset": topic.end}
        if "producer" in query and records:
            cached = topic.answers[query["producer"]]
            cached[int(query["sequence"])] = answer
            while len(cached) > CACHED_ANSWERS:
                cached.popitem(last=False)
        topic.notify()
        if self.on_append is not None:
            self.on_append(name, records)
        return Response.of(200, answer)

    @staticmethod
    def _check_producer(topic: Topic, query: dict, records: list[bytes]) -> Response | None:
        if "producer" not in query:
            return None
        producer, epoch = query["producer"], int(query["epoch"])
        known = topic.epochs.get(producer, 0)
        if epoch < known:
            return Response.of(409, {"reason": "fenced"})
        if epoch > known:
            topic.epochs[producer] = epoch
            topic.answers[producer].clear()
        if not records:
            return Response.of(200, {"offset": topic.end, "endOffset": topic.end})
        cached, sequence = topic.answers[producer], int(query["sequence"])
        if sequence in cached:
            return Response.of(200, cached[sequence])
        if cached and sequence != next(reversed(cached)) + 1:
            expected = next(reversed(cached)) + 1
            return Response.of(409, {"reason": "seq", "sequence": expected})
        return None

    async def _read(self, request: Request) -> Response:
        topic = self.topics[request.query["topic"]]
        begin = int(request.query["from"])
        wait_s = int(request.query.get("waitMs", "0")) / 1000.0
        if topic.end <= begin and wait_s > 0:
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(topic.changed.wait(), wait_s)
        head = topic.end.to_bytes(8, "big") + (0).to_bytes(8, "big")
        records = [len(r).to_bytes(4, "big") + r for r in topic.records[begin:]]
        return Response(200, head + b"".join(records))

    def _newest(self, request: Request) -> Response:
        topic = self.topics[request.query["topic"]]
        after = request.query.get("after", "")
        found = sorted((key, each) for key, each in topic.newest.items() if key > after)
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in found[:PAGE_KEYS]
        ]
        page = {"items": items, "hasMore": len(found) > len(items), "endOffset": topic.end}
        return Response.of(200, page)


def split_records(body: bytes) -> list[bytes]:
    """Return the records of an append."""
    records, position = [], 0
    while position < len(body):
        size = int.from_bytes(body[position : position + 4], "big")
        records.append(body[position + 4 : position + 4 + size])
        position += 4 + size
    return records
