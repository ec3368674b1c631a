"""Rate limits of workspaces: asks for tokens, and grants them as the owner of a limit."""
