"""The changing cache hierarchy: which cache fills from which. Pure decisions, no sockets, clocks or files."""
