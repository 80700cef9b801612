"""Subcommands of `galenascale`, one module each."""
