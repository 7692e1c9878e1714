"""Log lines and counters."""
