"""A stand-in of the operations platform in one process: store, executors, advisor, hosts."""
