"""Stand-ins and process control that the scripts of the review share; the standard library only."""
