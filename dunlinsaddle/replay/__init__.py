"""Replay of recorded traces through the product's policies, in simulated time."""
