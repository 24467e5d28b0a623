"""Adapter of the operations platform: its settings file, store, executors and callers' dialect."""
