"""Stand-ins for clients, caches and the platform, for the cases of the second review; nothing but asyncio."""
