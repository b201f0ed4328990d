"""Overload control for service call graphs: one small process beside each target."""

__version__ = '0.1.0'
