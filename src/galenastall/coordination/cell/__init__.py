"""Decisions of a cell's leader: election, placement, leases, recovery; no I/O and no clock."""
