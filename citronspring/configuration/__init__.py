"""Templates, client accounts, and the commits that change them."""
