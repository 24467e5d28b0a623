"""The whole path in one process: `python -m galenastall.demo`."""
