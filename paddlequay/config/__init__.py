"""The configuration of a router: environment, JSON file, platform settings and the limits that follow."""
