Feature: An order is executed at most once, whatever fails on its way

  Scenario: The process beside the shop is killed while the shop executes an order
    Given a shop and two entries
    And a program
    And the shop takes long to answer
    When the caller sends an order
    And the shop has executed it
    And the process beside the shop is killed
    And the caller has its answer
    Then the outcome is given as unknown
    And asking again at each entry gives the same answer
    When the process beside the shop is started
    Then asking again at each entry gives the same answer
    And the shop has executed one order

  Scenario: The shop's answer is lost after it has executed an order
    Given a shop and two entries
    And a program
    And the shop loses its answers
    When the caller sends an order
    And the caller has its answer
    Then the outcome is given as unknown
    And asking again at each entry gives the same answer
    And the shop has executed one order

  Scenario: The process beside the shop is frozen when an order is sent, and goes on later
    Given a shop and two entries
    And a program
    When the process beside the shop is frozen
    And the caller sends an order
    And the order is stored as started
    And the process beside the shop is thawed
    And the caller has its answer
    Then the last answer is the receipt of that order
    And asking again at each entry gives the same answer
    And the shop has executed one order

  Scenario: The same order is sent to two entries at once
    Given a shop and two entries
    And a program
    And the shop takes long to answer
    When the caller sends the same order to both entries at once
    Then both answers are the same receipt
    And the shop has executed one order

  Scenario: A caller goes away during an order and asks again
    Given a shop and two entries
    And a program
    And the shop takes long to answer
    When the caller sends an order and closes its connection
    And the shop has executed it
    And the caller asks again at the other entry
    Then the last answer is the receipt of that order
    And the shop has executed one order
