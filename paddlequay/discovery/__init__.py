"""Merges the members that several sources report into one membership; the I/O is in `net/endpoints/`."""
