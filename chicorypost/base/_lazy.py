"""Lazy imports of the public names of a package.

A process imports only the modules that its role uses, since imports take most of the start time on
small machines.
"""

import importlib
from collections.abc import Callable, Mapping
from typing import Any


def import_lazily(package: str, modules: Mapping[str, str]) -> Callable[[str], Any]:
    """Return the module-level ``__getattr__`` of a package.

    Parameters
    ----------
    package : str
        Qualified name of the package.
    modules : mapping of str to str
        Maps each public name to the module of the package that defines it.

    Returns
    -------
    callable
        Imports the module that defines a name and returns the value of the name; raises
        AttributeError for a name that `modules` lacks.
    """

    def get_attribute(name: str) -> Any:
        if name not in modules:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        return getattr(importlib.import_module(f"{package}.{modules[name]}"), name)

    return get_attribute
