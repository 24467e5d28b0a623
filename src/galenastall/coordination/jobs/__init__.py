"""What a job shard's owner decides about tasks and gangs."""
