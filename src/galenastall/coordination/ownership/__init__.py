"""Ownership: at most one entry host acts on a worker, upstream or shard."""
