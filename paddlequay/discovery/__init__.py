"""Sources of members, and the one membership made of what they say; drivers are in `net/`."""
