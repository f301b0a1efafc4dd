package org.cornelchute.policy.forward;

import static org.assertj.core.api.Assertions.assertThat;
import static org.cornelchute.policy.forward.Fixture.dispatch;
import static org.cornelchute.policy.forward.Fixture.engine;
import static org.cornelchute.policy.forward.Fixture.find;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Streams that break off after some events, and what the next endpoint answers. */
class ResumedStreamTest {

  private static final long LAST_EVENT_ID = 3;

  /** Returns three endpoints behind a route with a maximum number of attempts. */
  private static Fixture fixture(int maxAttempts) {
    Fixture fixture =
        new Fixture()
            .withEndpoints(engine("a", "d1", 1), engine("b", "d1", 1), engine("c", "d1", 1));
    fixture.decider.updateEntries(List.of("e1"));
    RouteSpec route =
        new RouteSpec(
            "stream",
            "h",
            "/s/",
            CallKind.STREAM,
            true,
            Fixture.TIMEOUT_MILLIS,
            Fixture.TARGET_MILLIS,
            1,
            maxAttempts,
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

  private static CallEffect.Dispatch startStream(Fixture fixture) {
    CallEffect.Dispatch first = dispatch(fixture.call("/s/"));
    begin(fixture, first);
    fixture.decider.onResponseProgress(fixture.now, first.call(), first.attempt(), LAST_EVENT_ID);
    return first;
  }

  /** Starts a stream that breaks off, and returns the attempt that resumes it. */
  private static CallEffect.Dispatch resumeStream(Fixture fixture) {
    CallEffect.Dispatch first = startStream(fixture);
    CallEffect.Dispatch second =
        dispatch(
            fixture.decider.onAttemptFailure(
                fixture.now, first.call(), first.attempt(), true, "reset"));
    assertThat(second.resumeAfterEventId()).isEqualTo(LAST_EVENT_ID);
    return second;
  }

  private static List<CallEffect> begin(Fixture fixture, CallEffect.Dispatch sent) {
    return fixture.decider.onResponseHead(
        fixture.now,
        sent.call(),
        sent.attempt(),
        new ResponseHead(200, false, false, true, false, 1, -1, 0, NamedLimit.NONE));
  }

  private static List<CallEffect> end(Fixture fixture, CallEffect.Dispatch sent) {
    return fixture.decider.onResponseEnd(fixture.now, sent.call(), sent.attempt());
  }

  /** Checks that an attempt goes on after the last event at an endpoint that has not failed. */
  private static void assertResumesAgain(List<CallEffect> effects) {
    assertThat(find(effects, CallEffect.AbortResponse.class)).isEmpty();
    assertThat(find(effects, CallEffect.Complete.class)).isEmpty();
    assertThat(dispatch(effects).attempt()).isEqualTo(3);
    assertThat(dispatch(effects).resumeAfterEventId()).isEqualTo(LAST_EVENT_ID);
  }

  private static void assertAborts(List<CallEffect> effects) {
    assertThat(find(effects, CallEffect.AbortResponse.class)).isPresent();
    assertThat(find(effects, CallEffect.Complete.class)).isEmpty();
    assertThat(find(effects, CallEffect.Dispatch.class)).isEmpty();
  }

  /** Failure: the stream broke off at an error of the second endpoint, with an attempt left. */
  @ParameterizedTest
  @ValueSource(ints = {302, 404, 500, 503})
  void resumesAgainAfterErrorIfAttemptsAreLeft(int status) {
    Fixture fixture = fixture(3);
    CallEffect.Dispatch second = resumeStream(fixture);
    List<CallEffect> effects =
        fixture.decider.onResponseHead(
            fixture.now, second.call(), second.attempt(), Fixture.head(status));
    assertResumesAgain(effects);
    assertThat(find(effects, CallEffect.CancelAttempt.class).orElseThrow().attempt()).isEqualTo(2);
  }

  /** Guards against an error that is taken for the rest of the stream. */
  @ParameterizedTest
  @ValueSource(ints = {302, 404, 500, 503})
  void abortsAfterErrorIfNoAttemptsAreLeft(int status) {
    Fixture fixture = fixture(2);
    CallEffect.Dispatch second = resumeStream(fixture);
    assertAborts(
        fixture.decider.onResponseHead(
            fixture.now, second.call(), second.attempt(), Fixture.head(status)));
    assertThat(fixture.decider.openCallCount()).isZero();
  }

  /** Guards against a refusal that ends the stream although an attempt is left. */
  @Test
  void resumesAgainAfterRefusal() {
    Fixture fixture = fixture(3);
    CallEffect.Dispatch second = resumeStream(fixture);
    assertResumesAgain(
        fixture.decider.onResponseHead(
            fixture.now, second.call(), second.attempt(), Fixture.notExecuted()));
  }

  /** Guards against a refusal that is taken for the rest of the stream, or reported as not run. */
  @Test
  void abortsAfterRefusalIfNoAttemptsAreLeft() {
    Fixture fixture = fixture(2);
    CallEffect.Dispatch second = resumeStream(fixture);
    List<CallEffect> effects =
        fixture.decider.onResponseHead(
            fixture.now, second.call(), second.attempt(), Fixture.notExecuted());
    assertAborts(effects);
    assertThat(find(effects, CallEffect.Reject.class)).isEmpty();
  }

  /**
   * Failure: the second endpoint answered with success and an empty stream, or only with events
   * that the caller had, and the stream ended as if it were complete.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void abortsIfTheNextEndpointDeliversNothingNew(boolean progress) {
    Fixture fixture = fixture(2);
    CallEffect.Dispatch second = resumeStream(fixture);
    begin(fixture, second);
    if (progress) {
      fixture.decider.onResponseProgress(
          fixture.now, second.call(), second.attempt(), LAST_EVENT_ID);
    }
    assertAborts(end(fixture, second));
    assertThat(fixture.decider.openCallCount()).isZero();
  }

  /** Failure: as above, with an attempt left. */
  @Test
  void resumesAgainIfTheNextEndpointDeliversNothingNew() {
    Fixture fixture = fixture(3);
    CallEffect.Dispatch second = resumeStream(fixture);
    begin(fixture, second);
    CallEffect.Dispatch third = dispatch(end(fixture, second));
    assertThat(third.resumeAfterEventId()).isEqualTo(LAST_EVENT_ID);
    begin(fixture, third);
    fixture.decider.onResponseProgress(
        fixture.now, third.call(), third.attempt(), LAST_EVENT_ID + 1);
    assertThat(find(end(fixture, third), CallEffect.Complete.class)).isPresent();
  }

  /** Failure: as above, in a stream of which the caller has the head and no event. */
  @Test
  void abortsIfNoEndpointDeliversAnyEvent() {
    Fixture fixture = fixture(2);
    CallEffect.Dispatch first = dispatch(fixture.call("/s/"));
    begin(fixture, first);
    CallEffect.Dispatch second =
        dispatch(
            fixture.decider.onAttemptFailure(
                fixture.now, first.call(), first.attempt(), true, "reset"));
    begin(fixture, second);
    assertAborts(end(fixture, second));
  }

  /** Failure: as above, at the second of two attempts after the first one had failed. */
  @Test
  void abortsIfTheBackupDeliversNothingNew() {
    Fixture fixture = fixture(2);
    final CallEffect.Dispatch first = startStream(fixture);
    CallEffect.Dispatch backup = dispatch(sweepThroughSilence(fixture));
    begin(fixture, backup);
    List<CallEffect> effects =
        fixture.decider.onAttemptFailure(fixture.now, first.call(), first.attempt(), true, "reset");
    assertThat(find(effects, CallEffect.PromoteBackup.class)).isPresent();
    assertAborts(end(fixture, backup));
  }

  /** Guards against a silent attempt that is given up for one that delivers nothing new. */
  @Test
  void goesOnWithTheFirstAttemptIfTheBackupDeliversNothingNew() {
    Fixture fixture = fixture(2);
    final CallEffect.Dispatch first = startStream(fixture);
    CallEffect.Dispatch backup = dispatch(sweepThroughSilence(fixture));
    begin(fixture, backup);
    List<CallEffect> effects = end(fixture, backup);
    assertThat(find(effects, CallEffect.AbortResponse.class)).isEmpty();
    assertThat(find(effects, CallEffect.Complete.class)).isEmpty();
    fixture.decider.onResponseProgress(
        fixture.now, first.call(), first.attempt(), LAST_EVENT_ID + 1);
    assertThat(find(end(fixture, first), CallEffect.Complete.class)).isPresent();
  }

  /** Guards against a third endpoint that is not asked while the first one is silent. */
  @ParameterizedTest
  @ValueSource(ints = {302, 404, 500, 503})
  void sendsAnotherBackupAfterErrorIfAttemptsAreLeft(int status) {
    Fixture fixture = fixture(3);
    final CallEffect.Dispatch first = startStream(fixture);
    CallEffect.Dispatch backup = dispatch(sweepThroughSilence(fixture));
    List<CallEffect> effects =
        fixture.decider.onResponseHead(
            fixture.now, backup.call(), backup.attempt(), Fixture.head(status));
    assertThat(find(effects, CallEffect.AbortResponse.class)).isEmpty();
    CallEffect.Dispatch third = dispatch(sweepThroughSilence(fixture));
    begin(fixture, third);
    List<CallEffect> promoted =
        fixture.decider.onResponseProgress(
            fixture.now, third.call(), third.attempt(), LAST_EVENT_ID + 1);
    assertThat(find(promoted, CallEffect.CancelAttempt.class).orElseThrow().attempt())
        .isEqualTo(first.attempt());
    assertThat(find(end(fixture, third), CallEffect.Complete.class)).isPresent();
  }

  /**
   * Failure: a stream was resumed after an event without id, which the caller then received twice,
   * or with a gap in its place.
   */
  @Test
  void doesNotResumeAfterEventWithoutId() {
    Fixture fixture = fixture(3);
    CallEffect.Dispatch first = startStream(fixture);
    fixture.decider.recordResumable(first.call(), false);
    assertThat(find(sweepThroughSilence(fixture), CallEffect.Dispatch.class)).isEmpty();
    assertAborts(
        fixture.decider.onAttemptFailure(
            fixture.now, first.call(), first.attempt(), true, "reset"));
  }

  /** Guards against a stream that is given up although its last event has an id again. */
  @Test
  void resumesAfterEventWithId() {
    Fixture fixture = fixture(3);
    CallEffect.Dispatch first = startStream(fixture);
    fixture.decider.recordResumable(first.call(), false);
    fixture.decider.recordResumable(first.call(), true);
    assertThat(
            find(
                fixture.decider.onAttemptFailure(
                    fixture.now, first.call(), first.attempt(), true, "reset"),
                CallEffect.Dispatch.class))
        .isPresent();
  }

  /** Guards against a resumption by the caller that never ends, since nothing is left. */
  @Test
  void completesAnEmptyStreamThatTheCallerResumed() {
    Fixture fixture = fixture(2);
    CallSpec spec = fixture.callSpec("/s/", "", Fixture.TIMEOUT_MILLIS);
    CallEffect.Dispatch sent =
        dispatch(
            fixture.decider.onCall(
                fixture.now,
                new CallSpec(
                    spec.number(),
                    spec.id(),
                    spec.host(),
                    spec.path(),
                    spec.key(),
                    spec.deadlineMillis(),
                    spec.promptTokens(),
                    spec.maxOutputTokens(),
                    spec.expectedOutputTokens(),
                    LAST_EVENT_ID,
                    spec.sharedParts())));
    begin(fixture, sent);
    assertThat(find(end(fixture, sent), CallEffect.Complete.class)).isPresent();
  }

  private static List<CallEffect> sweepThroughSilence(Fixture fixture) {
    fixture.now += 1_000;
    fixture.decider.recordConfirmation(fixture.now);
    return fixture.decider.sweep(fixture.now);
  }
}
