"""History recorder, invariant checker and ownership model."""
