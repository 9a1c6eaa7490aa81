"""State charts in JSON files, and the code that interprets them."""
