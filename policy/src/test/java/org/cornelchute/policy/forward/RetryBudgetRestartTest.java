package org.cornelchute.policy.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Entries that restart forget which retries they spent; the limit holds over all of them. */
class RetryBudgetRestartTest {

  private static final String SERVICE = "s";
  private static final long WINDOW_MILLIS = 10_000;

  /** Limits of a service, over all entries. */
  private static final double RATIO = 0.2;

  private static final double ALLOWANCE = 100;

  /** Share of the limits that entries use. */
  private static final double SAFETY_FACTOR = 0.8;

  private static final double CALLS_PER_MILLI = 0.03;
  private static final long RUN_MILLIS = 60_000;

  /** Time from which all calls fail at first; until then no entry retries. */
  private static final long FAILING_FROM_MILLIS = 13_000;

  private static final long FIRST_RESTART_MILLIS = 16_000;
  private static final long RESTART_SPREAD_MILLIS = 5_000;

  private final List<Long> calls = new ArrayList<>();
  private final List<Long> retries = new ArrayList<>();

  /** Failure: each entry spent its share of the allowance again after its restart. */
  @ParameterizedTest
  @CsvSource({"4,1", "4,2", "9,3", "14,4", "25,5", "40,6", "40,7"})
  void keepsTheLimitIfAllEntriesRestartWithinOneWindow(int entryCount, long seed) {
    run(entryCount, 1, seed);
    assertLimitHolds();
  }

  /** Failure: as above, if entries restart again before the end of the window. */
  @ParameterizedTest
  @CsvSource({"4,11", "12,12", "40,13"})
  void keepsTheLimitIfAllEntriesRestartRepeatedly(int entryCount, long seed) {
    run(entryCount, 4, seed);
    assertLimitHolds();
  }

  /** Guards against holding back the allowance for longer than one window. */
  @Test
  void usesTheAllowanceOneWindowAfterTheStart() {
    RetryBudget budget = newBudget(1_000);
    assertThat(budget.trySpend(1_000 + WINDOW_MILLIS - 1, SERVICE, 4)).isFalse();
    assertThat(budget.trySpend(1_000 + WINDOW_MILLIS, SERVICE, 4)).isTrue();
  }

  /** Guards against holding back the allowance where no process can have spent it. */
  @Test
  void usesTheAllowanceAtOnceInTheFirstStart() {
    RetryBudget budget = newBudget(1_000);
    budget.recordFirstStart();
    assertThat(budget.trySpend(1_000, SERVICE, 4)).isTrue();
  }

  /** Lets entries receive calls, which fail from a time on, and restart at random moments. */
  private void run(int entryCount, int restarts, long seed) {
    Random random = new Random(seed);
    List<RetryBudget> budgets = new ArrayList<>();
    List<List<Long>> restartTimes = new ArrayList<>();
    for (int i = 0; i < entryCount; i++) {
      budgets.add(newBudget(0));
      restartTimes.add(
          random
              .longs(restarts, 0, RESTART_SPREAD_MILLIS)
              .mapToObj(millis -> FIRST_RESTART_MILLIS + millis)
              .toList());
    }
    for (long now = 0; now < RUN_MILLIS; now++) {
      for (int i = 0; i < entryCount; i++) {
        if (restartTimes.get(i).contains(now)) {
          budgets.set(i, newBudget(now));
        }
      }
      if (random.nextDouble() < CALLS_PER_MILLI) {
        RetryBudget budget = budgets.get(random.nextInt(entryCount));
        calls.add(now);
        budget.recordCall(now, SERVICE);
        if (now >= FAILING_FROM_MILLIS && budget.trySpend(now, SERVICE, entryCount)) {
          retries.add(now);
        }
      }
    }
  }

  private static RetryBudget newBudget(long startedAt) {
    return new RetryBudget(
        RATIO * SAFETY_FACTOR, ALLOWANCE * SAFETY_FACTOR, WINDOW_MILLIS, startedAt);
  }

  /** Checks each window that ends with a retry; the number of retries is highest in one of them. */
  private void assertLimitHolds() {
    assertThat(retries).isNotEmpty();
    for (long end : retries) {
      double limit = RATIO * countBefore(calls, end) + ALLOWANCE;
      assertThat(countBefore(retries, end)).as("window until %d", end).isLessThanOrEqualTo(limit);
    }
  }

  private static double countBefore(List<Long> times, long end) {
    return times.stream().filter(time -> time > end - WINDOW_MILLIS && time <= end).count();
  }
}
