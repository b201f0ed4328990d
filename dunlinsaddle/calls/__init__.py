"""The way of a call: HTTP faces, the link between nodes, forwarding."""
