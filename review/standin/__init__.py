"""Stand-ins for the store, the backends and the clients, and the deployment that a case starts."""
