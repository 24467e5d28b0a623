"""Simulates a cell leader under load in virtual time: real decisions, emulated environment."""
