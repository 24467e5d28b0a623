"""One order of events over processes, and what they say of an id."""
