package org.cornelchute.policy.forward;

import static org.assertj.core.api.Assertions.assertThat;
import static org.cornelchute.policy.forward.Fixture.OPTIONS;
import static org.cornelchute.policy.forward.Fixture.find;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Callers are sent on at once only if another entry can probably serve them. */
class OtherEntriesTest {

  /** Upper bound of the Retry-After of callers that are sent on at once. */
  private static final long FAILOVER_MILLIS = 60;

  /** Lower bound of the Retry-After of callers that no entry can serve. */
  private static final long LONG_DELAY_MILLIS = 1_000;

  /** Time without reports after which an entry is cut off from the entries that it knows. */
  private static final long ISOLATED_MILLIS = 1_500;

  private static final long STALE_MILLIS = 4_800;

  private final long startedAt = 1_000_000;
  private final CallDecider decider = new CallDecider(OPTIONS, 3, startedAt);
  private long lastNumber;

  /** Failure: after a restart of all entries, callers used up their retries among them. */
  @Test
  void doesNotSendCallersOnAtOnceBeforeAnythingIsKnown() {
    assertThat(retryAfterMillis(startedAt + 10)).isBetween(FAILOVER_MILLIS, LONG_DELAY_MILLIS);
  }

  /** Failure: as above, while neither the store nor any entry was heard of. */
  @Test
  void doesNotSendCallersOnAtOnceWhileNoOtherEntryIsKnown() {
    long now = startedAt + 2 * ISOLATED_MILLIS;
    assertThat(retryAfterMillis(now)).isBetween(FAILOVER_MILLIS, LONG_DELAY_MILLIS);
  }

  /** Failure: entries that were listed but sent no report yet counted as able to serve. */
  @Test
  void doesNotSendCallersOnAtOnceBeforeListedEntriesHadTimeToReport() {
    decider.updateEntries(List.of("e1", "e2"));
    assertThat(retryAfterMillis(startedAt + 10)).isBetween(FAILOVER_MILLIS, LONG_DELAY_MILLIS);
  }

  /** Failure: the only entry sent callers on to others, which did not exist. */
  @Test
  void keepsCallersIfThereIsNoOtherEntry() {
    long now = startWithStaleKeys("e1");
    assertThat(retryAfterMillis(now)).isGreaterThan(LONG_DELAY_MILLIS);
    assertThat(decider.shouldDivertCalls(now)).isFalse();
  }

  /** Failure: an entry that knew no endpoint yet reported that it could serve calls. */
  @Test
  void reportsThatItCannotServeCallsBeforeItKnowsEndpoints() {
    startWithStaleKeys("e1", "e2");
    decider.recordConfirmation(startedAt);
    assertThat(decider.configAgeMillis(startedAt)).isZero();
    CallDecider empty = new CallDecider(OPTIONS, 3, startedAt);
    empty.updateConfig(Fixture.config(1, Map.of()));
    empty.recordConfirmation(startedAt);
    empty.updateEndpoints(startedAt, List.of());
    assertThat(empty.configAgeMillis(startedAt)).isGreaterThan(OPTIONS.maxKeyAgeMillis());
  }

  /** Guards against holding callers where another entry reports that it can serve them. */
  @Test
  void sendsCallersOnAtOnceIfAnotherEntryReportsThatItCanServe() {
    decider.recordEntryReport(startedAt, "e2", 100, List.of());
    assertThat(retryAfterMillis(startedAt + 10)).isLessThan(FAILOVER_MILLIS);
  }

  /** Guards against sending callers on to entries that report that they cannot serve. */
  @Test
  void delaysCallersIfTheOthersReportThatTheyCannotServe() {
    decider.updateEntries(List.of("e1", "e2"));
    decider.recordEntryReport(startedAt, "e2", STALE_MILLIS, List.of());
    assertThat(retryAfterMillis(startedAt + 10)).isGreaterThan(LONG_DELAY_MILLIS);
  }

  /** Guards against holding callers at an entry that is cut off from store and entries. */
  @Test
  void sendsCallersOnAtOnceIfKnownEntriesAreSilent() {
    long now = startWithStaleKeys("e1", "e2");
    assertThat(retryAfterMillis(now)).isLessThan(FAILOVER_MILLIS);
    assertThat(decider.shouldDivertCalls(now)).isTrue();
  }

  /** Provides everything at the start and returns a time at which the keys are too old. */
  private long startWithStaleKeys(String... entries) {
    decider.updateConfig(
        Fixture.config(1, Map.of(Fixture.KEY, new WorkspaceSpec("w1", 1, List.of()))));
    decider.updateEndpoints(startedAt, List.of(Fixture.plain("p1")));
    decider.updateEntries(List.of(entries));
    decider.recordConfirmation(startedAt);
    return startedAt + STALE_MILLIS;
  }

  private long retryAfterMillis(long now) {
    long number = ++lastNumber;
    CallSpec spec =
        new CallSpec(
            number,
            "id-" + number,
            "h",
            "/c/",
            Fixture.KEY,
            Fixture.TIMEOUT_MILLIS,
            0,
            0,
            0,
            -1,
            List.of());
    CallEffect.Reject reject =
        find(decider.onCall(now, spec), CallEffect.Reject.class).orElseThrow();
    assertThat(reject.rejection()).isEqualTo(Rejection.NOT_READY);
    return reject.retryAfterMillis();
  }
}
