"""The wheatslip daemon: entry, admission and control for one local backend server."""

import sys
from types import ModuleType

__version__ = "0.1.0"

_PKG_RESOURCES = "pkg_resources"


def _import_circuits() -> None:
    """Import circuits without setuptools' `pkg_resources`.

    circuits imports it only to declare a namespace package, which is not needed here. That
    import reads the metadata of every installed distribution and slows down the start. Without
    `pkg_resources` circuits would load `importlib.metadata` instead, so a stub replaces it
    during the import.
    """
    is_loaded = _PKG_RESOURCES in sys.modules
    if not is_loaded:
        stub = ModuleType(_PKG_RESOURCES)
        stub.declare_namespace = lambda name: None  # type: ignore[attr-defined]
        sys.modules[_PKG_RESOURCES] = stub
    try:
        import circuits  # noqa: F401
    finally:
        if not is_loaded:
            del sys.modules[_PKG_RESOURCES]


_import_circuits()
