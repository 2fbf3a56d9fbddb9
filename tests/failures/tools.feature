Feature: A tool hangs past the deadline of its service

  Background:
    Given a shop and two entries
    And the shop's deadline is 2 seconds
    And a program

  Scenario: An order hangs
    Given the shop hangs
    When the caller sends an order
    And the caller has its answer
    Then the outcome is given as unknown
    When the shop answers again
    Then asking again at each entry gives the same answer
    And the shop has executed one order
    And the program's next order gets its receipt

  Scenario: An order's answer comes byte by byte
    Given the shop sends its answers byte by byte
    When the caller sends an order
    And the caller has its answer
    Then the outcome is given as unknown
    And asking again at each entry gives the same answer
    And the shop has executed one order

  Scenario: A call that may be repeated hangs
    Given the shop hangs
    When the caller sends a lookup
    And the shop has begun it
    Then the caller is refused with a time to ask again, and not as not run
    When the shop answers again
    And the caller asks again at the other entry
    Then the last answer is the receipt of its last execution
    And asking again at each entry gives the same answer
