"""Scenarios, one module for each thing to show; importing this fills their registry."""

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
