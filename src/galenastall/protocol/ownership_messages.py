"""Files the messages of ownership under their wire names."""

from galenastall.coordination.ownership.ownership_messages import (
    Beat,
    Fence,
    FenceAck,
    TailAnswer,
    TailRequest,
)
from galenastall.protocol.codec import PEER_MESSAGES

PEER_MESSAGES.register("own.beat")(Beat)
PEER_MESSAGES.register("own.fence")(Fence)
PEER_MESSAGES.register("own.ack")(FenceAck)
PEER_MESSAGES.register("own.tail?")(TailRequest)
PEER_MESSAGES.register("own.tail")(TailAnswer)
