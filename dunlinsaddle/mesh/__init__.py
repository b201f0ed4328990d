"""The node on the users' platform: routed requests, announced slots, shared retry budget."""
