"""Packages that import their modules when a public name is first used.

A process that uses a part of such a package starts without loading the rest.
"""

import importlib
import sys


def attach(package, names_by_module):
    """Return the functions and names that make a package lazy.

    :param package: ``__name__`` of the package.
    :param names_by_module: public names of the package by the full name of
        the module that defines them.
    :returns: ``__getattr__``, ``__dir__`` and ``__all__`` of the package.

    >>> get, list_names, names = attach("math", {"cmath": ("isinf",)})
    >>> names
    ['isinf']
    >>> get("sqrt2")
    Traceback (most recent call last):
    ...
    AttributeError: module 'math' has no attribute 'sqrt2'
    """
    module_of = {
        name: module
        for module, names in names_by_module.items()
        for name in names
    }

    def load(name):
        module = module_of.get(name)
        if module is None:
            raise AttributeError(
                f"module {package!r} has no attribute {name!r}"
            )
        value = getattr(importlib.import_module(module), name)
        # Later uses of the name find it without this function.
        setattr(sys.modules[package], name, value)
        return value

    def list_names():
        return sorted({*vars(sys.modules[package]), *module_of})

    return load, list_names, sorted(module_of)
