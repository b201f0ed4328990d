"""The decisions: pure state fed with the time and an event; no sockets, clock or logging."""
