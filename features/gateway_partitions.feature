Feature: Gateways that are partitioned from all upstreams
  Callers, the store and the other gateways still reach such a gateway. Its connections to upstreams hang,
  are reset or refused.

  Scenario Outline: Requests at a gateway that lost its links to all upstreams fail
    Given <gateways> gateways before the services with 1000000 prepaid tokens
    And 3 upstreams of service app that "answers"
    And 5 upstreams of service llm that "streams 5 events"
    When <cut> of the gateways lose their links to all upstreams, and connections <how>
    And requests of every kind reach gateway 1 for 5 seconds
    Then all requests sent 3 seconds after the cut or later are served within 0.5 seconds

    Examples:
      | gateways | cut | how         |
      | 2        | 1   | hang        |
      | 2        | 1   | are refused |
      | 4        | 3   | hang        |

  Scenario Outline: A gateway waits for upstreams that no gateway reaches
    Given 3 gateways before the services with 1000000 prepaid tokens
    And 3 upstreams of service app that "answers"
    And 5 upstreams of service llm that "streams 5 events"
    When 3 of the gateways lose their links to all upstreams, and connections <how>
    And requests of every kind reach gateway 1 for 5 seconds
    Then all requests sent 3 seconds after the cut or later are refused within 0.5 seconds as not run

    Examples:
      | how         |
      | hang        |
      | are refused |

  Scenario: An attempt that never connected is answered as if it may have run
    Given a gateway before the services
    And 3 upstreams of service app that "answers"
    When 1 of the gateways lose their links to all upstreams, and connections hang
    And one request of non-idempotent route /post/ reaches gateway 1
    Then the caller is answered 503
