"""Adapter that runs the decision policy under the deployment simulator."""
