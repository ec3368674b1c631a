"""Distribution of configuration to the daemons: the relay tree and the updates sent in it."""
