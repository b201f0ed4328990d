"""Authentication of callers, the lease on the configuration, and quotas of organisations."""
