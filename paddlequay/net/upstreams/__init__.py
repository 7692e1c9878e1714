"""Drivers of the connections to edge caches, parents and the origin."""
