"""Overload control for service call graphs: one small process next to each target."""

__version__ = '0.1.0'
