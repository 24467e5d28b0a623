"""A leader of a cell under load, in virtual time: the real decisions, emulated surroundings."""
