"""Typed messages, their codec and the session rules between processes and to the platform."""
