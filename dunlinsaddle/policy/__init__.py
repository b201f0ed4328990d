"""Decision logic: pure state that is fed the time and events; no sockets, clock or logging."""
