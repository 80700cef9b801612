"""What is read of the days that the users' bench plays."""
