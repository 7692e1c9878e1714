"""The sub-commands of the command line. The router runs without these modules."""
