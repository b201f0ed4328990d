"""Stand-ins of the second review: a backend, and a small deployment of processes."""
