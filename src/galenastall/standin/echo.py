"""Response bodies of executors, from which a checker detects misrouted and truncated responses.

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
    """Identity fields of a response."""

    request_id: str
    attempt_id: str
    executor: str
    body_digest: str


class EchoVerdict(StrEnum):
    """Result of checking a response body."""

    OWN = "own"
    FOREIGN = "foreign"
    """Complete, but the response to another request."""
    CUT = "cut"
    """Truncated, or not an executor's response at all."""


def digest(body: bytes) -> str:
    """Return the digest used in response bodies."""
    return xxhash.xxh3_64_hexdigest(body)


def encode_echo(echo: Echo, *, size: int) -> bytes:
    """Return a response body of about `size` bytes, but at least the size of its two lines."""
    head = f"{echo.request_id} {echo.attempt_id} {echo.executor} {echo.body_digest}\n".encode()
    filler = b"." * max(0, size - len(head) - DIGEST_BYTES - 2)
    content = head + filler + b"\n"
    return content + digest(content).encode() + b"\n"


def decode_echo(body: bytes) -> Echo | None:
    """Parse a complete response; None if it was truncated or altered."""
    content, last = body[: -DIGEST_BYTES - 1], body[-DIGEST_BYTES - 1 :]
    if digest(content).encode() + b"\n" != last:
        return None
    fields = content.split(b"\n", 1)[0].decode(errors="replace").split(" ")
    if len(fields) != 4:  # noqa: PLR2004 - the four fields written above
        return None
    request_id, attempt_id, executor, body_digest = fields
    return Echo(
        request_id=request_id, attempt_id=attempt_id, executor=executor, body_digest=body_digest
    )


def check_echo(body: bytes, *, request_id: str, request_body: bytes) -> EchoVerdict:
    """Check whether a body is the complete response to this request."""
    echo = decode_echo(body)
    if echo is None:
        return EchoVerdict.CUT
    is_own = echo.request_id == request_id and echo.body_digest == digest(request_body)
    return EchoVerdict.OWN if is_own else EchoVerdict.FOREIGN
