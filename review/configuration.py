"""Configurations of the operator for the cases."""

LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 67108864,
    "header_timeout_s": 3,
    "idle_timeout_s": 15,
}


def route(
    host: str,
    prefix: str,
    kind: str,
    service: str,
    *,
    timeout_s: float = 1.5,
    target_s: float = 0.6,
) -> dict[str, object]:
    """One route; `kind` is `safe` or `unsafe`."""
    return {
        "host": host,
        "path_prefix": prefix,
        "route_type": kind,
        "timeout_s": timeout_s,
        "target_latency_s": target_s,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
    }


def configuration(
    version: int, routes: dict[str, dict[str, object]], services: list[str]
) -> dict[str, object]:
    """A whole configuration, as the operator writes it."""
    service = {"health_path": "/health", "max_connections": 220, "protocol": "h1", "tls": False}
    return {
        "version": version,
        "routes": routes,
        "services": {name: service for name in services},
        "limits": LIMITS,
    }
