"""Bundles: their format, validation, signatures and rollout. Also zone drains."""
