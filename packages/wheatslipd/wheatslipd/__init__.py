"""The wheatslip daemon: entry, admission and control beside one backend server."""

import sys
from types import ModuleType

__version__ = "0.1.0"

_NAMESPACES = "pkg_resources"


def _import_circuits() -> None:
    """Import circuits without setuptools' `pkg_resources`.

    circuits would ask it to declare a namespace and does as well without. It reads the
    metadata of every installed distribution first: a third of the processor time of a start.
    Without it circuits would load `importlib.metadata` instead, so one that declares nothing
    stands in for it meanwhile.
    """
    is_loaded = _NAMESPACES in sys.modules
    if not is_loaded:
        stand_in = ModuleType(_NAMESPACES)
        stand_in.declare_namespace = lambda name: None  # type: ignore[attr-defined]
        sys.modules[_NAMESPACES] = stand_in
    try:
        import circuits  # noqa: F401
    finally:
        if not is_loaded:
            del sys.modules[_NAMESPACES]


_import_circuits()
