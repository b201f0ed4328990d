"""Listeners for callers, for the local target and for other nodes: the side that answers."""
