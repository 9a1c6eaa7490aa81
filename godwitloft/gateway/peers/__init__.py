"""What gateways tell each other beside the use of allowances."""
