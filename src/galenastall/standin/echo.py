"""Bodies of executors' answers, from which a checker tells a foreign or a cut one.

The first line names the request, the attempt, the executor and the digest of the request's body;
filler follows, and the last line is the digest of everything before it.
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import Final

import xxhash

DIGEST_BYTES: Final = 16
"""Length of a digest in hexadecimal."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Echo:
    """What an answer says of itself."""

    request_id: str
    attempt_id: str
    executor: str
    body_digest: str


class EchoVerdict(StrEnum):
    """What a checker thinks of an answer's body."""

    OWN = "own"
    FOREIGN = "foreign"
    """Whole, but another request's."""
    CUT = "cut"
    """Not whole, or not an executor's answer at all."""


def digest(body: bytes) -> str:
    """Return the digest that echoes use."""
    return xxhash.xxh3_64_hexdigest(body)


def encode_echo(echo: Echo, *, size: int) -> bytes:
    """Return an answer body of about `size` bytes, and never less than its two lines need."""
    head = f"{echo.request_id} {echo.attempt_id} {echo.executor} {echo.body_digest}\n".encode()
    filler = b"." * max(0, size - len(head) - DIGEST_BYTES - 2)
    whole = head + filler + b"\n"
    return whole + digest(whole).encode() + b"\n"


def decode_echo(body: bytes) -> Echo | None:
    """Return what a whole answer says; None if it was cut or altered."""
    whole, last = body[: -DIGEST_BYTES - 1], body[-DIGEST_BYTES - 1 :]
    if digest(whole).encode() + b"\n" != last:
        return None
    fields = whole.split(b"\n", 1)[0].decode(errors="replace").split(" ")
    if len(fields) != 4:  # noqa: PLR2004 - the four fields written above
        return None
    request_id, attempt_id, executor, body_digest = fields
    return Echo(
        request_id=request_id, attempt_id=attempt_id, executor=executor, body_digest=body_digest
    )


def check_echo(body: bytes, *, request_id: str, request_body: bytes) -> EchoVerdict:
    """Return whether a body is the whole answer to this request."""
    echo = decode_echo(body)
    if echo is None:
        return EchoVerdict.CUT
    is_own = echo.request_id == request_id and echo.body_digest == digest(request_body)
    return EchoVerdict.OWN if is_own else EchoVerdict.FOREIGN
