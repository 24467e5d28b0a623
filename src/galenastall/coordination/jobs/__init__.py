"""Scheduling decisions of a job shard's owner about tasks and gangs."""
