"""The local side of the log: followers and group commit."""
