"""The platform's store: a log with keyed topics, as PROTOCOL.md describes it, in memory."""

import asyncio
import base64
import json
import struct
from dataclasses import dataclass, field
from typing import Any

from standin_2.http import Answer, Request, Server, as_json

RECORD_BYTES = 262_144
REQUEST_BYTES = 2_097_152
PAGE_KEYS = 500
PAGE_BYTES = 1_000_000
READ_ONLY = {"keyed.op", "keyed.servers"}


@dataclass
class Producer:
    """The epoch of a producer and its last answers."""

    epoch: int = 0
    last: int | None = None
    answers: dict[int, tuple[int, bytes]] = field(default_factory=dict)


@dataclass
class Topic:
    """One partition."""

    records: list[bytes] = field(default_factory=list)
    newest: dict[str, tuple[int, bytes]] = field(default_factory=dict)
    producers: dict[str, Producer] = field(default_factory=dict)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def add(self, record: bytes) -> None:
        """Append a keyed record."""
        key = record[1 : 1 + record[0]].decode()
        value = record[1 + record[0] :]
        if value:
            self.newest[key] = (len(self.records), value)
        else:
            self.newest.pop(key, None)
        self.records.append(record)

    def notify(self) -> None:
        """Wake waiting readers."""
        event, self.changed = self.changed, asyncio.Event()
        event.set()


class Store:
    """Serves appends, reads and newest records."""

    def __init__(self) -> None:
        """Start empty."""
        self.topics: dict[str, Topic] = {}
        self.delay_s = 0.002
        """How long each answer takes."""
        self.refused_records = 0
        """Appends refused for a record over the limit."""
        self._server = Server(self._handle)

    async def start(self) -> str:
        """Serve, and return the address."""
        return await self._server.start()

    def topic(self, name: str) -> Topic:
        """Return a topic, created on first use."""
        return self.topics.setdefault(name, Topic())

    def put(self, topic: str, key: str, value: Any) -> None:
        """Write as the operator or an executor does; None deletes the key."""
        name = key.encode()
        content = b"" if value is None else json.dumps(value).encode()
        self.topic(topic).add(bytes([len(name)]) + name + content)
        self.topic(topic).notify()

    def value(self, topic: str, key: str) -> Any:
        """Return a key's newest value; None if there is none."""
        found = self.topic(topic).newest.get(key)
        return None if found is None else json.loads(found[1])

    async def _handle(self, request: Request) -> Answer:
        await asyncio.sleep(self.delay_s)
        if request.path == "/log-append":
            return self._append(request)
        if request.path == "/log-newest":
            return self._newest(request)
        if request.path == "/log-read":
            return await self._read(request)
        return as_json(404, {})

    def _append(self, request: Request) -> Answer:
        name, query = request.query["topic"], request.query
        if name in READ_ONLY:
            return as_json(403, {})
        if len(request.body) > REQUEST_BYTES:
            return as_json(400, {"reason": "request too large"})
        records = _split(request.body)
        if any(len(record) > RECORD_BYTES for record in records):
            self.refused_records += 1
            return as_json(400, {"reason": "record too large"})
        topic = self.topic(name)
        if "at" in query and int(query["at"]) != len(topic.records):
            return as_json(412, {"endOffset": len(topic.records)})
        if "producer" not in query:
            return self._add(topic, records)
        return self._add_fenced(topic, records, query)

    def _add(self, topic: Topic, records: list[bytes]) -> tuple[int, bytes]:
        offset = len(topic.records)
        for record in records:
            topic.add(record)
        topic.notify()
        return as_json(200, {"offset": offset, "endOffset": len(topic.records)})

    def _add_fenced(
        self, topic: Topic, records: list[bytes], query: dict[str, str]
    ) -> tuple[int, bytes]:
        producer = topic.producers.setdefault(query["producer"], Producer())
        epoch, sequence = int(query["epoch"]), int(query["sequence"])
        if epoch < producer.epoch:
            return as_json(409, {"reason": "fenced"})
        if epoch > producer.epoch:
            producer.epoch, producer.last = epoch, None
            producer.answers.clear()
        if not records:
            return self._add(topic, records)
        if sequence in producer.answers:
            return producer.answers[sequence]
        if producer.last is not None and sequence != producer.last + 1:
            return as_json(409, {"reason": "seq", "sequence": producer.last + 1})
        producer.last = sequence
        answer = producer.answers[sequence] = self._add(topic, records)
        for old in sorted(producer.answers)[:-5]:
            del producer.answers[old]
        return answer

    def _newest(self, request: Request) -> Answer:
        topic, after = self.topic(request.query["topic"]), request.query.get("after", "")
        keys = sorted(key for key in topic.newest if key > after)
        items, size = [], 0
        for key in keys[:PAGE_KEYS]:
            offset, value = topic.newest[key]
            if items and size + len(value) > PAGE_BYTES:
                break
            size += len(value)
            items.append({"key": key, "value": base64.b64encode(value).decode(), "offset": offset})
        page = {
            "items": items,
            "hasMore": len(items) < len(keys),
            "endOffset": len(topic.records),
        }
        return as_json(200, page)

    async def _read(self, request: Request) -> Answer:
        topic, begin = self.topic(request.query["topic"]), int(request.query["from"])
        try:
            async with asyncio.timeout(int(request.query.get("waitMs", "0")) / 1000):
                while len(topic.records) <= begin:
                    await topic.changed.wait()
        except TimeoutError:
            pass
        body = struct.pack(">QQ", len(topic.records), 0)
        for record in topic.records[begin:]:
            if len(body) > PAGE_BYTES:
                break
            body += struct.pack(">I", len(record)) + record
        return 200, body


def _split(body: bytes) -> list[bytes]:
    records, position = [], 0
    while position < len(body):
        (length,) = struct.unpack_from(">I", body, position)
        records.append(body[position + 4 : position + 4 + length])
        position += 4 + length
    return records
