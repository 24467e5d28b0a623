"""Names callers' keys as the platform does, and turns them into digests."""

import hashlib
from typing import Final

KEY_HEADER: Final = "x-api-key"


def digest_of(key: str) -> str:
    """Return the digest that is stored, sent and compared instead of a key."""
    return hashlib.sha256(key.encode()).hexdigest()
