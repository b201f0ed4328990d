"""Service records written by operators: schema versions, changes, history, synchronisation."""
