"""What each role of the fleet costs as each dimension of the fleet grows.

``python -m oatcart.scale run deploy/scale.yaml`` draws a fleet from one seed, starts the project's own roles
at growing sizes, measures them, fits a slope to each cost and predicts the largest size from the
smaller ones.

The modules, in the order of their use:

* :mod:`oatcart.scale.configuration` holds what the operators' file sets,
* :mod:`oatcart.scale.configuration_file` reads and checks that file,
* :mod:`oatcart.scale.fleet` draws endpoints and controllers,
* :mod:`oatcart.scale.fault_plan` draws a day of failures, restarts, partitions and changes,
* :mod:`oatcart.scale.runs` starts the roles and measures them,
* :mod:`oatcart.scale.measurement` is what a run yields,
* :mod:`oatcart.scale.slopes` fits costs to sizes and proves the fit on a size left out,
* :mod:`oatcart.scale.report` and :mod:`oatcart.scale.plots` show the result.
"""
