"""Drivers of connections to edge caches, parents and the origin."""
