"""Pending client requests: the exchange, its messages, the checks before each write, the process quotas."""
