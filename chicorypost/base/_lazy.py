"""Names of a package that are imported when they are used.

A process then loads only what its role runs, which is most of its start on small machines.
"""

import importlib
from collections.abc import Callable, Mapping
from typing import Any


def import_lazily(package: str, modules: Mapping[str, str]) -> Callable[[str], Any]:
    """Return the module-level ``__getattr__`` of a package.

    Parameters
    ----------
    package : str
        Name of the package.
    modules : mapping of str to str
        Module within the package that holds each name.

    Returns
    -------
    callable
        Imports the module of a name and returns its value; raises AttributeError for others.
    """

    def find(name: str) -> Any:
        if name not in modules:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        return getattr(importlib.import_module(f"{package}.{modules[name]}"), name)

    return find
