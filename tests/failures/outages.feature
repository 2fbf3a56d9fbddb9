Feature: An owner dies while the key-value service is down

  Background:
    Given a shop, an engine and three entries, the last without a data folder
    And programs at each entry that have made a chat and an order

  Scenario: The owner without a data folder dies
    When the key-value service goes down
    And the programs of entry-1 and entry-2 are in use
    And entry-3 is killed
    And the callers of its programs send orders to the other entries
    Then each of these is refused with a time to ask again, and not as not run
    And the programs in use are served
    When the key-value service is back
    Then each of these orders gets its receipt when it is asked again
    And each program's next chat has its whole history
    And no program in use was refused anything
    And the shop has executed each order once

  Scenario: An owner that keeps half of the copies dies
    When the key-value service goes down
    And entry-2 is killed
    And the callers of its programs send orders to the other entries
    Then each of these is refused with a time to ask again, and not as not run
    When the callers of the other programs send orders
    And the key-value service is back
    Then each of these orders gets its receipt when it is asked again
    And each program's next chat has its whole history
    And the shop has executed each order once
