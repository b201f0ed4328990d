"""Request handling: HTTP listeners, forwarding between nodes, execution at the local target."""
