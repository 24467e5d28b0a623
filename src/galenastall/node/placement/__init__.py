"""Drivers of the placement core: calls to owned workers, messages with job shards, leases."""
