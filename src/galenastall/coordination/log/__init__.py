"""When to append."""
