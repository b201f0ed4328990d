"""Subcommands that change records."""
