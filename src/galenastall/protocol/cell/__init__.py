"""Messages and interfaces of a cell: between entry hosts, and to store, executors and advisor."""
