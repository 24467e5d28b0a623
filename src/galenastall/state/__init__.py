"""Frozen records, folds of the log and indexes: no I/O and no clock of their own."""
