"""Subcommands that only read."""
