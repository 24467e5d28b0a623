"""A cell's executors in memory, for tests and the stand-in of the operations platform."""
