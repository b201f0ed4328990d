"""Replay of recorded traces through the real decisions, on a paused clock."""
