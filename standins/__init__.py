"""Stand-ins for the surroundings of a node: the platform, targets and callers."""
