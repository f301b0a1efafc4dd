package org.cornelchute.policy.forward;

import static org.assertj.core.api.Assertions.assertThat;
import static org.cornelchute.policy.forward.Fixture.OPTIONS;
import static org.cornelchute.policy.forward.Fixture.find;
import static org.cornelchute.policy.forward.Fixture.notExecuted;
import static org.cornelchute.policy.forward.Fixture.plain;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToIntFunction;
import org.junit.jupiter.api.Test;

/** Entries keep shared limits together, also those that do not know yet how many they are. */
class EntryShareTest {

  private static final int ENTRIES = 14;
  private static final long NOW = 1_000_000;

  /** Calls that all entries together may send to a cold endpoint of the fixture in one second. */
  private static final int COLD_LIMIT = (int) (26 * 1.5 + 5);

  private static final EndpointSpec COLD_ENGINE =
      new EndpointSpec("x", "engines", "10.0.0.1:80", "d1", "r1", 99, false, 3_000, 1, "m", 1);

  private long lastNumber;

  /** Failure: after a restart of all entries, each took the whole limit of a cold endpoint. */
  @Test
  void entriesThatHaveNotReadTheirListKeepTheLimitOfColdEndpoints() {
    assertThat(sumOverEntries(this::countColdDispatches)).isLessThanOrEqualTo(COLD_LIMIT);
  }

  /** Failure: after a restart of all entries, each took the whole allowance for retries. */
  @Test
  void entriesThatHaveNotReadTheirListKeepTheRetryBudget() {
    int calls = 20;
    double limit = OPTIONS.retryRatio() * calls * ENTRIES + OPTIONS.retryAllowance();
    assertThat(sumOverEntries(decider -> countRetries(decider, calls)))
        .isLessThanOrEqualTo((int) limit);
  }

  /** Failure: after a restart of all entries, each took all connections of an endpoint. */
  @Test
  void entriesThatHaveNotReadTheirListKeepTheConnectionLimit() {
    assertThat(sumOverEntries(this::maxConnections))
        .isLessThanOrEqualTo(Fixture.PLAIN.maxConnections());
  }

  /** Failure: an entry that the others did not count yet took a share on top of theirs. */
  @Test
  void entryThatIsNotListedYetSendsNoCallsToColdEndpoints() {
    CallDecider decider = startedEntry("e1", COLD_ENGINE);
    decider.updateEntries(List.of("e2", "e3"));
    assertThat(countColdDispatches(decider)).isZero();
    decider.updateEntries(List.of("e1", "e2", "e3"));
    assertThat(countColdDispatches(decider)).isPositive();
  }

  /** Failure: rows that disappeared raised the shares of entries while the others still ran. */
  @Test
  void sharesDoNotGrowWhenTheListShrinks() {
    CallDecider decider = startedEntry("e1", COLD_ENGINE);
    decider.updateEntries(List.of("e1", "e2", "e3", "e4", "e5", "e6"));
    decider.updateEntries(List.of("e1"));
    assertThat(6 * countColdDispatches(decider)).isBetween(6, COLD_LIMIT);
  }

  /** Guards against an entry that serves nothing for as long as the list cannot be read. */
  @Test
  void entryThatCannotReadTheListServesAndRetriesCalls() {
    int calls = 100;
    CallDecider decider = startedEntry("e1", plain("p1"), plain("p2"));
    assertThat(countRetries(decider, calls)).isBetween(10, 20);
  }

  /** Sums over entries that were all started just now. */
  private int sumOverEntries(ToIntFunction<CallDecider> count) {
    int sum = 0;
    for (int i = 0; i < ENTRIES; i++) {
      CallDecider decider = startedEntry("e" + i, COLD_ENGINE, plain("p1"), plain("p2"));
      sum += count.applyAsInt(decider);
    }
    return sum;
  }

  /** Creates an entry that has read everything except the list of entries. */
  private static CallDecider startedEntry(String name, EndpointSpec... endpoints) {
    CallOptions options =
        new CallOptions(
            name,
            OPTIONS.domain(),
            OPTIONS.region(),
            OPTIONS.maxKeyAgeMillis(),
            OPTIONS.maxDenialAgeMillis(),
            OPTIONS.versionGraceMillis(),
            OPTIONS.versionCutoffMillis(),
            OPTIONS.retryRatio(),
            OPTIONS.retryAllowance(),
            OPTIONS.retryWindowMillis(),
            OPTIONS.coldOverrunFactor(),
            OPTIONS.coldAllowance());
    CallDecider decider = new CallDecider(options, name.hashCode(), 0);
    decider.updateConfig(
        Fixture.config(1, Map.of(Fixture.KEY, new WorkspaceSpec("w1", 1, List.of()))));
    decider.updateEndpoints(NOW, List.of(endpoints));
    decider.updateEvacuatedDomains(Set.of());
    decider.recordConfirmation(NOW);
    return decider;
  }

  private int countColdDispatches(CallDecider decider) {
    int sent = 0;
    for (int i = 0; i < 2 * COLD_LIMIT; i++) {
      sent += find(call(decider, "/s/"), CallEffect.Dispatch.class).isPresent() ? 1 : 0;
    }
    return sent;
  }

  /** Sends calls whose first endpoint refuses them and returns the number that is retried. */
  private int countRetries(CallDecider decider, int calls) {
    int retries = 0;
    for (int i = 0; i < calls; i++) {
      CallEffect.Dispatch first = Fixture.dispatch(call(decider, "/c/"));
      List<CallEffect> effects =
          decider.onResponseHead(NOW, first.call(), first.attempt(), notExecuted());
      if (find(effects, CallEffect.Dispatch.class).isPresent()) {
        retries++;
        decider.onResponseEnd(NOW, first.call(), 2);
      }
    }
    return retries;
  }

  private int maxConnections(CallDecider decider) {
    return Fixture.dispatch(call(decider, "/c/")).maxConnections();
  }

  private List<CallEffect> call(CallDecider decider, String path) {
    long number = ++lastNumber;
    return decider.onCall(
        NOW,
        new CallSpec(
            number,
            "id-" + number,
            "h",
            path,
            Fixture.KEY,
            Fixture.TIMEOUT_MILLIS,
            977,
            94,
            0,
            -1,
            List.of()));
  }
}
