"""Stand-ins for what the product meets outside: the platform and backend servers."""
