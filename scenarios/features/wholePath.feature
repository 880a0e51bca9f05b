Feature: Callers, daemons and engines work together

  Scenario: Streams through every instance are complete and belong to their prompts
    Given engines in these zones:
      | id | zone |
      | e1 | a    |
      | e2 | b    |
    And daemons a1,a2 in zone a
    And daemons b1 in zone b
    And the targets are declared
    When the operator declares models aurora as {"bytes": 400}
    Then b1 sees models aurora ready
    And a2 sees models aurora ready
    And every instance shows the decision to load model/aurora@v1, then the loaded decision that names it as cause
    When 10 callers stream from aurora through a1
    And 10 callers stream from aurora through a2
    And 10 callers stream from aurora through b1
    Then every streamed answer is complete and belongs to its prompt
    And no engine was ordered to load more than fits its memory
