"""Resource amounts in the platform's format."""

import msgspec

from galenastall.state.decoding import Amount
from galenastall.state.resources import Resources


class WireAmount(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """Processor, memory and accelerators."""

    cpu: Amount = 0
    """Thousandths of a core."""
    memory_request_mb: Amount = 0
    gpus: Amount = 0

    def to_resources(self) -> Resources:
        """Convert to the internal type."""
        return Resources(
            cores_milli=self.cpu, memory_mb=self.memory_request_mb, accelerators=self.gpus
        )
