package org.cornelchute.policy.forward;

import static org.assertj.core.api.Assertions.assertThat;
import static org.cornelchute.policy.forward.Fixture.dispatch;
import static org.cornelchute.policy.forward.Fixture.engine;
import static org.cornelchute.policy.forward.Fixture.find;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A sound endpoint sends nothing for half a second to two seconds and then goes on. Streams to it
 * may be resumed elsewhere, but are not lost.
 */
class SilentEndpointTest {

  private static final long SWEEP_MILLIS = 50;
  private static final long SILENCE_MILLIS = 2_000;

  /** Sweeps through a silence and returns all effects. */
  private static List<CallEffect> sweepThroughSilence(Fixture fixture) {
    List<CallEffect> effects = new ArrayList<>();
    for (long t = 0; t < SILENCE_MILLIS; t += SWEEP_MILLIS) {
      fixture.now += SWEEP_MILLIS;
      fixture.decider.recordConfirmation(fixture.now);
      effects.addAll(fixture.decider.sweep(fixture.now));
    }
    return effects;
  }

  private static CallEffect.Dispatch startStream(Fixture fixture, boolean begun) {
    CallEffect.Dispatch sent = dispatch(fixture.call("/s/"));
    if (begun) {
      fixture.now += 100;
      fixture.decider.onResponseHead(
          fixture.now,
          sent.call(),
          sent.attempt(),
          new ResponseHead(200, false, false, true, false, 1, -1, 0, NamedLimit.NONE));
      fixture.decider.onResponseProgress(fixture.now, sent.call(), sent.attempt(), 3);
    }
    return sent;
  }

  /** Checks that the stream neither ends during a silence nor fails to end completely after it. */
  private static void assertLastsThroughSilence(Fixture fixture, CallEffect.Dispatch sent) {
    List<CallEffect> effects = sweepThroughSilence(fixture);
    assertThat(find(effects, CallEffect.AbortResponse.class)).isEmpty();
    assertThat(find(effects, CallEffect.Reject.class)).isEmpty();
    assertThat(find(effects, CallEffect.CancelAttempt.class)).isEmpty();
    fixture.decider.onResponseHead(
        fixture.now,
        sent.call(),
        sent.attempt(),
        new ResponseHead(200, false, false, true, false, 1, -1, 0, NamedLimit.NONE));
    fixture.decider.onResponseProgress(fixture.now, sent.call(), sent.attempt(), 4);
    List<CallEffect> ended =
        fixture.decider.onResponseEnd(fixture.now, sent.call(), sent.attempt());
    assertThat(find(ended, CallEffect.Complete.class)).isPresent();
  }

  /** Failure: a stream was lost because its endpoint was silent and there was no other one. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void streamOutlastsSilenceOfTheOnlyEndpoint(boolean begun) {
    Fixture fixture = new Fixture().withEndpoints(engine("a", "d1", 1));
    assertLastsThroughSilence(fixture, startStream(fixture, begun));
  }

  /** Failure: as above, and the only other endpoint holds other weights than the stream needs. */
  @Test
  void begunStreamOutlastsSilenceIfOthersHoldOtherWeights() {
    Fixture fixture = new Fixture().withEndpoints(engine("a", "d1", 1));
    CallEffect.Dispatch sent = startStream(fixture, true);
    fixture.withEndpoints(engine("b", "d1", 2));
    assertLastsThroughSilence(fixture, sent);
  }

  /** Failure: as above, and the retry budget is exhausted, as when many endpoints are silent. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void streamOutlastsSilenceWithoutRetryBudget(boolean begun) {
    CallOptions o = Fixture.OPTIONS;
    Fixture fixture =
        new Fixture(
                new CallOptions(
                    o.self(),
                    o.domain(),
                    o.region(),
                    o.maxKeyAgeMillis(),
                    o.maxDenialAgeMillis(),
                    o.versionGraceMillis(),
                    o.versionCutoffMillis(),
                    0,
                    0,
                    o.retryWindowMillis(),
                    o.coldOverrunFactor(),
                    o.coldAllowance()))
            .withEndpoints(engine("a", "d1", 1), engine("b", "d1", 1));
    assertLastsThroughSilence(fixture, startStream(fixture, begun));
  }

  /** Failure: as above, and all other endpoints are evacuated at the same time. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void streamOutlastsSilenceIfOtherEndpointsAreEvacuated(boolean begun) {
    Fixture fixture = new Fixture().withEndpoints(engine("a", "d1", 1), engine("b", "d2", 1));
    CallEffect.Dispatch sent = startStream(fixture, begun);
    fixture.decider.updateEvacuatedDomains(
        Set.of(sent.endpoint().domain().equals("d1") ? "d2" : "d1"));
    assertLastsThroughSilence(fixture, sent);
  }

  /** Failure: as above, beside a configuration without the route of the stream. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void streamOutlastsSilenceBesideConfigurationChange(boolean begun) {
    Fixture fixture = new Fixture().withEndpoints(engine("a", "d1", 1));
    CallEffect.Dispatch sent = startStream(fixture, begun);
    fixture.decider.updateConfig(
        new ServingConfig(
            2, List.of(), List.of(), true, Map.of(), ServingConfig.CallerLimits.DEFAULTS));
    assertLastsThroughSilence(fixture, sent);
  }

  /** Failure: an endpoint that went on after a silence stayed in backoff for up to 1.6 s. */
  @Test
  void usesAnEndpointAsSoonAsItGoesOn() {
    Fixture fixture = new Fixture().withEndpoints(engine("a", "d1", 1));
    CallEffect.Dispatch sent = startStream(fixture, true);
    fixture.withEndpoints(engine("far", "d2", 1));
    sweepThroughSilence(fixture);
    fixture.decider.onResponseProgress(fixture.now, sent.call(), sent.attempt(), 4);
    // The other endpoint is in another failure domain and therefore not preferred.
    assertThat(dispatch(fixture.call("/s/")).endpoint().id()).isEqualTo("a");
  }
}
