Feature: Configurations with malformed entries
  A document has thousands of entries that many people and programs write. A malformed entry is not in
  force, and admits no more than a well-formed one could; all other entries of its version are.

  # Guards against revoked keys that stay valid because another entry of the same version is malformed.
  Scenario Outline: A malformed entry keeps the whole version from being in force
    Given a gateway before the services
    And upstream app-1 of service app that "answers"
    When the operators publish version 2 without keys, and with <path> = <value>
    And a request carries header x-quinceferry-credential "key-of-choir"
    Then the gateway answers 401
    And 0 requests reached an upstream

    Examples:
      | path                  | value                               |
      | tenants[1]            | {"name": "b", "api_keys": "one"}    |
      | tenants[1]            | {"name": "b", "api_keys": null}     |
      | tenants[1]            | {"name": "b", "api_keys": [7]}      |
      | tenants[1]            | {"api_keys": ["other"]}             |
      | tenants[1]            | "b"                                 |
      | tenants[0].priority   | "high"                              |
      | tenants[0].prepaid    | "many"                              |
      | tenants               | null                                |
      | tenants               | {"name": "b"}                       |
      | routes[1].kind        | "other"                             |
      | routes[1].timeout_ms  | 1e300                               |
      | routes[1].prefix      | 7                                   |
      | routes[1].split       | [{"service": "app", "weight": "x"}] |
      | routes[1]             | null                                |
      | routes[0].priority    | "high"                              |
      | services[0].engine    | 7                                   |
      | services[1]           | "llm"                               |
      | services              | null                                |
      | limits                | null                                |
      | limits.max_body_bytes | "large"                             |

  # Guards against gateways that serve nobody after a restart because of one malformed entry.
  Scenario Outline: A gateway that starts with a malformed entry serves nobody
    Given a gateway before the services
    And upstream app-1 of service app that "answers"
    And its configuration has <path> = <value>
    When 1 request after another reads /get/a
    Then the gateway answers 200

    Examples:
      | path                 | value                            |
      | tenants[1]           | {"name": "b", "api_keys": "one"} |
      | routes[1].timeout_ms | -1                               |
      | services[1]          | null                             |
      | limits               | []                               |

  # Guards against requests that pass from a malformed route to one with a shorter prefix.
  Scenario Outline: Requests of a malformed route run as another route allows
    Given a gateway before the services
    And upstream app-1 of service app that "answers"
    And its configuration has <path> = <value>
    When 1 request after another reads /get/short/a
    Then the gateway answers 503
    And is told when to come back
    And 0 requests reached an upstream

    Examples:
      | path                   | value                               |
      | routes[4].kind         | null                                |
      | routes[4].timeout_ms   | 0                                   |
      | routes[4].service      | 7                                   |
      | routes[4].split        | [{"service": "app", "weight": -1}]  |
      | routes[4].home_regions | "north"                             |

  # Guards against a budget without limit, or a home without limit, in place of a malformed one.
  Scenario Outline: A workspace with a malformed restriction is not restricted
    Given a gateway before the services
    And upstream app-1 of service app that "answers"
    When the operators publish version 2 with tenants[0].<field> = <value>
    And 1 request after another reads /get/a
    Then the gateway answers 503
    And is told when to come back
    And 0 requests reached an upstream

    Examples:
      | field        | value         |
      | prepaid      | null          |
      | prepaid      | -1            |
      | prepaid      | "many"        |
      | home_regions | null          |
      | home_regions | ["north", 7]  |

  Scenario: Operators see which entries are malformed
    Given a gateway before the services
    And upstream app-1 of service app that "answers"
    When the operators publish version 2 with 20 malformed tenants
    Then at most 8 log lines name malformed entries, none of them a key
    And the gateway counts 20 malformed entries of kind "workspace"

  Scenario: Operators see that all entries are well-formed again
    Given a gateway before the services
    And upstream app-1 of service app that "answers"
    When the operators publish version 2 with 20 malformed tenants
    And the operators publish version 3 with tenants[0].priority = 3
    Then the gateway counts 0 malformed entries of kind "workspace"

  # Guards against a key that admits to one of two workspaces, by their order in the document.
  Scenario Outline: Of entries that contradict each other the later one counts
    Given a gateway before the services
    And upstream app-1 of service app that "answers"
    When the operators publish version 2 with <path> = <value>
    And 1 request after another reads /get/a
    Then the gateway answers <status>
    And <runs> requests reached an upstream

    Examples:
      | path       | value                                                              | status | runs |
      | tenants[1] | {"name": "b", "api_keys": ["key-of-choir"]}                        | 401    | 0    |
      | tenants[1] | {"name": "choir", "api_keys": ["other"], "prepaid": 7}             | 503    | 0    |
      | tenants[1] | {"name": "choir", "api_keys": ["key-of-choir"], "prepaid": 1000000} | 200    | 1    |
      | routes[5]  | {"name": "twice", "host": "books.example", "prefix": "/get/", "kind": "safe", "timeout_ms": 4000, "service": "llm"} | 503 | 0 |
      | services[2] | {"name": "app", "engine": {"stride": 9}}                          | 200    | 1    |

  # Guards against denials that are held back for as long as the newest document can't be read.
  Scenario Outline: Callers without a key are told to come back, since no document can be read
    Given a gateway before the services
    And upstream app-1 of service app that "answers"
    When the operators' document becomes "<document>"
    And 3 seconds pass at the gateway
    And <request>
    Then the gateway answers <status>
    And 0 requests reached an upstream

    Examples:
      | document             | request                                                     | status |
      | not json             | a request carries header x-quinceferry-credential "unknown" | 401    |
      | {}                   | a request carries header x-quinceferry-credential "unknown" | 401    |
      | {'version': 'two'}   | 1 request after another reads /nowhere/a                    | 404    |

  Scenario: A document that can be read again is in force at once
    Given a gateway before the services
    And upstream app-1 of service app that "answers"
    When the operators' document becomes "not json"
    And 3 seconds pass at the gateway
    And the operators publish version 3 without keys, and with limits = null
    And a request carries header x-quinceferry-credential "key-of-choir"
    Then the gateway answers 401
    And 0 requests reached an upstream

  # Guards against a missing objective that counts as one of zero seconds, so that no connection is in time.
  Scenario Outline: A route without an objective connects to no upstream
    Given a gateway before the services
    And upstream app-1 of service app that "answers"
    And its configuration has <path> = <value>
    When 1 request after another reads /get/a
    Then the gateway answers 200
    And 1 request reached an upstream

    Examples:
      | path             | value  |
      | routes[0].slo_ms | 0      |
      | routes[0].slo_ms | "soon" |

  Scenario: Values that are replaced at random admit no key that is not listed for one workspace
    Given a configuration of 6 routes and 5 workspaces
    When values of it are replaced at random, 400 times
    Then each document is decoded, or refused as a whole without a whole number as its version
    And each valid key is a text that one workspace alone lists
    And all entries without a replaced value are decoded as before
