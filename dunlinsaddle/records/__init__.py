"""What operators write: typed records of services, in schema versions that live side by side."""
