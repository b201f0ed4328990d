"""Discovery of instances and detection of their failure, by gossip and the platform's rosters."""
