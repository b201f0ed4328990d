"""The node on the users' platform: request routing, slot admission and retry budget."""
