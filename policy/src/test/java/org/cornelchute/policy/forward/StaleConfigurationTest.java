package org.cornelchute.policy.forward;

import static org.assertj.core.api.Assertions.assertThat;
import static org.cornelchute.policy.forward.Fixture.OPTIONS;
import static org.cornelchute.policy.forward.Fixture.find;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Calls without a key, while the configuration may have changed since its last confirmation. */
class StaleConfigurationTest {

  private static final long STALE_MILLIS = 10_000;
  private static final long FRESH_MILLIS = 100;

  private long now = 1_000_000;
  private long lastNumber;

  /**
   * Failure: an entry that had not reached the store for 10 s sent a call to the region that its
   * configuration allowed, while the current configuration allowed another one.
   */
  @Test
  void doesNotUseOldRegionsIfAnotherEntryKnowsTheCurrentOnes() {
    CallDecider decider = entryWithConfigOfAge(STALE_MILLIS);
    decider.recordEntryReport(now, "e2", FRESH_MILLIS, List.of());
    CallEffect.Reject reject = find(call(decider), CallEffect.Reject.class).orElseThrow();
    assertThat(reject.rejection()).isEqualTo(Rejection.NOT_READY);
    assertThat(reject.retryAfterMillis()).isLessThan(60);
  }

  /** Failure: as above, in an entry that is cut off from the other entries too. */
  @Test
  void doesNotUseOldRegionsIfNoOtherEntryReports() {
    CallDecider decider = entryWithConfigOfAge(STALE_MILLIS);
    assertThat(find(call(decider), CallEffect.Reject.class).orElseThrow().rejection())
        .isEqualTo(Rejection.NOT_READY);
  }

  /** Failure: as above, in entries of a region that reach each other but not the store. */
  @Test
  void doesNotUseOldRegionsIfTheOtherEntriesAreCutOffToo() {
    CallDecider decider = entryWithConfigOfAge(STALE_MILLIS);
    decider.recordEntryReport(now, "e2", STALE_MILLIS, List.of());
    assertThat(find(call(decider), CallEffect.Reject.class).orElseThrow().rejection())
        .isEqualTo(Rejection.NOT_READY);
  }

  /** Failure: regions may have been added to a route that had none. */
  @Test
  void doesNotServeRoutesWithoutRegionsIfAnotherEntryKnowsTheCurrentOnes() {
    CallDecider decider = entryWithConfigOfAge(STALE_MILLIS);
    decider.recordEntryReport(now, "e2", FRESH_MILLIS, List.of());
    assertThat(find(call(decider, "/b/"), CallEffect.Reject.class).orElseThrow().rejection())
        .isEqualTo(Rejection.NOT_READY);
  }

  /** Guards against refusing calls while operators cannot change the configuration either. */
  @Test
  void servesCallsThroughAnOutageOfTheStoreForAllEntries() {
    CallDecider decider = entryWithConfigOfAge(STALE_MILLIS);
    decider.recordEntryReport(now, "e2", STALE_MILLIS, List.of());
    assertThat(find(call(decider, "/b/"), CallEffect.Dispatch.class)).isPresent();
  }

  /** Failure: an entry that had not read the list of entries took itself for the only one. */
  @Test
  void doesNotServeRoutesWithoutRegionsUntilTheListOfEntriesIsRead() {
    CallDecider decider = entryWithConfigOfAge(STALE_MILLIS, Set.of());
    assertThat(find(call(decider), CallEffect.Reject.class).orElseThrow().rejection())
        .isEqualTo(Rejection.NOT_READY);
    assertThat(find(call(decider, "/b/"), CallEffect.Reject.class).orElseThrow().rejection())
        .isEqualTo(Rejection.NOT_READY);
  }

  @Test
  void servesCallsThroughAnOutageOfTheStoreIfThereIsNoOtherEntry() {
    CallDecider decider = entryWithConfigOfAge(STALE_MILLIS, Set.of("e1"));
    assertThat(find(call(decider, "/b/"), CallEffect.Dispatch.class)).isPresent();
  }

  @Test
  void servesCallsWhileTheConfigurationIsConfirmed() {
    CallDecider decider = entryWithConfigOfAge(OPTIONS.maxKeyAgeMillis());
    decider.recordEntryReport(now, "e2", FRESH_MILLIS, List.of());
    assertThat(find(call(decider), CallEffect.Dispatch.class)).isPresent();
  }

  private CallDecider entryWithConfigOfAge(long ageMillis) {
    return entryWithConfigOfAge(ageMillis, Set.of("e1", "e2"));
  }

  private CallDecider entryWithConfigOfAge(long ageMillis, Set<String> entries) {
    CallDecider decider = new CallDecider(OPTIONS, 1, 0);
    decider.updateConfig(config());
    decider.updateEntries(entries);
    decider.updateEndpoints(now, List.of(Fixture.plain("p1")));
    decider.updateEvacuatedDomains(Set.of());
    decider.recordConfirmation(now);
    now += ageMillis;
    return decider;
  }

  /** A configuration with keys and two routes that need none; only "/a/" is bound to a region. */
  private static ServingConfig config() {
    return new ServingConfig(
        1,
        List.of(route("/a/", List.of("r1")), route("/b/", List.of())),
        List.of(Fixture.PLAIN),
        true,
        Map.of(Fixture.KEY, new WorkspaceSpec("w1", 1, List.of())),
        ServingConfig.CallerLimits.DEFAULTS);
  }

  private static RouteSpec route(String prefix, List<String> regions) {
    return new RouteSpec(
        prefix,
        "h",
        prefix,
        CallKind.IDEMPOTENT,
        false,
        Fixture.TIMEOUT_MILLIS,
        Fixture.TARGET_MILLIS,
        1,
        2,
        true,
        regions,
        List.of(new RouteSpec.WeightedService("plain", 1)));
  }

  private List<CallEffect> call(CallDecider decider) {
    return call(decider, "/a/");
  }

  private List<CallEffect> call(CallDecider decider, String path) {
    long number = ++lastNumber;
    return decider.onCall(
        now,
        new CallSpec(
            number, "id-" + number, "h", path, "", Fixture.TIMEOUT_MILLIS, 0, 0, 0, -1, List.of()));
  }
}
