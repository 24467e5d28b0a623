"""End-to-end demo in one process: `python -m galenastall.demo`."""
