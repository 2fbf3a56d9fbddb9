Feature: Every caller gets the whole answer to its own request

  Scenario: The engine cuts the stream in the middle
    Given an engine and two entries
    And the engine cuts the next 1 streams after 5 events
    When a program asks for a streamed answer
    Then the engine has cut 1 streams
    And the answer is the engine's own, whole and without repeats

  Scenario: The engine drops every stream and its memory in the middle of an answer
    Given an engine and two entries
    When a program asks for a streamed answer and the engine restarts after its first tokens
    Then the answer is the engine's own, or it is marked as broken

  Scenario: Answers of many programs are delayed and cross one another
    Given an engine and two entries
    And the engine cuts the next 3 streams after 5 events
    When 8 programs ask for streamed answers at once at both entries
    Then the engine has cut 3 streams
    And each answer is the engine's own to that program's prompt

  Scenario: The entry that a caller talks to ends in the middle of an answer
    Given an engine and two entries
    When a program asks for a streamed answer and the entry is killed after its first tokens
    Then the answer is the engine's own, or it is marked as broken
