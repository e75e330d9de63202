Feature: Upstreams that leave while cuts, outages and starts of gateways overlap
  A gateway that was cut off from the store retains upstreams that left meanwhile, and passes that on.
  What the others know of the store decides whether it may.

  # Guards against upstreams that a gateway adopts from one that was cut off because its own contact
  # with the store is young, though other gateways were in contact all the time.
  Scenario Outline: A gateway that has just started uses an upstream that left before its start
    Given 7 gateways with 20 upstreams, seed <seed>
    And the first 4 are cut off from second 10 to 13
    And gateways 4 to <last> end at second 11.2 and start again at 11.7
    When u-1 leaves at second 11.1, and all is played to second 20
    Then gateways in touch used no upstream that had left
    And gateways used every upstream that stays

    Examples:
      | last | seed |
      | 5    | 2    |
      | 5    | 12   |
      | 6    | 6    |
      | 6    | 8    |

  # Guards against grace periods that begin again with each gateway that returns.
  Scenario: A gateway that is back in touch uses an upstream again by the copy of one cut off later
    Given 7 gateways with 20 upstreams, seed 39
    And the first 4 are cut off from second 10 to 13
    And the last 3 are cut off from second 12.2 to 15.2
    When u-1 leaves at second 13.4, and all is played to second 22
    Then gateways in touch used no upstream that had left
    And gateways used every upstream that stays

  # Guards against missing entries that expire only when the reader of the list wakes up.
  Scenario Outline: The time of a missing upstream ends while the reader of the list sleeps
    Given 7 gateways with 20 upstreams, seed <seed>
    And the first 4 are cut off from second 10 to 13
    And gateways 4 to <last> end at second 11.2 and start again at 11.7
    When u-1 leaves at second 11.1, and all is played to second 20
    Then gateways in touch used no upstream that had left
    And gateways used every upstream that stays

    Examples:
      | last | seed |
      | 5    | 8    |
      | 6    | 3    |
      | 6    | 4    |

  # Guards against copies that undo what the failed calls of a gateway have shown it.
  Scenario: A gateway adopts a later end of retention than its own calls have shown
    Given 3 gateways with 20 upstreams, seed 21
    And the first 1 are cut off from second 10 to 11.2
    And the last 2 are cut off from second 9.6 to 13.7
    When u-1 leaves at second 10.5, and all is played to second 20
    Then gateways in touch used no upstream that had left
    And gateways used every upstream that stays

  # Guards against evidence of the store's availability that only differing copies carry.
  Scenario Outline: Gateways whose lists agree don't tell each other since when the store answers
    Given 7 gateways with 20 upstreams, seed <seed>
    And the first 4 are cut off from second 10 to 13
    And gateways 4 to 5 end at second 11.2 and start again at 11.7
    When u-1 leaves at second 11.1, and all is played to second 20
    Then no gateway used an upstream again that it had removed after it left
    And gateways used every upstream that stays

    Examples:
      | seed |
      | 1    |
      | 4    |
      | 5    |

  # Guards against an outage that is hidden by contact that gets longer with each hop.
  Scenario: Contact that is passed on in a circle grows into the outage before it
    Given contact with the store from second 10.012 to 20.034
    When its summary passes through 100 gateways, 1 ms each
    Then the last one knows of no answer before second 10.012
    And the last one knows of contact for at least 4 seconds

  # Guards against live upstreams that are dropped early by gateways many hops from the reader.
  Scenario: The time for which a missing upstream is retained gets shorter with each hop
    Given an upstream that is retained for 2 seconds though it is missing
    When the copy of the list passes through 10 gateways, 0.1 seconds each
    Then the last one retains it to 2 seconds after the first copy was encoded, give or take 0.02

  # Guards against the loss of what a gateway knows, by an outage that its peers were cut off before.
  Scenario Outline: An upstream whose removal a gateway has seen is used again after an outage
    Given 7 gateways with 20 upstreams, seed <seed>
    And the first 4 are cut off from second 10 to 17.1
    And the store is away from second 13 to 17
    When u-1 leaves at second 11.2, and all is played to second 24
    Then gateways in touch used no upstream that had left
    And no gateway used an upstream again that it had removed while it was in touch

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  # Guards against a retained entry that is older than the mark that its upstream drains.
  Scenario Outline: An upstream that a gateway knows to be draining is used again after an outage
    Given 7 gateways with 20 upstreams, seed <seed>
    And the first 4 are cut off from second 10 to 17.1
    And the store is away from second 13 to 17
    When u-1 drains at second 12.2, and all is played to second 24
    Then gateways in touch used no upstream that had left
    And no gateway used an upstream again that it had removed while it was in touch

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 4    |

  # Guards against live upstreams that are dropped because a peer has nothing to retain.
  Scenario Outline: A gateway adopts the list of one that has just started after an outage
    Given 7 gateways with 20 upstreams, seed <seed>
    And the store is away from second 10 to 16
    And gateways 3 to 4 end at second 15.5 and start again at 16
    When u-1 leaves at second 22, and all is played to second 25
    Then gateways in touch used no upstream that had left
    And gateways used every upstream that stays

    Examples:
      | seed |
      | 8    |
      | 12   |
      | 15   |

  Scenario Outline: Cuts and starts of gateways overlap at random
    Given <gateways> gateways with 20 upstreams, seed <seed>
    And 8 episodes of cuts and starts that overlap, while upstreams leave
    When all is played
    Then gateways in touch used no upstream that had left
    And no gateway used an upstream again that it had removed while it was in touch
    And gateways used every upstream that stays

    Examples:
      | gateways | seed |
      | 3        | 124  |
      | 7        | 106  |
      | 7        | 158  |
      | 9        | 152  |
      | 30       | 5    |
      | 83       | 6    |

  Scenario Outline: Cuts, outages and starts of gateways overlap at random
    Given <gateways> gateways with 20 upstreams, seed <seed>
    And 8 episodes of cuts, outages and starts that overlap, while upstreams leave
    When all is played
    Then gateways in touch used no upstream that had left
    And no gateway used an upstream again that it had removed while it was in touch

    Examples:
      | gateways | seed |
      | 3        | 118  |
      | 7        | 116  |
      | 7        | 142  |
      | 9        | 107  |
      | 9        | 151  |
      | 9        | 250  |
      | 30       | 5    |
