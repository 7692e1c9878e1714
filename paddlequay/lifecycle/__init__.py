"""Process life: signals, supervised tasks, overload protection and the orders of operators."""
