"""The two deployments of the demonstration, and their configuration bundle."""

from wheatslip.config.bundle import credential_digest

from standins.cluster import Plan

AT_EAST_ZONES = ("wien-a", "wien-b", "linz-c")
DSS_ZONES = ("parc-p1", "parc-p2", "salle-tech")
# Number of backend servers by service.
AT_EAST = {"papers": 4, "sittings": 3, "certs": 3, "results": 3}
DSS = {"tarifs": 4, "barrieres": 3, "caisse": 3, "occupation": 3}
AT_EAST_CALLERS = ("haus-alt", "haus-neu", "haus-west")
DSS_CALLERS = ("motorists", "taxis", "airlines")
SERVICE_OWNERS = ("pruefwerk", "aibd-parking")
# Request kinds that must run at most once, by service.
ONCE_KINDS = {
    "sittings": "submit-answer",
    "certs": "issue",
    "barrieres": "enter",
    "caisse": "capture",
}


def make_plans() -> list[Plan]:
    """The backend servers of both deployments."""
    at_east = _pool_plans(AT_EAST, AT_EAST_ZONES, 12)
    return at_east + _pool_plans(DSS, DSS_ZONES, 6)


def credential(workspace: str) -> str:
    return f"demo-{workspace}"


def bundle_text(version: int, extra: str = "") -> str:
    """The bundle in INI format. `extra` holds more sections."""
    sections = [f"[bundle]\nversion = {version}\n"]
    for workspace in (*SERVICE_OWNERS, *AT_EAST_CALLERS, *DSS_CALLERS):
        digest = credential_digest(credential(workspace))
        sections.append(f"[workspace {workspace}]\ncredential-sha256 = {digest}\n")
    sections += _service_sections(AT_EAST, "pruefwerk", AT_EAST_CALLERS, 12)
    sections += _service_sections(DSS, "aibd-parking", DSS_CALLERS, 6)
    return "\n".join(sections) + extra


def _pool_plans(services: dict[str, int], zones: tuple[str, ...], slots: int) -> list[Plan]:
    return [
        Plan(f"{service}-{number + 1}", service, zones[number % len(zones)], slots)
        for service, count in services.items()
        for number in range(count)
    ]


def _service_sections(
    services: dict[str, int], owner: str, callers: tuple[str, ...], slots: int
) -> list[str]:
    sections = []
    for name in services:
        sections.append(f"[pool {name}]\nslots = {slots}\nprobes-per-second = 1\n")
        sections.append(
            f"[service {name}]\nworkspace = {owner}\npool = {name}\n"
            f"callers = {', '.join(callers)}\n"
        )
        sections.append(f"[kind {name}/look-up]\nrepeatable = yes\n")
        if name in ONCE_KINDS:
            sections.append(f"[kind {name}/{ONCE_KINDS[name]}]\nrepeatable = no\n")
    return sections
