"""Which instances are there, as heard from the platform's rosters and from peers."""
