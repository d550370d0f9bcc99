"""Imports the exported names of a package on first use."""

from __future__ import annotations

import sys
from importlib import import_module
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping


def lazy_exports(package: str, exports: Mapping[str, str]) -> Callable[[str], Any]:
    """Returns the `__getattr__` (PEP 562) of a package that imports each exported name on first use.

    A program that uses one module of a package otherwise loads all of them, which costs it start-up time and memory.

    Args:
        package: Name of the package.
        exports: Module of the package that defines each exported name. The names must differ from those of the
            modules, because the import of a module sets an attribute of its own name.
    """

    def import_export(name: str) -> Any:
        module = exports.get(name)
        if module is None:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        value = getattr(import_module(f"{package}.{module}"), name)
        setattr(sys.modules[package], name, value)
        return value

    return import_export


__all__ = ["lazy_exports"]
