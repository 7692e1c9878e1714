"""Client requests in service: the exchange, its messages, the checks at each write, the process quotas."""
