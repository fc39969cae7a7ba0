"""The adapter that joins the decision module to real sockets."""
