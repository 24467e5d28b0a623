"""The message by which an entry host probes its own inbox."""

from dataclasses import dataclass

from galenastall.protocol.codec import PEER_MESSAGES


@PEER_MESSAGES.register("inbox_probe")
@dataclass(frozen=True, kw_only=True, slots=True)
class InboxProbe:
    """A call from an entry host to itself over its inbox; answered with nothing."""
