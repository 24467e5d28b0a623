"""Open-loop load generator and experiments against the stand-ins."""
