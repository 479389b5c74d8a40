"""A small deployment like the site psr-gateway."""

HOST = "shop.example"
# An instance reads the store through another one of its zone, and then sees the
# servers at the addresses that this one sees. Cases that disturb the path of one
# machine put each machine into a zone of its own.
ZONES = ["ridge-north", "ridge-south", "city-depot", "valley-lodge"]


def configuration(version=1, services=None, changes=None):
    """The operator's configuration. `changes` maps a route's name to fields of
    its Action that differ."""
    services = services or {"gearshelf": True, "holdfast": False,
                            "papertrail": False, "bootfit": False}
    routes = [
        ("catalog-browse", "idempotent", "/catalog/", "gearshelf", 1200, 2,
         "600ms"),
        ("deposit-booking", "non_idempotent", "/deposit/", "holdfast", 1500, 2,
         "800ms"),
        ("waiver-upload", "upload", "/waiver/", "papertrail", 3000, 2, "800ms"),
        ("fit-lookup", "idempotent", "/fit/", "bootfit", 1200, 2, "300ms"),
    ]
    rules = []
    for name, kind, prefix, service, timeout, attempts, latency in routes:
        if service not in services:
            continue
        action = {"Service": service, "Timeout": "%dms" % timeout,
                  "MaxAttempts": attempts}
        action.update((changes or {}).get(name, {}))
        rules.append({"Name": name, "Kind": kind, "TargetLatency": latency,
                      "Priority": 1, "Match": {"PathPrefix": prefix},
                      "Action": action})
    clusters = [{"Name": name, "HealthPath": "/health", "MaxConnections": 130,
                 "Protocol": "h1", "Tls": False,
                 **({"Sharded": True, "WarmUp": "3s", "Grants": "call"}
                    if keyed else {})}
                for name, keyed in services.items()]
    return {"Version": version,
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864,
                       "HeaderTimeout": "3000ms", "IdleTimeout": "15000ms"},
            "Listeners": [{"Host": HOST, "Rules": rules}],
            "Clusters": clusters}
