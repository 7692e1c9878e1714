"""The life of the process: signals, supervised tasks, overload protection and the overrides of operators."""
