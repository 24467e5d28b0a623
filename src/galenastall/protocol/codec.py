"""Codec of peer messages (msgpack) and log records (JSON), both based on msgspec."""

from dataclasses import dataclass
from typing import Any, Final

import msgspec
from returns.result import Failure, Result, Success

from galenastall.state.decoding import DECODE_ERRORS, shorten
from galenastall.state.errors import Reason, StepError
from galenastall.state.ids import Offset, RecordId, StreamName
from galenastall.state.records import RECORDS, LoggedRecord, UnknownRecord
from galenastall.state.registry import Registry

PEER_MESSAGES: Final[Registry[type[Any]]] = Registry(kind="peer message")
"""Frozen data classes by wire name; filled with `@PEER_MESSAGES.register("name")`."""


ANSWER_TYPES: Final[dict[type[Any], type[Any]]] = {}
"""Types of the answers to some requests; a request that is not listed may get any answer."""


@dataclass(frozen=True, kw_only=True, slots=True)
class _RecordEnvelope:
    id: str
    type: str
    body: msgspec.Raw


_names_by_type: dict[type[Any], str] = {}


def _name_of(registry: Registry[type[Any]], kind: type[Any]) -> str:
    if kind not in _names_by_type:
        _names_by_type.update({entry: name for name, entry in registry})
    return _names_by_type[kind]


def encode_message(message: object) -> tuple[str, bytes]:
    """Return wire name and msgpack body; raises KeyError for an unregistered type."""
    return _name_of(PEER_MESSAGES, type(message)), msgspec.msgpack.encode(message)


def decode_message(name: str, body: bytes, *, peer: str) -> Result[Any, StepError]:
    """Return the typed message, or an INVALID error that names the peer and the invalid field."""
    if name not in PEER_MESSAGES:
        return Failure(_invalid("codec.decode_message", peer, f"unknown message {shorten(name)!r}"))
    try:
        return Success(msgspec.msgpack.decode(body, type=PEER_MESSAGES.get(name)))
    except DECODE_ERRORS as error:
        return Failure(_invalid("codec.decode_message", peer, f"{name}: {shorten(str(error))}"))


def encode_record(record: object, *, record_id: RecordId) -> str:
    """Return the JSON text of a registered record."""
    name = _name_of(RECORDS, type(record))
    body = msgspec.Raw(msgspec.json.encode(record))
    return msgspec.json.encode(_RecordEnvelope(id=record_id, type=name, body=body)).decode()


def decode_record(
    text: str, *, stream: StreamName, offset: Offset
) -> Result[LoggedRecord, StepError]:
    """Return the typed record; a type unknown to this version becomes UnknownRecord."""
    peer = f"{stream}@{offset}"
    try:
        envelope = msgspec.json.decode(text, type=_RecordEnvelope)
        record: Any = UnknownRecord(name=envelope.type)
        if envelope.type in RECORDS:
            record = msgspec.json.decode(envelope.body, type=RECORDS.get(envelope.type))
    except DECODE_ERRORS as error:
        return Failure(_invalid("codec.decode_record", peer, shorten(str(error))))
    record_id = RecordId(envelope.id)
    return Success(LoggedRecord(stream=stream, offset=offset, record_id=record_id, record=record))


def _invalid(step: str, peer: str, detail: str) -> StepError:
    return StepError(step=step, peer=peer, reason=Reason.INVALID, detail=detail)
