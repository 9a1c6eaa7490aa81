"""What every daemon's process is made of, around its tasks."""
