"""A stand-in for the operations platform in one process: store, executors, advisor, hosts."""
