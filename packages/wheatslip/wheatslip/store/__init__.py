"""The platform's object API and its client, the instance list, and server registration."""
