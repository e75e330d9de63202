Feature: Entries of the list of upstreams that can't be used

  An entry may come from another writer. One that can't be read names no upstream; all others stay in use.

  Scenario Outline: An entry that can't be read names no upstream
    Given a list with a whole entry and one that <fault>
    When the list of upstreams is read
    Then it names the whole entry alone

    Examples:
      | fault                        |
      | lacks "addr"                 |
      | lacks "state"                |
      | lacks "slots"                |
      | lacks "service"              |
      | lacks "zone"                 |
      | has "addr" = 7               |
      | has "addr" = "nowhere"       |
      | has "addr" = "10.0.0.1:no"   |
      | has "addr" = "10.0.0.1:"     |
      | has "addr" = ":80"           |
      | has "addr" = "10.0.0.1:0"    |
      | has "slots" = "many"         |
      | has "slots" = -1             |
      | has "slots" = true           |
      | has "zone" = null            |
      | has "state" = "resting"      |
      | has "state" = []             |
      | has "seq" = "x"              |
      | has "born" = 12.5            |
      | has "born" = "yesterday"     |
      | has "addr" = "caf\u00e9:80"  |
      | has "addr" = "\u0661:80"     |
      | has "addr" = "10.0.0.1:\u0661" |
      | has "slots" = 18446744073709551616 |
      | is no JSON                   |
      | is no text                   |
      | is a list                    |
      | is empty                     |
      | has a "seq" of 5000 digits   |

  # Guards against an entry of another writer that ends the reading of the list for good.
  Scenario Outline: An entry that the decoder can't take ends the reading of the list
    Given a list with a whole entry and one that <fault>
    When the list of upstreams is read
    Then it names the whole entry alone

    Examples:
      | fault                          |
      | has a deep "cold_left_ms"      |
      | has a deep unknown field       |
      | has "born" of 400 digits       |
      | has a port of 5000 digits      |
      | is no Base64                   |
      | has an identifier of two lines |

  Scenario: Many entries that can't be read cost one log line each
    Given a list with 60 entries that can't be read
    When the list of upstreams is read 20 times
    Then 60 log lines tell of it
    When one of these entries changes
    And the list of upstreams is read 20 times
    Then 61 log lines tell of it

  Scenario: An upstream that starts again under its identifier is another lifetime
    Given a list with a whole entry born at 1700000000000
    When the list of upstreams is read
    Then the upstream began at 1700000000.0 seconds
