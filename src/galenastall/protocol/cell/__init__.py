"""Messages between the entry hosts of a cell, and its interfaces to the platform."""
