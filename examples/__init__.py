"""Example settings of complete deployments and the program that generates them."""
