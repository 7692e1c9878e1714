"""Drivers of a hierarchy's node: its front for fills and the feed of its shape."""
