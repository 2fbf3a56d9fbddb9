"""Orders to an engine: what it is to have loaded, when it may reload, and who may order it."""
