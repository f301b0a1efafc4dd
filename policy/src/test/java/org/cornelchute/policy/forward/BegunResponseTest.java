package org.cornelchute.policy.forward;

import static org.assertj.core.api.Assertions.assertThat;
import static org.cornelchute.policy.forward.Fixture.dispatch;
import static org.cornelchute.policy.forward.Fixture.engine;
import static org.cornelchute.policy.forward.Fixture.find;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** A new version of the weights binds calls that begin on an engine, not those that have begun. */
class BegunResponseTest {

  private static final long SILENCE_MILLIS = 500;

  private static Fixture fixture(CallKind kind) {
    Fixture fixture = new Fixture().withEndpoints(engine("a", "d1", 1));
    RouteSpec route =
        new RouteSpec(
            "engine",
            "h",
            "/e/",
            kind,
            false,
            Fixture.TIMEOUT_MILLIS,
            Fixture.TARGET_MILLIS,
            1,
            2,
            true,
            List.of(),
            List.of(new RouteSpec.WeightedService("engines", 1)));
    fixture.decider.updateConfig(
        new ServingConfig(
            2,
            List.of(route),
            List.of(Fixture.ENGINES),
            false,
            Map.of(),
            ServingConfig.CallerLimits.DEFAULTS));
    return fixture;
  }

  /**
   * Failure: a response that had begun in time was given up while its body arrived, because its
   * engine had not loaded the next version yet.
   */
  @ParameterizedTest
  @EnumSource(CallKind.class)
  void deliversResponseThatBeganBeforeTheNextVersionWasRequired(CallKind kind) {
    Fixture fixture = fixture(kind);
    CallEffect.Dispatch sent = dispatch(fixture.call("/e/"));
    fixture.decider.onResponseHead(
        fixture.now,
        sent.call(),
        sent.attempt(),
        new ResponseHead(200, false, false, true, false, 1, -1, 0, NamedLimit.NONE));
    long seenAt = fixture.now - Fixture.OPTIONS.versionCutoffMillis();
    fixture.decider.recordVersion(seenAt - 10_000, seenAt - 10_000, "m", 1);
    fixture.decider.recordVersion(seenAt, seenAt, "m", 2);
    fixture.now += SILENCE_MILLIS;
    List<CallEffect> effects = fixture.decider.sweep(fixture.now);
    assertThat(find(effects, CallEffect.CancelAttempt.class)).isEmpty();
    assertThat(find(effects, CallEffect.Reject.class)).isEmpty();
    assertThat(
            find(
                fixture.decider.onResponseEnd(fixture.now, sent.call(), sent.attempt()),
                CallEffect.Complete.class))
        .isPresent();
  }
}
