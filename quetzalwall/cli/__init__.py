"""Subcommands of the ``quetzalwall`` program."""
