"""Resource amounts in the platform's format."""

import msgspec

from galenastall.state.resources import Resources


class WireAmount(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """Processor, memory and accelerators."""

    cpu: int = 0
    """Thousandths of a core."""
    memory_request_mb: int = 0
    gpus: int = 0

    def to_resources(self) -> Resources:
        """Convert to the internal type."""
        return Resources(
            cores_milli=self.cpu, memory_mb=self.memory_request_mb, accelerators=self.gpus
        )
