"""What makes routers that share nothing act as one where many of them meet at few caches (docs/fleet.md)."""
