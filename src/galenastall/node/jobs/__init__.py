"""Drivers of job shards, and callers' routes of jobs."""
