"""Benchmark scenarios; importing this package registers them in `SCENARIOS`."""

from galenastall.bench.scenarios import (
    lookup_throughput,
    overload,
    placement_failures,
    placement_load,
    request_faults,
    rolling_restart,
    settings_race,
)

MODULES = (
    lookup_throughput,
    overload,
    placement_failures,
    placement_load,
    request_faults,
    rolling_restart,
    settings_race,
)
