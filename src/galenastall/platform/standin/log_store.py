"""The platform's metadata store in memory, over HTTP: a log of keyed and plain records."""

import base64
from collections import OrderedDict, defaultdict
from dataclasses import dataclass, field
from typing import Any, Final

import msgspec
import trio

from galenastall.platform.log_wire import WireError, frame_record, split_keyed, split_records
from galenastall.transport.http_json import json_response
from galenastall.transport.http_messages import HttpRequest, HttpResponse
from galenastall.transport.http_routes import route

KEYED_PREFIX: Final = "keyed."
CACHED_APPENDS: Final = 5
"""Latest appends of each producer whose responses are repeated on a retry."""
REQUEST_BYTES: Final = 2_097_152
RECORD_BYTES: Final = 262_144
"""The largest record, without the four bytes of its length."""
READ_ONLY_TOPICS: Final = frozenset({"keyed.op", "keyed.servers"})
"""Topics that entry hosts may only read."""


@dataclass
class Producer:
    """The newest epoch of a producer, and its last appends in it."""

    epoch: int = 0
    answers_by_sequence: OrderedDict[int, dict[str, int]] = field(default_factory=OrderedDict)

    def start_epoch(self, epoch: int) -> None:
        """Switch to a higher epoch, which may start at any sequence number."""
        if epoch > self.epoch:
            self.epoch = epoch
            self.answers_by_sequence.clear()

    def cache_answer(self, sequence: int, answer: dict[str, int]) -> None:
        """Keep a response for retries of its append."""
        self.answers_by_sequence[sequence] = answer
        while len(self.answers_by_sequence) > CACHED_APPENDS:
            self.answers_by_sequence.popitem(last=False)


@dataclass
class Topic:
    """One partition; `first` is the offset of its oldest retained record."""

    records: list[bytes] = field(default_factory=list)
    first: int = 0
    newest: dict[str, tuple[int, bytes]] = field(default_factory=dict)
    """Offset and value of each key's newest record, if the topic is keyed."""
    producers: defaultdict[str, Producer] = field(default_factory=lambda: defaultdict(Producer))
    changed: trio.Event = field(default_factory=trio.Event)

    @property
    def end(self) -> int:
        """Offset after the last record."""
        return self.first + len(self.records)

    def add(self, content: bytes, *, is_keyed: bool) -> None:
        """Append one record."""
        if is_keyed:
            key, value = split_keyed(content)
            self.newest.pop(key, None)
            if value:
                self.newest[key] = (self.end, value)
        self.records.append(content)

    def notify_readers(self) -> None:
        """Wake waiting readers."""
        event, self.changed = self.changed, trio.Event()
        event.set()

    def compact(self) -> None:
        """Drop all records but the newest of each key."""
        self.first = self.end
        self.records.clear()
        self.notify_readers()


class StandinStore:
    """The store's log: appends with epochs and sequence numbers, reads, newest records."""

    def __init__(self, *, page_keys: int = 500) -> None:
        """`page_keys` is how many keys one page of newest records has."""
        self.topics: defaultdict[str, Topic] = defaultdict(Topic)
        self.is_unavailable = False
        self._page_keys = page_keys

    def put(self, topic: str, key: str, value: Any) -> None:
        """Write a value as the operator or an executor does; None deletes the key."""
        encoded = msgspec.json.encode(value) if value is not None else b""
        name = key.encode()
        found = self.topics[topic]
        found.add(bytes([len(name)]) + name + encoded, is_keyed=True)
        found.notify_readers()

    def put_record(self, topic: str, record: bytes) -> None:
        """Append any bytes as one record, without a change to any key's newest value."""
        found = self.topics[topic]
        found.add(record, is_keyed=False)
        found.notify_readers()

    def value(self, topic: str, key: str) -> Any:
        """Return a key's newest value, or None."""
        found = self.topics[topic].newest.get(key)
        return msgspec.json.decode(found[1]) if found is not None else None

    @route("POST", "/log-append")
    async def append(self, request: HttpRequest) -> HttpResponse:
        """Append all records of the body, atomically."""
        body = (await request.read_body(REQUEST_BYTES)).unwrap()
        if self.is_unavailable:
            return HttpResponse(status=503)
        name = request.query["topic"]
        if name in READ_ONLY_TOPICS:
            return HttpResponse(status=403)
        topic = self.topics[name]
        if int(request.query.get("at", topic.end)) != topic.end:
            return json_response(412, {"endOffset": topic.end})
        refusal = _check_fencing(topic, request.query, has_body=bool(body))
        if refusal is not None:
            return refusal
        try:
            records = split_records(body)
        except WireError as error:
            return json_response(400, {"reason": str(error)})
        longest = max(map(len, records), default=0)
        if longest > RECORD_BYTES:
            detail = f"record: at most {RECORD_BYTES} bytes, got {longest}"
            return json_response(400, {"reason": detail})
        return self._add(topic, records, request.query, is_keyed=name.startswith(KEYED_PREFIX))

    def _add(
        self, topic: Topic, records: list[bytes], query: Any, *, is_keyed: bool
    ) -> HttpResponse:
        offset = topic.end
        for record in records:
            topic.add(record, is_keyed=is_keyed)
        answer = {"offset": offset, "endOffset": topic.end}
        if "producer" in query and records:
            topic.producers[query["producer"]].cache_answer(int(query["sequence"]), answer)
        topic.notify_readers()
        return json_response(200, answer)

    @route("GET", "/log-newest")
    async def show_newest(self, request: HttpRequest) -> HttpResponse:
        """Return a page of the newest records."""
        if self.is_unavailable:
            return HttpResponse(status=503)
        topic = self.topics[request.query["topic"]]
        after = request.query.get("after", "")
        found = sorted((key, each) for key, each in topic.newest.items() if key > after)
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in found[: self._page_keys]
        ]
        page = {"items": items, "hasMore": len(found) > len(items), "endOffset": topic.end}
        return json_response(200, page)

    @route("GET", "/log-read")
    async def read(self, request: HttpRequest) -> HttpResponse:
        """Return records from an offset on, waiting until there are some."""
        if self.is_unavailable:
            return HttpResponse(status=503)
        topic = self.topics[request.query["topic"]]
        begin = int(request.query["from"])
        with trio.move_on_after(int(request.query.get("waitMs", "0")) / 1000.0):
            while topic.first <= begin and topic.end <= begin:
                await topic.changed.wait()
        if begin < topic.first:
            return json_response(410, {"firstOffset": topic.first})
        head = topic.end.to_bytes(8, "big") + topic.first.to_bytes(8, "big")
        records = map(frame_record, topic.records[begin - topic.first :])
        return HttpResponse(body=head + b"".join(records))


def _check_fencing(topic: Topic, query: Any, *, has_body: bool) -> HttpResponse | None:
    """Return the response to an append that is fenced, out of sequence, empty or a retry."""
    if "producer" not in query:
        return None
    producer = topic.producers[query["producer"]]
    epoch, sequence = int(query["epoch"]), int(query["sequence"])
    if epoch < producer.epoch:
        return json_response(409, {"reason": "fenced"})
    producer.start_epoch(epoch)
    answers = producer.answers_by_sequence
    if not has_body:
        return json_response(200, {"offset": topic.end, "endOffset": topic.end})
    if sequence in answers:
        return json_response(200, answers[sequence])
    if answers and sequence != next(reversed(answers)) + 1:
        expected = next(reversed(answers)) + 1
        return json_response(409, {"reason": "seq", "sequence": expected})
    return None
