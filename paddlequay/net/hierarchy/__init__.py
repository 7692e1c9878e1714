"""Network drivers of a cache node: its connections, its fills, and the feed and file of its topology."""
