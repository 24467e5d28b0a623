"""Placement of tasks on the workers that this entry host owns."""
