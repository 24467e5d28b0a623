"""Drivers of ownership."""
