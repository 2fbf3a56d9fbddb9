"""State of programs: the order of their calls, their history and their token budget."""
