"""Drivers of the sources of members: the endpoint list's watch, DNS and the saved file."""
