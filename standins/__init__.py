"""Small stand-ins for what surrounds a node: the platform, a target, a caller."""
