"""The cache hierarchy: decides which cache fills from which. Uses no sockets, clocks or files."""
