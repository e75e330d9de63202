Feature: A router runs requests
  Requests are answered whole, billed once, kept within the budget, and refused truthfully.

  Scenario: A request is answered whole and billed once
    Given 3 routers and a budget of 100000 tokens
    When request "a" is sent to r1
    Then request "a" is answered whole
    And it ran 1 time and has 1 bill for what the engine used

  Scenario: A repeated request id gets the same answer without another run
    Given 3 routers and a budget of 100000 tokens
    When request "a" is sent to r1
    And request "a" is sent to r1
    Then request "a" is answered whole
    And it ran 1 time and has 1 bill for what the engine used

  Scenario: A request id cannot be used for another request
    Given 3 routers and a budget of 100000 tokens
    When request "a" is sent to r1
    And changed request "a" is sent to r1
    Then request "a" is refused as "request_id_reused"

  Scenario: A budget that does not cover a request refuses it as not run
    Given 2 routers and a budget of 60 tokens
    When request "a" is sent to r1
    Then request "a" is refused as "budget_spent" and was not run

  Scenario: Tokens that another router holds are returned for a caller who has paid
    Given 2 routers and a budget of 1000 tokens
    When r2 draws 900 tokens that it does not need
    And request "a" is sent to r1
    Then request "a" is answered whole

  Scenario: A request moves to the router with tokens while the service is down
    Given 2 routers and a budget of 10000 tokens
    When r2 draws 5000 tokens that it does not need
    And r1 has seen that and holds none
    And the service goes down
    And request "a" is sent to r1
    Then request "a" is answered whole

  Scenario: Requests go on while the service is down and are billed afterwards
    Given 2 routers and a budget of 100000 tokens
    When request "a" is sent to r1
    And the service goes down
    And 20 requests are sent to r1
    And the service comes back
    Then every request was answered whole
    And every request has one bill

  Scenario: A non-idempotent request needs a ticket
    Given 2 routers and a budget of 100000 tokens
    When unticketed request "a" is sent to r1
    Then request "a" is refused as "ticket_required" and was not run

  Scenario: Another router has the home run a non-idempotent request, once
    Given 2 routers and a budget of 100000 tokens
    When ticketed request "a" of home r2 is sent to r1
    And ticketed request "a" of home r2 is sent to r2
    Then request "a" is answered whole
    And it ran 1 time and has 1 bill for what the engine used

  Scenario: A home that is gone without having begun a request is proof that it did not run
    Given 3 routers and a budget of 100000 tokens
    When r2 dies and its journal is closed
    And ticketed request "a" of the dead home is sent to r1
    Then request "a" is refused as "home_gone" and was not run

  Scenario: Nothing is proven while the home's journal is open
    Given 3 routers and a budget of 100000 tokens
    When r2 dies
    And ticketed request "a" of the dead home is sent to r1
    Then request "a" is refused as "home_gone" and may have run

  Scenario: A refused non-idempotent request does not run when a copy of it comes late
    Given 2 routers and a budget of 60 tokens
    When ticketed request "a" of home r1 is sent to r1
    And the operator adds 10000 tokens
    And the same copy of request "a" comes to r1 again
    Then request "a" is refused as "budget_spent" and was not run
    When later ticketed request "a" of home r1 is sent to r1
    Then request "a" is answered whole

  Scenario: A journaled ticket does not run unrecorded
    Given 2 routers and a budget of 100000 tokens
    When request "warmup" is sent to r1
    And outage-struck request "a" of home r1 is sent to r1
    Then request "a" is refused as "billing_unreachable" and was not run

  Scenario: A dead router's unspent tokens are all freed
    Given 3 routers and a budget of 100000 tokens
    When 5 requests are sent to r2
    And the fleet runs on for 20 seconds
    And r2 dies
    And the fleet runs on for 120 seconds
    Then the budget has no tokens at r2 and withholds none
    And every request has one bill

  Scenario: A request cut by its router's death is billed for what the engine ran
    Given 3 routers and a budget of 100000 tokens
    When request "a" is under way at r2
    And r2 dies
    And the fleet runs on for 120 seconds
    Then it ran 1 time and has 1 bill for what the engine used

  Scenario: A router closed during a pause accounts for itself exactly
    Given 3 routers and a budget of 100000 tokens
    When 5 requests are sent to r2
    And r2 is closed by recovery although it lives
    And the fleet runs on for 120 seconds
    Then r2 serves under a new incarnation
    And the balance shows no withheld tokens
    And every request has one bill

  Scenario: A planned stop returns every token
    Given 3 routers and a budget of 100000 tokens
    When 5 requests are sent to r2
    And r2 is stopped
    Then the budget has no tokens at r2 and withholds none
    And every request has one bill

  Scenario: An engine that dies before its first token is replaced, and billed once
    Given 2 routers and a budget of 100000 tokens
    When the next stream of r1 breaks before its first token
    And request "a" is sent to r1
    Then request "a" is answered whole
    And it has 1 bill

  Scenario: Spend never passes the budget when many callers race for its end
    Given 3 routers and a budget of 3000 tokens
    When 60 requests are sent at once over all routers
    Then the engines ran at most 3000 tokens
    And every answered request has one bill and no other has any

  Scenario: A router that dies in an outage leaves its bills with other routers
    Given 3 routers and a budget of 100000 tokens
    When 3 requests are sent to r2
    And the fleet runs on for 20 seconds
    And the service goes down
    And 4 further requests are sent to r2
    And r2 dies
    And the service comes back
    And the fleet runs on for 120 seconds
    Then every request has one bill
    And the budget has no tokens at r2 and withholds none

  Scenario: Without the other routers' copies, what may have been spent is withheld
    Given 3 routers and a budget of 100000 tokens
    When 3 requests are sent to r2
    And the fleet runs on for 20 seconds
    And the service goes down
    And r2 dies together with r3
    And the service comes back
    And the fleet runs on for 400 seconds
    Then the budget withholds what r2 kept for outages

  Scenario: A router cut off from everything refuses rather than lose a bill
    Given 3 routers and a budget of 100000 tokens
    When 3 requests are sent to r2
    And the fleet runs on for 20 seconds
    And r2 reaches neither the service nor other routers
    And request "a" is sent to r2
    Then request "a" is refused as "billing_unreachable" and was not run

  Scenario: Holders of copies that are stopped write the bills they hold
    Given 5 routers and a budget of 100000 tokens
    When 3 requests are sent to r2
    And the fleet runs on for 20 seconds
    And the service goes down
    And 4 further requests are sent to r2
    And r2 dies and all holders of its copies stop before it is recovered
    Then every request has one bill at the router that is left

  Scenario: Bills of a closed incarnation are written by a process that stops
    Given 2 routers and a budget of 100000 tokens
    When r2 is closed with 4 bills in memory and then stops
    Then the closed incarnation has 4 bills

  Scenario: A stream goes on at a router that only lost the service
    Given 3 routers and a budget of 100000 tokens
    When request "a" is under way at r2
    And r2 loses the service
    And the fleet runs on for 200 seconds
    Then request "a" is answered whole

  Scenario: A later router's refusal does not hide that an earlier one may have run a request
    Given 3 routers and a budget of 100000 tokens
    When request "a" is forwarded to a router that breaks off and to one that refuses
    Then request "a" is refused as "budget_spent" and may have run

  Scenario: A fleet that commits seldom does not keep its callers waiting
    Given 3 routers that commit each 30 seconds and a budget of 100000 tokens
    When the fleet runs on for 20 seconds
    And 12 requests are sent to r2
    Then every request was answered whole
    And they all ended within 8 seconds

  Scenario: A router that dies with bills not yet durable leaves them with another
    Given 3 routers that commit each 30 seconds and a budget of 100000 tokens
    When the fleet runs on for 20 seconds
    And 12 requests are sent to r2
    And r2 dies
    And the fleet runs on for 300 seconds
    Then every request has one bill
    And the budget has no tokens at r2 and withholds none

  Scenario: Two routers without tokens do not wait for each other's answer
    Given 3 routers and a budget of 10000 tokens
    When r1 and r2 each believe that the other holds tokens
    And the service goes down
    And request "a" is sent to r1 and to r2 at once
    Then request "a" is refused as "budget_unreachable" and was not run

  Scenario: A holder that was closed and joined again is still asked for its copies
    Given 2 routers and a budget of 100000 tokens
    When r2 holds a copy of a dead router and is closed and joins again
    Then r1 learns the copy from r2

  Scenario: A planned stop that reaches its bound frees nothing that an upstream may still use
    Given 3 routers and a budget of 100000 tokens
    When request "a" is under way at r2
    And r2 is stopped with a bound of 45 seconds
    And the fleet runs on for 120 seconds
    Then the balance covers what the engines ran
    And it ran 1 time and has 1 bill for what the engine used

  Scenario: A completion may spend the last tokens, without the margin of a chat's template
    Given 2 routers and a budget of 92 tokens
    When request "a" is sent to r1
    And completion "b" is sent to r1
    Then request "a" is refused as "budget_spent" and was not run
    And request "b" is answered whole

  Scenario: A holder that could not be asked in time writes the bills it held
    Given 3 routers and a budget of 100000 tokens
    When r2 holds a bill of a router that was retired without asking it
    And the fleet runs on for 30 seconds
    Then that bill is listed once
