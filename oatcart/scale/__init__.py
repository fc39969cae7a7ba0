"""Measures what each role of the fleet costs as each dimension of the fleet grows.

``python -m oatcart.scale run deploy/scale.yaml`` generates a fleet from one seed, starts the project's own
roles at growing sizes, measures them, fits a slope to each cost and predicts the largest size from the
smaller ones.

The modules, in the order of their use:

* :mod:`oatcart.scale.configuration` holds the settings of the operators' file,
* :mod:`oatcart.scale.configuration_file` reads and checks that file,
* :mod:`oatcart.scale.fleet` generates endpoints and controllers,
* :mod:`oatcart.scale.fault_plan` generates a day of failures, restarts, partitions and changes,
* :mod:`oatcart.scale.runs` starts the roles and measures them,
* :mod:`oatcart.scale.measurement` defines the results of a run,
* :mod:`oatcart.scale.slopes` fits costs to sizes and checks the fit on a held-out size,
* :mod:`oatcart.scale.report` and :mod:`oatcart.scale.plots` show the result.
"""
