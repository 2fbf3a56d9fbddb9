"""Programs: the order of their calls, their history and their budget."""
