"""Client of the platform's log: followers and group commit."""
