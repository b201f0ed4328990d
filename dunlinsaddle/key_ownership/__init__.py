"""Ownership of idempotency keys, stored at the platform: which node may run which keys."""
