"""Adapter to the operations platform: its settings file, store, executors and caller API."""
