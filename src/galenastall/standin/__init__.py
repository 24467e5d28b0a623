"""Stand-ins of the platform for the demo, the tests and the bench."""
