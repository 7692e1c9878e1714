"""What routers of one fleet decide together: leases, limits, verdicts, channels, tables: docs/cluster.md."""
