"""Rate limits of workspaces over all daemons: tokens that owners grant to entries."""
