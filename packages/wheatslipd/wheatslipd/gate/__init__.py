"""Server side of the daemon: the peer port, admission and the link to the backend server."""
