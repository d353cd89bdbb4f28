"""Command line of chicorypost.

A command imports what it runs when it is called: the imports of all commands together take over a
second, which each command of an operator would wait for.
"""

from chicorypost.commands._main import main

__all__ = ["main"]
