"""Who may run which idempotency keys: kept in the platform, ahead of their use."""
