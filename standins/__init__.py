"""Stand-ins for the platform, backend servers, callers and operators."""
