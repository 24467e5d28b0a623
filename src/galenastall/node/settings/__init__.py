"""Drivers of the shared settings, and operators' routes to them."""
