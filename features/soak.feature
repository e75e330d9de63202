Feature: Soak of gateways as real processes
  Stops, kills, reloads and configurations in overlapping series, among callers that keep their
  connections until these are closed, while the processes get little processor time. Longer soaks are
  played by hand.

  Scenario Outline: A short soak of starved gateways breaks a promise
    When 3 gateway processes are soaked for 10 seconds with seed <seed>, starved by <starvation>
    Then the soak has stopped gateways and broken no promise

    Examples:
      | seed | starvation |
      | 1    | slices     |
      | 2    | stalls     |

  Scenario: Service does not return after all gateways were killed together
    When 3 gateway processes are soaked for 6 seconds with seed 3 and then killed together 2 times
    Then the soak has stopped gateways and broken no promise

  Scenario Outline: The checks of a soak miss <fault>
    Given a stream sent <sent> s after SIGTERM, which ended <ended> s after it without its end
    Then the checks of the soak find "<found>"

    Examples:
      | fault                              | sent | ended | found |
      | a stream that a stop cut too early | -1.0 | 6.5   | cut   |
      | a late stream that a stop cut      | 3.5  | 7.2   | cut   |

  Scenario Outline: The checks of a soak blame a stop for <case>
    Given a stream sent <sent> s after SIGTERM, which ended <ended> s after it without its end
    Then the checks of the soak find nothing

    Examples:
      | case                                    | sent | ended |
      | a stream that was cut in the last sixth | -1.0 | 6.9   |
      | a stream whose caller's time was up     | -7.5 | 0.5   |
      | a stream that ended before the stop     | -5.0 | -1.0  |

  Scenario Outline: The checks of a soak miss <fault>
    Given a request of kind <kind> that ran <runs> times and was answered <status>
    Then the checks of the soak find "<found>"

    Examples:
      | fault                          | kind   | runs | status | found   |
      | an unsafe request that ran twice | UNSAFE | 2    | 200    | twice   |
      | a refusal of what has run      | UNSAFE | 1    | 503    | refused |

  Scenario: The checks of a soak miss tokens beyond the prepaid ones
    Given a whole stream of 30 events for 100 prepaid tokens
    Then the checks of the soak find "overspent"

  Scenario Outline: The checks of a soak miss <fault>
    Given requests before and after a kill of all gateways, of which <before> and <after> of 8 are served
    Then the checks of the soak find "<found>"

    Examples:
      | fault                                     | before | after | found         |
      | a service that does not return            | 8      | 1     | not recovered |
      | a service that returns to nobody          | 2      | 0     | not recovered |

  Scenario Outline: The checks of a soak blame a kill of all gateways for <case>
    Given requests before and after a kill of all gateways, of which <before> and <after> of 8 are served
    Then the checks of the soak find nothing

    Examples:
      | case                               | before | after |
      | a service that returns             | 8      | 2     |
      | a service that was away before it  | 1      | 0     |
