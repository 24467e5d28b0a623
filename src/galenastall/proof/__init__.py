"""History recorder and invariant checker."""
