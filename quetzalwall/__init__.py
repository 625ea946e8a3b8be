"""Global traffic steering: the library under the ``quetzalwall`` program.

The packages follow the life span of what they hold: `request` for one request,
`connection` for one connection, `version` for one version of the configuration,
and `process` for the whole run of an instance. `platform` holds the clients
of the platform's services, and `cli` the command line.
"""

__version__ = "0.1.0"
