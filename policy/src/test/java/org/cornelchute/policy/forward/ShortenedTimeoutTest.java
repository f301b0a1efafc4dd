package org.cornelchute.policy.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Calls after a configuration that shortens the timeout of their route. */
class ShortenedTimeoutTest {

  private static final long SHORT_TIMEOUT_MILLIS = 3_000;

  private final Fixture fixture = new Fixture();

  /** Failure: first tries counted as late retries for good, so that slots stayed unused. */
  @Test
  void firstTriesUseAllSlotsAndTheQueue() {
    EndpointSpec endpoint = Fixture.plain("i-1");
    fixture.withEndpoints(endpoint);
    fixture.decider.updateEntries(Set.of("e1"));
    CallEffect.Dispatch earlier = Fixture.dispatch(fixture.call("/o/"));
    fixture.decider.onResponseHead(fixture.now, earlier.call(), 1, Fixture.head(200));
    fixture.decider.onResponseEnd(fixture.now, earlier.call(), 1);
    fixture.decider.updateConfig(shortened());
    List<CallEffect> effects = new ArrayList<>();
    for (int i = 0; i <= endpoint.slots(); i++) {
      effects.addAll(fixture.call("/o/"));
    }
    assertThat(effects).filteredOn(CallEffect.Dispatch.class::isInstance).hasSize(endpoint.slots());
    assertThat(effects).noneMatch(CallEffect.Reject.class::isInstance);
  }

  /** Guards against retries of callers that count as first tries. */
  @Test
  void retriesOfCallersStillLeaveSlotsToFirstTries() {
    EndpointSpec endpoint = Fixture.plain("i-1");
    fixture.withEndpoints(endpoint);
    fixture.decider.updateEntries(Set.of("e1"));
    fixture.decider.updateConfig(shortened());
    List<CallEffect> effects = new ArrayList<>(fixture.call("/o/"));
    for (int i = 0; i < endpoint.slots(); i++) {
      effects.addAll(fixture.call("/o/", SHORT_TIMEOUT_MILLIS - Fixture.TARGET_MILLIS));
    }
    assertThat(effects)
        .filteredOn(CallEffect.Dispatch.class::isInstance)
        .hasSizeLessThan(endpoint.slots());
    assertThat(effects).anyMatch(CallEffect.Reject.class::isInstance);
  }

  private static ServingConfig shortened() {
    RouteSpec route =
        new RouteSpec(
            "order",
            "h",
            "/o/",
            CallKind.NON_IDEMPOTENT,
            false,
            SHORT_TIMEOUT_MILLIS,
            Fixture.TARGET_MILLIS,
            1,
            2,
            false,
            List.of(),
            List.of(new RouteSpec.WeightedService("plain", 1)));
    return new ServingConfig(
        2,
        List.of(route),
        List.of(Fixture.PLAIN),
        true,
        Map.of(Fixture.KEY, new WorkspaceSpec("w1", 1, List.of())),
        ServingConfig.CallerLimits.DEFAULTS);
  }
}
