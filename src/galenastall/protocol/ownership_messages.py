"""Registers the ownership messages under their wire names."""

from galenastall.coordination.ownership.ownership_messages import (
    Fence,
    FenceAck,
    Heartbeat,
    TailAnswer,
    TailRequest,
)
from galenastall.protocol.codec import PEER_MESSAGES

PEER_MESSAGES.register("own.beat")(Heartbeat)
PEER_MESSAGES.register("own.fence")(Fence)
PEER_MESSAGES.register("own.ack")(FenceAck)
PEER_MESSAGES.register("own.tail?")(TailRequest)
PEER_MESSAGES.register("own.tail")(TailAnswer)
