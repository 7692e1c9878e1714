"""Drivers of a hierarchy's node: its connections, its fills, and the feed and file of its topology."""
