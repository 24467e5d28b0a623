"""The platform's metadata store after PROTOCOL.md: a log of keyed topics with fenced appends."""

import asyncio
import base64
import json
from collections import OrderedDict
from typing import Any

from web import OK, Request, Response, Server

ANSWER_S = 0.004
"""The sheet's 4 ms an answer."""
APPEND_S = 0.002
"""`appendMs` of the settings."""
RECORD_BYTES = 262_144
REQUEST_BYTES = 2_097_152
PAGE_KEYS = 500
REPEATED = 5
"""Latest appends of a producer whose first response is given again."""
READ_ONLY = {"keyed.op", "keyed.servers"}


class Producer:
    """The newest epoch of a producer and its last appends."""

    def __init__(self) -> None:
        self.epoch = -1
        self.answers: OrderedDict[int, dict[str, int]] = OrderedDict()


class Topic:
    """Partition 0 of a topic."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.newest: dict[str, tuple[int, bytes]] = {}
        self.producers: dict[str, Producer] = {}
        self.changed = asyncio.Event()
        self.lock = asyncio.Lock()

    def add(self, records: list[bytes]) -> dict[str, int]:
        """Append records and wake the readers that wait."""
        first = len(self.records)
        for record in records:
            size = record[0]
            key, value = record[1 : 1 + size].decode(), record[1 + size :]
            self.newest.pop(key, None)
            if value:
                self.newest[key] = (len(self.records), value)
            self.records.append(record)
        self.changed.set()
        self.changed = asyncio.Event()
        return {"offset": first, "endOffset": len(self.records)}


def split(body: bytes) -> list[bytes] | None:
    """Return the records of a body; None if one is malformed or larger than allowed."""
    records = []
    at = 0
    while at < len(body):
        size = int.from_bytes(body[at : at + 4], "big")
        record = body[at + 4 : at + 4 + size]
        if size > RECORD_BYTES or len(record) < size or not record:
            return None
        records.append(record)
        at += 4 + size
    return records


class Store:
    """The store; `answer_s` may be raised to make it slow."""

    def __init__(self) -> None:
        self.topics: dict[str, Topic] = {}
        self.answer_s = ANSWER_S
        self.refused_records = 0
        """Appends refused because of a record that is larger than `recordBytes`."""
        self._server = Server(self._serve)

    async def start(self) -> str:
        """Serve; return the address."""
        return await self._server.start()

    def topic(self, name: str) -> Topic:
        """Return a topic, created on first use."""
        return self.topics.setdefault(name, Topic())

    def put(self, topic: str, key: str, value: Any) -> None:
        """Write a value as the operator or an executor does; None drops the key."""
        encoded = b"" if value is None else json.dumps(value).encode()
        name = key.encode()
        self.topic(topic).add([bytes([len(name)]) + name + encoded])

    def value(self, topic: str, key: str) -> Any:
        """Return the newest value of a key; None if there is none."""
        found = self.topic(topic).newest.get(key)
        return None if found is None else json.loads(found[1])

    async def _serve(self, request: Request) -> Response:
        if request.path == "/log-append":
            response = await self._append(request)
        elif request.path == "/log-read":
            response = await self._read(request)
        elif request.path == "/log-newest":
            response = self._newest(request)
        else:
            response = Response(404)
        await asyncio.sleep(self.answer_s)
        return response

    async def _append(self, request: Request) -> Response:
        name, query = request.query["topic"], request.query
        if name in READ_ONLY:
            return Response(403)
        records = split(request.body)
        if records is None or len(request.body) > REQUEST_BYTES:
            self.refused_records += 1
            return Response(400, {"reason": "record"})
        topic = self.topic(name)
        async with topic.lock:
            await asyncio.sleep(APPEND_S)
            end = len(topic.records)
            if "at" in query and int(query["at"]) != end:
                return Response(412, {"endOffset": end})
            if "producer" not in query:
                return Response(OK, topic.add(records))
            return self._append_fenced(topic, query, records)

    def _append_fenced(self, topic: Topic, query: dict[str, str], records: list[bytes]) -> Response:
        producer = topic.producers.setdefault(query["producer"], Producer())
        epoch, sequence = int(query["epoch"]), int(query["sequence"])
        if epoch < producer.epoch:
            return Response(409, {"reason": "fenced"})
        if epoch > producer.epoch:
            producer.epoch = epoch
            producer.answers.clear()
        if not records:
            end = len(topic.records)
            return Response(OK, {"offset": end, "endOffset": end})
        if sequence in producer.answers:
            return Response(OK, producer.answers[sequence])
        last = next(reversed(producer.answers), None)
        if last is not None and sequence != last + 1:
            return Response(409, {"reason": "seq", "sequence": last + 1})
        answer = topic.add(records)
        producer.answers[sequence] = answer
        while len(producer.answers) > REPEATED:
            producer.answers.popitem(last=False)
        return Response(OK, answer)

    async def _read(self, request: Request) -> Response:
        topic = self.topic(request.query["topic"])
        begin = int(request.query["from"])
        wait_s = int(request.query.get("waitMs", "0")) / 1000.0
        try:
            async with asyncio.timeout(wait_s):
                while len(topic.records) <= begin:
                    await topic.changed.wait()
        except TimeoutError:
            pass
        end = len(topic.records)
        body = end.to_bytes(8, "big") + (0).to_bytes(8, "big")
        for record in topic.records[begin:]:
            body += len(record).to_bytes(4, "big") + record
        return Response(OK, body)

    def _newest(self, request: Request) -> Response:
        topic = self.topic(request.query["topic"])
        after = request.query.get("after", "")
        keys = sorted(key for key in topic.newest if key > after)
        items = [
            {
                "key": key,
                "value": base64.b64encode(topic.newest[key][1]).decode(),
                "offset": topic.newest[key][0],
            }
            for key in keys[:PAGE_KEYS]
        ]
        page = {"items": items, "hasMore": len(keys) > PAGE_KEYS}
        return Response(OK, {**page, "endOffset": len(topic.records)})
