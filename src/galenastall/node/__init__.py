"""The entry host daemon: drivers that connect the pure core to the transports."""
