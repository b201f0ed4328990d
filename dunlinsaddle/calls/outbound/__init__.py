"""Connections to servers and links to other nodes: the side that sends calls."""
