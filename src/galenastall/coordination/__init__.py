"""Pure decisions: typed events and a time in, typed commands out."""
