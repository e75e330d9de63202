Feature: More callers than descriptors
  A gateway that has no descriptors left can open no connection to the store, to upstreams and to peers. It
  keeps some back, closes idle connections first, and refuses what exceeds the rest.

  Scenario Outline: Callers use up the descriptors of a gateway process
    Given a gateway process that may have 400 descriptors open
    When <streams> callers ask for streams, <idle> stay idle and <lookups> look addresses up, all at once
    Then for 4 seconds the gateway process is ready, and its list of upstreams is recent
    And streams that began go on, and the others are refused as not run or closed
    And a caller that comes after all have left is served

    Examples:
      | streams | idle | lookups |
      | 90      | 400  | 310     |
      | 700     | 100  | 0       |
      | 1500    | 1500 | 1000    |

  Scenario Outline: Descriptors are shared out
    Then a process with <descriptors> descriptors accepts <callers> callers and <directory> lookups
    And all its connections together, each caller's with one to an upstream, need at most <most>

    Examples:
      | descriptors | callers | directory | most |
      | 400         | 114     | 30        | 300  |
      | 4100        | 1482    | 390       | 3900 |
      | 8192        | 3036    | 799       | 7992 |
