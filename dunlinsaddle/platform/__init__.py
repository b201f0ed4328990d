"""Adapter to the users' platform: its headers, formats and API, decoded into own types."""
