"""Stand-ins of the third review: store, executors, advisor, machines and callers, on loopback."""
