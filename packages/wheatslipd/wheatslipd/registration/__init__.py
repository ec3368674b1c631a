"""Registration of the local backend server and of its entry in the list of instances."""
