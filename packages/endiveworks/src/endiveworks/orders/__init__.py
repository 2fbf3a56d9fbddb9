"""Orders to engines: the desired state, when an engine may reload, and which process may order."""
