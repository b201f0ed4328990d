"""Calls with a key, which run at most once: who owns a key, and what became of it."""
