"""I/O of the process: sockets, HTTP, clocks, logs and metrics."""
