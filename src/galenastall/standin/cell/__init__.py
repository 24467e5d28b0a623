"""In-memory executors of a cell, for tests and the stand-in of the operations platform."""
