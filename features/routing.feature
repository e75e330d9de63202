Feature: Choice of upstream and admission
  Requests go to an upstream that has their model loaded, is not leaving and holds their prefix or
  little work; what cannot be served in time is refused at once.

  Scenario: An engine whose load report is stuck at zero is not herded
    Given 3 routers before 4 engines, one of which always reports no load
    When 48 long answers are asked for over 12 seconds
    Then the engine with the stuck report gets at most 20 of them
    And the answers are spread over all 4 engines

  Scenario: The check finds herding on the least reported load
    Given 3 routers that choose the least reported load before 4 engines, one of which always reports no load
    When 48 long answers are asked for over 12 seconds
    Then the engine with the stuck report gets at least 36 of them

  Scenario: An upstream leaves under load and tells only its load readers
    Given 2 routers before 3 engines under steady load
    When engine e0 begins to leave at second 10
    Then e0 gets no new request later than 3 seconds after the first sign
    And e0 got requests before
    And every answer is whole

  Scenario: A router that cannot read the reports of a leaving upstream is told by another
    Given 2 routers before 3 engines under steady load
    And router 1 gets no load reports from e0 from second 9 on
    When engine e0 begins to leave at second 10
    Then e0 gets no new request later than 3 seconds after the first sign

  Scenario: An upstream on a VM that the list shows as leaving gets nothing
    Given a lone router before 2 idle engines
    When the VM list shows the VM of e0 as leaving
    Then 10 choices all fall on e1

  Scenario: An upstream whose reports went stale gets nothing and is asked for one
    Given a lone router before 2 idle engines
    When the load controller stops for 4 seconds
    Then there is no upstream to choose
    And the reports of both engines are asked for

  Scenario Outline: A request goes only to an upstream that has its model, adapter and version
    Given engines that have "<loaded>" loaded
    Then a request for "<wanted>" is <result>

    Examples:
      | loaded         | wanted         | result                     |
      | ledger         | ledger         | sent to e0                 |
      | ledger@2       | ledger         | sent to e0                 |
      | ledger@2       | ledger@2       | sent to e0                 |
      | ledger@2       | ledger@1       | refused: model_not_loaded  |
      | ledger         | ledger:choir   | refused: model_not_loaded  |
      | ledger:choir   | ledger         | refused: model_not_loaded  |

  Scenario: A plain service is chosen by its name
    Given a router before the service "dues" and the service "portal"
    Then 10 calls of "dues" all fall on the service "dues"

  Scenario: Requests with the same prefix meet on one engine, whichever router they come through
    Given 3 routers before 6 engines under no load
    When each router gets 4 requests with one shared prefix, one after the other
    Then at least 10 of the 12 requests find the prefix cached

  Scenario: An engine that forgot a prefix is believed to hold it no longer
    Given a prefix index that holds 10 hashes and has seen event 5
    When event 6 says that the oldest hash was evicted
    Then the index holds 9 hashes
    When event 9 arrives after a gap of 2
    Then the index forgets the 2 least recently used hashes
    When event 7 arrives late
    Then the index does not change

  Scenario: A router prefers idle engines of its own zone
    Given a lone router in zone "a" before an idle engine in each of the zones "a", "b" and "c"
    Then 10 choices all fall on the engine in zone "a"

  Scenario: A whole-year ledger does not hold up a single receipt
    Given a lone router before 4 idle engines
    When 6 ledgers of 12000 tokens and then 10 short questions are asked
    Then every question has its first token within 0.5 seconds
    And every ledger is answered whole

  Scenario: Few upstreams are polled when there are many
    Given a lone router before 60 idle engines
    When the router polls for 20 seconds
    Then at most 7 control calls a second were made
    And at most 12 engines have fresh reports at a time

  Scenario: An engine that alone has a model is found among many
    Given a lone router before 60 idle engines, of which one has "audit" loaded
    When requests for "audit" come each second
    Then they are refused with model_not_loaded at first and admitted within 120 seconds
    And at most 7 control calls a second were made
