"""Global traffic steering: the library under the ``quetzalwall`` program.

Packages are split by the lifetime of the objects they define: `request` for one
request, `connection` for one connection, `version` for one version of the
configuration, and `process` for the whole run of an instance. `platform` has the
clients of the platform's services, and `cli` the command line.
"""

__version__ = "0.1.0"
