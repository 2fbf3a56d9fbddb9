"""Stand-in for a model engine: chat completions over a model of batching and prefix caching."""
