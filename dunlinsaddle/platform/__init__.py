"""Client side of the platform's object API: versions, conditional updates, watches."""
