"""Frames between entry hosts: one msgpack array for each call, one-way message or answer."""

from dataclasses import replace
from typing import Any, Final

import msgspec
import xxhash
from returns.result import Failure, Result, Success

from galenastall.protocol.codec import decode_message, encode_message
from galenastall.state.decoding import DECODE_ERRORS, shorten
from galenastall.state.errors import Reason, StepError
from galenastall.state.ids import HostId
from galenastall.state.timeline import HybridTime

CALL: Final = 1
"""Expects an answer."""
ONE_WAY: Final = 2
ANSWER: Final = 3
"""Carries the message returned by the handler."""
NO_MESSAGE: Final = 4
"""An answer whose handler returned nothing."""
ERROR: Final = 5
"""Carries the StepError returned by the handler."""

NO_TIME: Final = HybridTime(wall_ms=0)
"""Placeholder of a process without a hybrid clock."""
_NOTHING: Final = msgspec.Raw(msgspec.msgpack.encode(None))


class Envelope(msgspec.Struct, array_like=True, gc=False, frozen=True):
    """Header and body of a message."""

    kind: int
    correlation_id: int
    """Matches an answer to its call; 0 for one-way messages."""
    sender: str = ""
    """Host id of the sender; empty in answers."""
    target: int = 0
    """Digest of the intended host id, since addresses are reused; 0 in answers."""
    name: str = ""
    """Wire name of the message."""
    body: msgspec.Raw = _NOTHING
    wall_ms: int = 0
    """Hybrid time of the sender, which keeps events of sender and receiver ordered."""
    counter: int = 0


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Envelope).decode


def host_digest(host: HostId) -> int:
    """Return a 32-bit digest of a host id."""
    return xxhash.xxh32_intdigest(host.encode())


def encode_request(
    *,
    kind: int,
    correlation_id: int,
    sender: HostId,
    target: int,
    message: object,
    at: HybridTime = NO_TIME,
) -> bytes:
    """Return the frame of a call or one-way message."""
    name, body = encode_message(message)
    raw = msgspec.Raw(body)
    return _encode(
        Envelope(kind, correlation_id, sender, target, name, raw, at.wall_ms, at.counter)
    )


def encode_answer(*, correlation_id: int, answer: Any, at: HybridTime = NO_TIME) -> bytes:
    """Return the frame of an answer: a message, a Result of one, a StepError or None."""
    if isinstance(answer, Success):
        answer = answer.unwrap()
    elif isinstance(answer, Failure):
        answer = answer.failure()
    kind, name, body = _answer_parts(answer)
    return _encode(Envelope(kind, correlation_id, "", 0, name, body, at.wall_ms, at.counter))


def _answer_parts(answer: Any) -> tuple[int, str, msgspec.Raw]:
    if answer is None:
        return NO_MESSAGE, "", _NOTHING
    if isinstance(answer, StepError):
        return ERROR, "", msgspec.Raw(msgspec.msgpack.encode(answer))
    name, body = encode_message(answer)
    return ANSWER, name, msgspec.Raw(body)


def decode_envelope(frame: bytes) -> Envelope | None:
    """Return the envelope, or None if the frame is not one."""
    try:
        return _decode(frame)
    except DECODE_ERRORS:
        return None


def decode_answer(
    envelope: Envelope, *, peer: HostId, wanted: type[Any] | None = None
) -> Result[Any, StepError]:
    """Return the result of the peer's handler.

    An answer that can't be decoded, or is not of the wanted type, is a CUT error.
    """
    if envelope.kind == NO_MESSAGE:
        return Success(None) if wanted is None else Failure(_cut(peer, "answer without a message"))
    if envelope.kind == ANSWER:
        answer = decode_message(envelope.name, bytes(envelope.body), peer=peer).alt(
            lambda error: _cut(peer, error.detail)
        )
        if wanted is None or isinstance(answer, Failure) or isinstance(answer.unwrap(), wanted):
            return answer
        detail = f"expected {wanted.__name__}, got message {envelope.name!r}"
        return Failure(_cut(peer, detail))
    try:
        error = msgspec.msgpack.decode(envelope.body, type=StepError)
    except DECODE_ERRORS as fault:
        return Failure(_cut(peer, shorten(str(fault))))
    return Failure(error if error.peer else replace(error, peer=peer))


def _cut(peer: HostId, detail: str) -> StepError:
    return StepError(step="peer.call", peer=peer, reason=Reason.CUT, detail=detail)
