"""The adapter between the deployment simulator and the decision policy."""
