"""The I/O of the member sources: watches of the endpoint list, DNS and the saved file."""
