"""Drivers of owned workers."""
