"""The routing configuration: which request goes to which service, and under what terms."""
