"""What hosts have and hold: owners by capacity, and budgets for memory and connections."""
