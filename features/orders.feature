Feature: Orders to engines
  The models loaded follow attached workspaces and demand, whatever old holders send late.

  Scenario: An attached model is loaded at one engine
    Given an order fleet of 3 routers and 3 engines
    When workspace "choir" has model "tiny" attached
    And 60 fleet seconds pass
    Then model "tiny" is loaded at 1 engines

  Scenario: A model in demand is loaded at more engines
    Given an order fleet of 3 routers and 3 engines
    When workspace "choir" has model "tiny" attached
    And callers ask for model "tiny" for 120 fleet seconds
    Then model "tiny" is loaded at 3 engines

  Scenario: A model that is detached is unloaded after a while
    Given an order fleet of 3 routers and 3 engines
    And engine "engine-1" has model "old" loaded
    When workspace "choir" has model "tiny" attached
    And 200 fleet seconds pass
    Then model "old" is loaded at 1 engines
    When 200 fleet seconds pass
    Then model "old" is loaded at 0 engines
    And model "tiny" is loaded at 1 engines

  Scenario: Many cold loads neither stampede nor starve
    Given an order fleet of 3 routers and 6 engines
    When workspace "choir" has 12 models attached at once
    Then at most 2 loads are in progress at any time in 200 fleet seconds
    And each of the 12 models is loaded

  Scenario: Turns whose end got no answer do not block the queue
    Given an order fleet of 3 routers and 6 engines
    When workspace "choir" has 4 models attached at once
    And the answers to all calls about turns are lost for 100 fleet seconds
    And 120 fleet seconds pass
    Then each of the 4 models is loaded

  Scenario: A cold model is loaded although others are in demand
    Given an order fleet of 3 routers and 6 engines
    When workspace "choir" has 6 models attached at once
    And callers ask for the first 5 models for 200 fleet seconds
    Then each of the 6 models is loaded

  Scenario: A model without room replaces one with less demand
    Given an order fleet of 3 routers and 2 engines with room for 1 model
    When workspace "choir" has 2 models attached at once
    And 60 fleet seconds pass
    And workspace "club" has model "tiny" attached
    And callers ask for model "tiny" for 200 fleet seconds
    Then model "tiny" is loaded at 1 engines

  Scenario: Each engine gets its orders from one router
    Given an order fleet of 3 routers and 6 engines
    When workspace "choir" has 6 models attached at once
    And 100 fleet seconds pass
    Then each engine has exactly one holder

  Scenario: The answers to taking shards are lost
    Given an order fleet of 2 routers and 0 engines
    And all writes of "vm-1" below "orders/" lose their answers
    When engines are added and 30 fleet seconds pass
    And all writes of "vm-1" are answered again and 30 fleet seconds pass
    And workspace "choir" has model "tiny" attached
    And 60 fleet seconds pass
    Then each engine has exactly one holder
    And model "tiny" is loaded at 1 engines

  Scenario: The successor of a dead holder carries on
    Given an order fleet of 3 routers and 3 engines
    And 10 fleet seconds pass
    When the holder of "engine-1" is killed
    And 40 fleet seconds pass
    Then the successor's fencing number at "engine-1" is higher
    When workspace "choir" has model "tiny" attached
    And 60 fleet seconds pass
    Then model "tiny" is loaded at 1 engines

  Scenario: An engine dies while it loads
    Given an order fleet of 3 routers and 3 engines
    When workspace "choir" has model "tiny" attached
    And the engine that loads model "tiny" dies
    And 60 fleet seconds pass
    Then model "tiny" is loaded at 1 engines

  Scenario: Nothing is ordered once the lease may have ended
    Given an order fleet of 3 routers and 3 engines
    And the weight store is out
    When workspace "choir" has model "tiny" attached
    And 10 fleet seconds pass
    And the key-value service goes out
    And 9 fleet seconds pass
    And orders are counted for 60 fleet seconds
    Then no order was sent
    When the weight store returns
    And the key-value service returns and 120 fleet seconds pass
    Then model "tiny" is loaded at 1 engines

  Scenario Outline: A late unload of an old holder does not last
    Given an order fleet of 3 routers and 1 engines which <habit> fencing numbers
    And engine "engine-1" has model "tiny" loaded
    When the holder of "engine-1" sends an order to unload "tiny" that is held up for 60 seconds
    And its process is paused meanwhile
    And workspace "choir" has model "tiny" attached
    And 50 fleet seconds pass
    Then "engine-1" has another holder
    And model "tiny" is loaded at 1 engines
    When 11 fleet seconds pass
    Then the late order was <fate>
    When 60 fleet seconds pass
    Then model "tiny" is loaded at 1 engines

    Examples:
      | habit  | fate    |
      | ignore | obeyed  |
      | check  | refused |

  Scenario Outline: A late change of role of an old holder does not last
    Given an order fleet of 3 routers and 1 engines which <habit> fencing numbers
    And engine "engine-1" is configured for role "live"
    When the holder of "engine-1" sends an order to take role "batch" that is held up for 60 seconds
    And its process is paused meanwhile
    And 61 fleet seconds pass
    Then the late order was <fate>
    When 90 fleet seconds pass
    Then "engine-1" has role "live"

    Examples:
      | habit  | fate    |
      | ignore | obeyed  |
      | check  | refused |

  Scenario Outline: No order of an old holder is left in effect after random faults
    Given an order fleet of 3 routers and 6 engines
    When order faults drawn from seed <seed> strike for 180 fleet seconds
    And all is healed and 700 fleet seconds pass
    Then every engine has what the newest configuration asks for
    And engines that check fencing numbers obeyed them in order

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 46   |
