"""What the platform speaks: names, formats and calls, decoded into the project's own types."""
