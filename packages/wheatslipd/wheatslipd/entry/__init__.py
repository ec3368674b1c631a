"""Entry side of the daemon: accepts requests of callers and forwards them to peer daemons."""
