"""The configuration of a router: environment, JSON file, platform settings and derived limits."""
