package org.cornelchute.entry.direct;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** The bodies of all calls together stay within the budget. */
class ResponseBudgetTest {

  /** Guards against many responses that are each small enough, but exhaust the memory together. */
  @Test
  void reservesNoMoreThanItsSize() {
    ResponseBudget budget = new ResponseBudget(10);
    assertThat(budget.tryReserve(6)).isTrue();
    assertThat(budget.tryReserve(5)).isFalse();
    assertThat(budget.tryReserve(4)).isTrue();
    budget.release(6);
    assertThat(budget.reservedBytes()).isEqualTo(4);
    assertThat(budget.tryReserve(6)).isTrue();
  }
}
