"""Fair shares of scarce capacity between client accounts."""
