"""The wheatslip daemon: entry, admission and control for one local backend server."""

import sys
from types import ModuleType

__version__ = "0.1.0"

_PKG_RESOURCES = "pkg_resources"


def _import_circuits() -> None:
    """Import circuits with a stub in place of setuptools' `pkg_resources`.

    circuits needs `pkg_resources` only to declare a namespace package. Importing it reads the
    metadata of every installed distribution, which is slow. If the module were only missing,
    circuits would import `importlib.metadata` instead.
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
