"""Runs the routing policy of many routers in one process, driven by a simulator."""
