"""Drivers of what routers share: datagrams, permits, channels and placement tables."""
