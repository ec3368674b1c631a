"""The demonstration: the whole path as separate processes on loopback."""
