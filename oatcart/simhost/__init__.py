"""The adapter that joins the decision module to the simulator's wire."""
