"""Controllers: each owns one part of the daemon's state and publishes it in the view."""
