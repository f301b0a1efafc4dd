package org.cornelchute.policy.forward;

import static org.assertj.core.api.Assertions.assertThat;
import static org.cornelchute.policy.forward.Fixture.OPTIONS;
import static org.cornelchute.policy.forward.Fixture.dispatch;
import static org.cornelchute.policy.forward.Fixture.engine;
import static org.cornelchute.policy.forward.Fixture.find;
import static org.cornelchute.policy.forward.Fixture.head;
import static org.cornelchute.policy.forward.Fixture.notExecuted;
import static org.cornelchute.policy.forward.Fixture.plain;
import static org.cornelchute.policy.forward.Fixture.rejection;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guarantees for calls that are sent directly to endpoints. */
class CallDeciderTest {

  /** Configuration and keys are used only while their last confirmation is recent enough. */
  @Nested
  class CachedState {

    @Test
    void rejectsAsNotReadyWithoutConfiguration() {
      Fixture fixture = new Fixture();
      assertThat(rejection(fixture.call("/s/"))).isEqualTo(Rejection.NOT_READY);
    }

    @Test
    void rejectsUnknownRouteOrKeyOnlyWithFreshConfiguration() {
      Fixture fixture = new Fixture().withEndpoints(plain("p1"));
      assertThat(rejection(fixture.call("/x/"))).isEqualTo(Rejection.UNKNOWN_ROUTE);
      assertThat(
              rejection(
                  fixture.decider.onCall(fixture.now, fixture.callSpec("/c/", "other", 1_500))))
          .isEqualTo(Rejection.UNKNOWN_KEY);
      fixture.now += 2_400;
      assertThat(rejection(fixture.call("/x/"))).isEqualTo(Rejection.NOT_READY);
      assertThat(
              rejection(
                  fixture.decider.onCall(fixture.now, fixture.callSpec("/c/", "other", 1_500))))
          .isEqualTo(Rejection.NOT_READY);
    }

    @Test
    void rejectsCallsWithKeysIfKeysAreStale() {
      Fixture fixture = new Fixture().withEndpoints(plain("p1"));
      fixture.now += 4_800;
      assertThat(rejection(fixture.call("/c/"))).isEqualTo(Rejection.NOT_READY);
      fixture.decider.recordConfirmation(fixture.now - 10);
      assertThat(find(fixture.call("/c/"), CallEffect.Dispatch.class)).isPresent();
    }

    private long retryAfterMillis(List<CallEffect> effects) {
      return find(effects, CallEffect.Reject.class).orElseThrow().retryAfterMillis();
    }

    @Test
    void divertsCallersIfOnlyThisEntryIsCutOffFromTheStore() {
      // Failure: this entry is cut off from the store, first from the other entries as well.
      Fixture fixture = new Fixture().withEndpoints(plain("p1"));
      fixture.decider.updateEntries(List.of("e1", "e2"));
      fixture.now += 4_800;
      assertThat(retryAfterMillis(fixture.call("/c/"))).isLessThan(60);
      assertThat(fixture.decider.shouldDivertCalls(fixture.now)).isTrue();
      fixture.decider.recordEntryReport(fixture.now, "e2", 300, List.of());
      assertThat(retryAfterMillis(fixture.call("/c/"))).isLessThan(60);
      assertThat(fixture.decider.shouldDivertCalls(fixture.now)).isTrue();
    }

    @Test
    void delaysCallersIfAllEntriesAreCutOffFromTheStore() {
      // Failure: the store is unavailable to all entries.
      Fixture fixture = new Fixture().withEndpoints(plain("p1"));
      fixture.now += 4_800;
      fixture.decider.recordEntryReport(fixture.now, "e2", 4_790, List.of());
      fixture.decider.recordEntryReport(fixture.now, "e3", 4_900, List.of());
      assertThat(retryAfterMillis(fixture.call("/c/"))).isGreaterThan(1_000);
      assertThat(fixture.decider.shouldDivertCalls(fixture.now)).isFalse();
    }

    @Test
    void requiresConfirmationAfterSuspension() {
      Fixture fixture = new Fixture().withEndpoints(plain("p1"));
      fixture.decider.detectSuspension(fixture.now, 5_000_000);
      fixture.decider.recordConfirmation(fixture.now);
      fixture.now += 100;
      fixture.decider.detectSuspension(fixture.now, 5_006_100);
      assertThat(rejection(fixture.call("/c/"))).isEqualTo(Rejection.NOT_READY);
      // A response to a request from before the suspension does not confirm the current state.
      fixture.decider.recordConfirmation(fixture.now - 50);
      assertThat(rejection(fixture.call("/c/"))).isEqualTo(Rejection.NOT_READY);
      fixture.decider.recordConfirmation(fixture.now);
      assertThat(find(fixture.call("/c/"), CallEffect.Dispatch.class)).isPresent();
    }

    /** Failure: a suspension was not seen if the wall clock was set back at the same time. */
    @Test
    void requiresConfirmationAfterSuspensionWithBackwardStepOfTheWallClock() {
      Fixture fixture = new Fixture().withEndpoints(plain("p1"));
      fixture.decider.detectSuspension(fixture.now, 5_000_000);
      fixture.now += 50;
      assertThat(fixture.decider.detectSuspension(fixture.now, 5_000_050 - 1_000)).isTrue();
      assertThat(rejection(fixture.call("/c/"))).isEqualTo(Rejection.NOT_READY);
    }

    @Test
    void ignoresOlderConfiguration() {
      Fixture fixture = new Fixture().withEndpoints(plain("p1"));
      fixture.decider.updateConfig(Fixture.config(3, Map.of()));
      fixture.decider.updateConfig(
          Fixture.config(2, Map.of(Fixture.KEY, new WorkspaceSpec("w", 0, List.of()))));
      assertThat(fixture.decider.config().version()).isEqualTo(3);
      assertThat(rejection(fixture.call("/c/"))).isEqualTo(Rejection.UNKNOWN_KEY);
    }

    /** Failure: a configuration that the store lost and operators wrote again was ignored. */
    @Test
    void replacesTheConfigurationByRewrittenOneOfLowerVersion() {
      Fixture fixture = new Fixture().withEndpoints(plain("p1"));
      fixture.decider.updateConfig(Fixture.config(5, Map.of()));
      fixture.decider.replaceConfig(Fixture.config(3, Map.of()));
      assertThat(fixture.decider.config().version()).isEqualTo(3);
      fixture.decider.updateConfig(Fixture.config(4, Map.of()));
      assertThat(fixture.decider.config().version()).isEqualTo(4);
    }

    @Test
    void usesTheRouteWithTheLongestPrefix() {
      Fixture fixture = new Fixture().withEndpoints(plain("p1"), plain("p2"));
      CallEffect.Dispatch first = dispatch(fixture.call("/c/deep/er"));
      List<CallEffect> failed =
          fixture.decider.onAttemptFailure(
              fixture.now, first.call(), first.attempt(), true, "reset");
      assertThat(rejection(failed)).isEqualTo(Rejection.ANSWER_LOST);
    }
  }

  /** Calls are retried only if that is safe and within the limits. */
  @Nested
  class Retries {

    /**
     * Failure: after one call without a deadline, or with a far one, all other calls of the route
     * counted as late, and were rejected or not queued though endpoints had slots.
     */
    @Test
    void takesNoCallForLateSinceAnotherOneNamedFarDeadline() {
      Fixture fixture = new Fixture().withEndpoints(engine("a", "d1", 1));
      fixture.call("/s/", Integer.MAX_VALUE);
      for (int i = 1; i < 12; i++) {
        assertThat(find(fixture.call("/s/"), CallEffect.Dispatch.class))
            .as("call " + i)
            .isPresent();
      }
    }

    /**
     * Failure: the status of an endpoint that had executed a call, or might have, was passed on,
     * and told its caller that the call was not executed.
     */
    @ParameterizedTest
    @ValueSource(ints = {408, 429, 503})
    void passesOnNoPromiseThatTheEndpointDoesNotMake(int status) {
      Fixture fixture = new Fixture().withEndpoints(plain("p1"), plain("p2"));
      CallEffect.Dispatch order = dispatch(fixture.call("/o/"));
      List<CallEffect> answered =
          fixture.decider.onResponseHead(
              fixture.now, order.call(), order.attempt(), Fixture.head(status));
      assertThat(rejection(answered)).isEqualTo(Rejection.ANSWER_LOST);
      CallEffect.Dispatch check = dispatch(fixture.call("/c/"));
      List<CallEffect> retried =
          fixture.decider.onResponseHead(
              fixture.now, check.call(), check.attempt(), Fixture.head(status));
      assertThat(dispatch(retried).attempt()).isEqualTo(2);
    }

    // Failure: a call that an endpoint had executed was rejected as not executed, since the attempt
    // was given up before it was known whether another endpoint could take the call.
    @Test
    void deliversErrorResponseIfNoOtherEndpointCanTakeTheCall() {
      Fixture fixture = new Fixture().withEndpoints(plain("p1"));
      CallEffect.Dispatch first = dispatch(fixture.call("/c/"));
      List<CallEffect> effects =
          fixture.decider.onResponseHead(fixture.now, first.call(), 1, head(500));
      assertThat(find(effects, CallEffect.Reject.class)).isEmpty();
      assertThat(find(effects, CallEffect.CancelAttempt.class)).isEmpty();
      assertThat(
              find(
                  fixture.decider.onResponseEnd(fixture.now, first.call(), 1),
                  CallEffect.Complete.class))
          .isPresent();
    }

    @Test
    void retriesCallWithErrorResponseAtAnotherEndpoint() {
      Fixture fixture = new Fixture().withEndpoints(plain("p1"), plain("p2"));
      CallEffect.Dispatch first = dispatch(fixture.call("/c/"));
      List<CallEffect> effects =
          fixture.decider.onResponseHead(fixture.now, first.call(), 1, head(500));
      assertThat(dispatch(effects).endpoint().id()).isNotEqualTo(first.endpoint().id());
      List<CallEffect> refused =
          fixture.decider.onAttemptFailure(fixture.now, first.call(), 2, false, "refused");
      assertThat(rejection(refused)).isEqualTo(Rejection.ANSWER_LOST);
    }

    @Test
    void retriesNonIdempotentCallOnlyIfNotExecuted() {
      Fixture fixture = new Fixture().withEndpoints(plain("p1"), plain("p2"));
      CallEffect.Dispatch first = dispatch(fixture.call("/o/"));
      List<CallEffect> retried =
          fixture.decider.onResponseHead(fixture.now, first.call(), first.attempt(), notExecuted());
      CallEffect.Dispatch second = dispatch(retried);
      assertThat(second.endpoint().id()).isNotEqualTo(first.endpoint().id());
      List<CallEffect> failed =
          fixture.decider.onAttemptFailure(
              fixture.now, first.call(), second.attempt(), true, "reset");
      assertThat(rejection(failed)).isEqualTo(Rejection.ANSWER_LOST);
      assertThat(rejection(failed).guaranteesNotExecuted()).isFalse();
    }

    @Test
    void doesNotReportNotExecutedIfAnAttemptMayHaveExecuted() {
      Fixture fixture = new Fixture().withEndpoints(plain("p1"), plain("p2"));
      CallEffect.Dispatch first = dispatch(fixture.call("/c/"));
      CallEffect.Dispatch second =
          dispatch(
              fixture.decider.onAttemptFailure(
                  fixture.now, first.call(), first.attempt(), true, "reset"));
      List<CallEffect> rejected =
          fixture.decider.onResponseHead(
              fixture.now, first.call(), second.attempt(), notExecuted());
      assertThat(rejection(rejected).guaranteesNotExecuted()).isFalse();
    }

    @Test
    void reportsNotExecutedIfAllEndpointsRefused() {
      Fixture fixture = new Fixture().withEndpoints(plain("p1"), plain("p2"));
      CallEffect.Dispatch first = dispatch(fixture.call("/o/"));
      CallEffect.Dispatch second =
          dispatch(
              fixture.decider.onResponseHead(
                  fixture.now, first.call(), first.attempt(), notExecuted()));
      assertThat(
              rejection(
                      fixture.decider.onResponseHead(
                          fixture.now, first.call(), second.attempt(), notExecuted()))
                  .guaranteesNotExecuted())
          .isTrue();
    }

    @Test
    void retriesIdempotentCallAfterServerError() {
      Fixture fixture = new Fixture().withEndpoints(plain("p1"), plain("p2"));
      CallEffect.Dispatch first = dispatch(fixture.call("/c/"));
      assertThat(
              find(
                  fixture.decider.onResponseHead(fixture.now, first.call(), 1, head(500)),
                  CallEffect.Dispatch.class))
          .isPresent();
      CallEffect.Dispatch order = dispatch(fixture.call("/o/"));
      assertThat(fixture.decider.onResponseHead(fixture.now, order.call(), 1, head(500))).isEmpty();
      assertThat(
              find(
                  fixture.decider.onResponseEnd(fixture.now, order.call(), 1),
                  CallEffect.Complete.class))
          .isPresent();
    }

    @Test
    void limitsRetriesToTheShareOfThisEntry() {
      RetryBudget budget = new RetryBudget(0.16, 80, 10_000, -10_000);
      int retries = 0;
      int calls = 200;
      for (int i = 0; i < calls; i++) {
        budget.recordCall(1_000 + i * 10, "plain");
        retries += budget.trySpend(1_000 + i * 10, "plain", 4) ? 1 : 0;
      }
      assertThat(retries).isBetween(10, (int) (0.16 * calls + 80 / 4.0));
      assertThat(budget.trySpend(3_100, "plain", 4)).isFalse();
      assertThat(budget.trySpend(14_100, "plain", 4)).isTrue();
    }

    @Test
    void treatsUnsignedSuccessAsLostResponse() {
      Fixture fixture = new Fixture().withEndpoints(plain("p1"), plain("p2"));
      CallEffect.Dispatch order = dispatch(fixture.call("/o/"));
      ResponseHead unsigned =
          new ResponseHead(200, false, false, false, false, 0, -1, 0, NamedLimit.NONE);
      assertThat(rejection(fixture.decider.onResponseHead(fixture.now, order.call(), 1, unsigned)))
          .isEqualTo(Rejection.ANSWER_LOST);
      CallEffect.Dispatch check = dispatch(fixture.call("/c/"));
      assertThat(
              dispatch(fixture.decider.onResponseHead(fixture.now, check.call(), 1, unsigned))
                  .attempt())
          .isEqualTo(2);
    }

    @Test
    void usesEndpointInBackoffIfThereIsNoOther() {
      Fixture fixture = new Fixture().withEndpoints(plain("p1"));
      CallEffect.Dispatch first = dispatch(fixture.call("/o/"));
      fixture.decider.onAttemptFailure(fixture.now, first.call(), 1, true, "reset");
      assertThat(dispatch(fixture.call("/c/")).endpoint().id()).isEqualTo("p1");
    }
  }

  /** Streams are resumed on another endpoint without a gap, or end as visibly truncated. */
  @Nested
  class Streams {

    @Test
    void resumesOnTheSameVersionAfterTheLastDeliveredEvent() {
      Fixture fixture =
          new Fixture()
              .withEndpoints(engine("a", "d1", 2), engine("b", "d1", 2), engine("c", "d1", 3));
      CallEffect.Dispatch first = dispatch(fixture.call("/s/"));
      long version = first.endpoint().version();
      fixture.decider.onResponseHead(
          fixture.now,
          first.call(),
          1,
          new ResponseHead(200, false, false, true, false, version, -1, 0, NamedLimit.NONE));
      fixture.decider.onResponseProgress(fixture.now, first.call(), 1, 4);
      List<CallEffect> failed =
          fixture.decider.onAttemptFailure(fixture.now, first.call(), 1, true, "reset");
      if (version == 3) {
        assertThat(find(failed, CallEffect.AbortResponse.class)).isPresent();
        return;
      }
      CallEffect.Dispatch second = dispatch(failed);
      assertThat(second.resumeAfterEventId()).isEqualTo(4);
      assertThat(second.expectedVersion()).isEqualTo(version);
      assertThat(second.endpoint().version()).isEqualTo(version);
    }

    @Test
    void retriesStalledStreamOnAnotherEndpoint() {
      Fixture fixture = new Fixture().withEndpoints(engine("a", "d1", 1), engine("b", "d1", 1));
      CallEffect.Dispatch first = dispatch(fixture.call("/s/"));
      fixture.now += 1_000;
      CallEffect.Dispatch second = dispatch(fixture.decider.sweep(fixture.now));
      assertThat(second.endpoint().id()).isNotEqualTo(first.endpoint().id());
    }

    @Test
    void rejectsCallsAtTheirDeadline() {
      Fixture fixture = new Fixture().withEndpoints(plain("p1"));
      CallEffect.Dispatch first = dispatch(fixture.call("/o/"));
      fixture.now += Fixture.TIMEOUT_MILLIS;
      List<CallEffect> ended = fixture.decider.sweep(fixture.now);
      assertThat(rejection(ended)).isEqualTo(Rejection.EXPIRED_SENT);
      assertThat(find(ended, CallEffect.CancelAttempt.class).orElseThrow().attempt())
          .isEqualTo(first.attempt());
    }
  }

  /** Calls are sent only to endpoints that may serve them. */
  @Nested
  class EndpointSelection {

    @Test
    void avoidsDrainingEvacuatedAndUnloadedEndpoints() {
      EndpointSpec draining =
          new EndpointSpec("x", "engines", "10.0.0.1:80", "d1", "r1", 16, true, 0, 1, "m", 1);
      Fixture fixture =
          new Fixture().withEndpoints(draining, engine("y", "d2", 1), engine("z", "d1", 0));
      fixture.decider.updateEvacuatedDomains(Set.of("d2"));
      assertThat(rejection(fixture.call("/s/"))).isEqualTo(Rejection.NO_ENDPOINT);
      fixture.decider.updateEvacuatedDomains(Set.of());
      assertThat(dispatch(fixture.call("/s/")).endpoint().id()).isEqualTo("y");
    }

    @Test
    void requiresPublishedVersionAfterGracePeriod() {
      Fixture fixture = new Fixture().withEndpoints(engine("a", "d1", 1));
      fixture.decider.recordVersion(fixture.now, fixture.now, "m", 2);
      assertThat(dispatch(fixture.call("/s/")).expectedVersion()).isZero();
      fixture.now += 7_000;
      fixture.decider.recordConfirmation(fixture.now);
      assertThat(rejection(fixture.call("/s/"))).isEqualTo(Rejection.NO_ENDPOINT);
      fixture.decider.updateEndpoints(fixture.now, List.of(engine("a", "d1", 2)));
      assertThat(dispatch(fixture.call("/s/")).expectedVersion()).isEqualTo(2);
    }

    /** Failure: a read of the sighting that took 1 s let calls start 1 s past the limit. */
    @Test
    void cancelsCallsThatDidNotStartBeforeTheVersionCutoff() {
      Fixture fixture = new Fixture().withEndpoints(engine("a", "d1", 1));
      fixture.decider.updateEvacuatedDomains(Set.of());
      fixture.decider.recordVersion(fixture.now - 50, fixture.now + 1_000, "m", 2);
      fixture.now += 6_900;
      fixture.decider.recordConfirmation(fixture.now);
      final CallEffect.Dispatch outdated = dispatch(fixture.call("/s/"));
      fixture.withEndpoints(engine("b", "d1", 2));
      // 7,600 ms after the earlier bound of the acknowledgement.
      fixture.now += 650;
      List<CallEffect> swept = fixture.decider.sweep(fixture.now);
      assertThat(find(swept, CallEffect.CancelAttempt.class).orElseThrow().call())
          .isEqualTo(outdated.call());
      assertThat(dispatch(swept).endpoint().id()).isEqualTo("b");
    }

    @Test
    void countsGracePeriodFromTheEarliestSighting() {
      Fixture fixture = new Fixture().withEndpoints(engine("a", "d1", 1));
      fixture.decider.recordVersion(fixture.now, fixture.now, "m", 2);
      assertThat(find(fixture.call("/s/"), CallEffect.Dispatch.class)).isPresent();
      fixture.decider.recordVersion(fixture.now - 7_000, fixture.now - 7_000, "m", 2);
      assertThat(rejection(fixture.call("/s/"))).isEqualTo(Rejection.NO_ENDPOINT);
    }

    /** Failure: a version of unknown age counted as new after each start of the entry. */
    @Test
    void requiresVersionOfUnknownAgeAtOnceAfterStart() {
      Fixture fixture = new Fixture();
      fixture.decider.recordVersionOfUnknownAge(fixture.now, "m", 2);
      fixture.withEndpoints(engine("a", "d1", 1));
      assertThat(rejection(fixture.call("/s/"))).isEqualTo(Rejection.NOT_READY);
      // Calls to other services are not affected.
      fixture.withEndpoints(plain("p1"));
      assertThat(find(fixture.call("/c/"), CallEffect.Dispatch.class)).isPresent();
      // The sighting shows that the grace period has not passed.
      fixture.decider.recordVersion(fixture.now - 6_000, fixture.now - 6_000, "m", 2);
      assertThat(dispatch(fixture.call("/s/")).endpoint().id()).isEqualTo("a");
      fixture.now += 1_000;
      assertThat(rejection(fixture.call("/s/"))).isEqualTo(Rejection.NO_ENDPOINT);
    }

    /** Failure: an entry that was cut off at the assignment counted the version as new. */
    @Test
    void countsVersionOfUnknownAgeFromTheLastConfirmation() {
      Fixture fixture = new Fixture().withEndpoints(engine("a", "d1", 1));
      fixture.now += 6_000;
      fixture.decider.recordVersionOfUnknownAge(fixture.now, "m", 2);
      fixture.decider.recordConfirmation(fixture.now);
      assertThat(find(fixture.call("/s/"), CallEffect.Dispatch.class)).isPresent();
      fixture.now += 1_000;
      assertThat(rejection(fixture.call("/s/"))).isEqualTo(Rejection.NOT_READY);
      fixture.decider.recordVersion(fixture.now - 1_200, fixture.now - 1_200, "m", 2);
      assertThat(find(fixture.call("/s/"), CallEffect.Dispatch.class)).isPresent();
    }

    /** Failure: the age of a version on the steady clock omits the time of a suspension. */
    @Test
    void requiresNewestVersionAfterSuspensionUntilItsAgeIsConfirmed() {
      Fixture fixture = new Fixture().withEndpoints(engine("a", "d1", 1));
      fixture.decider.detectSuspension(fixture.now, 5_000_000);
      fixture.decider.recordVersion(fixture.now, fixture.now, "m", 2);
      fixture.now += 100;
      assertThat(fixture.decider.detectSuspension(fixture.now, 5_008_100)).isTrue();
      fixture.decider.recordConfirmation(fixture.now);
      assertThat(rejection(fixture.call("/s/"))).isEqualTo(Rejection.NOT_READY);
      fixture.decider.recordVersion(fixture.now - 8_100, fixture.now - 8_100, "m", 2);
      assertThat(rejection(fixture.call("/s/"))).isEqualTo(Rejection.NO_ENDPOINT);
    }

    /** Failure: calls were canceled by the time at which the entry learned of the version. */
    @Test
    void cancelsCallsInFlightByTheAcknowledgementOnceTheSightingIsRead() {
      Fixture fixture = new Fixture().withEndpoints(engine("a", "d1", 1));
      fixture.now += 1_000;
      fixture.decider.recordVersionOfUnknownAge(fixture.now, "m", 2);
      fixture.now += 5_900;
      fixture.decider.recordConfirmation(fixture.now);
      assertThat(find(fixture.call("/s/"), CallEffect.Dispatch.class)).isPresent();
      // The version was acknowledged 6,900 ms ago.
      fixture.decider.recordVersion(fixture.now - 6_900, fixture.now - 6_000, "m", 2);
      fixture.now += 700;
      assertThat(find(fixture.decider.sweep(fixture.now), CallEffect.CancelAttempt.class))
          .isPresent();
    }

    /** Failure: calls in flight on old weights were kept while the sighting could not be read. */
    @Test
    void cancelsCallsInFlightOnceTheVersionIsCertainlyRequired() {
      Fixture fixture = new Fixture().withEndpoints(engine("a", "d1", 1));
      fixture.decider.recordVersionOfUnknownAge(fixture.now, "m", 2);
      fixture.now += 6_900;
      fixture.decider.recordConfirmation(fixture.now);
      assertThat(find(fixture.call("/s/"), CallEffect.Dispatch.class)).isPresent();
      fixture.now += 750;
      assertThat(find(fixture.decider.sweep(fixture.now), CallEffect.CancelAttempt.class))
          .isPresent();
    }

    /** Callers try another entry only if the age of the version is all that is missing. */
    @Test
    void rejectsAsNotReadyOnlyIfTheAgeOfTheVersionMayChangeTheOutcome() {
      Fixture fixture = new Fixture();
      fixture.decider.recordVersionOfUnknownAge(fixture.now, "m", 3);
      fixture.withEndpoints(engine("a", "d1", 1));
      fixture.decider.recordVersion(fixture.now - 9_000, fixture.now - 9_000, "m", 2);
      assertThat(rejection(fixture.call("/s/"))).isEqualTo(Rejection.NO_ENDPOINT);
      // An engine that holds the newest version but is full.
      EndpointSpec full =
          new EndpointSpec("f", "engines", "10.0.0.9:80", "d1", "r1", 1, false, 0, 1, "m", 3);
      fixture.withEndpoints(full, engine("b", "d1", 2));
      assertThat(dispatch(fixture.call("/s/")).endpoint().id()).isEqualTo("f");
      assertThat(rejection(fixture.call("/s/"))).isEqualTo(Rejection.NOT_READY);
    }

    /** A call in flight is canceled only if its version is certainly superseded. */
    @Test
    void keepsCallsInFlightWhileTheAgeOfTheVersionIsUnknown() {
      Fixture fixture = new Fixture().withEndpoints(engine("a", "d1", 1));
      fixture.decider.detectSuspension(fixture.now, 5_000_000);
      fixture.decider.recordVersion(fixture.now, fixture.now, "m", 2);
      assertThat(find(fixture.call("/s/"), CallEffect.Dispatch.class)).isPresent();
      fixture.now += 100;
      assertThat(fixture.decider.detectSuspension(fixture.now, 5_008_100)).isTrue();
      assertThat(fixture.decider.sweep(fixture.now)).isEmpty();
      fixture.decider.recordVersion(fixture.now - 8_100, fixture.now - 8_100, "m", 2);
      assertThat(find(fixture.decider.sweep(fixture.now), CallEffect.CancelAttempt.class))
          .isPresent();
    }

    @Test
    void avoidsEnginesThatSwitchWeights() {
      Fixture fixture = new Fixture().withEndpoints(engine("a", "d1", 1));
      fixture.decider.updateWeightsSwitches(
          fixture.now, Map.of("10.0.0.1", new WeightsSwitch(1, 2, 1)));
      assertThat(rejection(fixture.call("/s/"))).isEqualTo(Rejection.NO_ENDPOINT);
      fixture.decider.updateEndpoints(fixture.now, List.of(engine("a", "d1", 2)));
      assertThat(find(fixture.call("/s/"), CallEffect.Dispatch.class)).isPresent();
    }

    @Test
    void usesEngineOnceItsAgentReportsLoadedWeights() {
      Fixture fixture = new Fixture().withEndpoints(engine("a", "d1", 0));
      // A report on another incarnation of the engine is ignored.
      fixture.decider.updateWeightsSwitches(
          fixture.now, Map.of("10.0.0.1", new WeightsSwitch(9, 2, 2)));
      assertThat(rejection(fixture.call("/s/"))).isEqualTo(Rejection.NO_ENDPOINT);
      fixture.decider.updateWeightsSwitches(
          fixture.now, Map.of("10.0.0.1", new WeightsSwitch(1, 2, 2)));
      assertThat(find(fixture.call("/s/"), CallEffect.Dispatch.class)).isPresent();
      // The directory lags behind the agent: its older version is ignored.
      fixture.decider.updateEndpoints(fixture.now + 300, List.of(engine("a", "d1", 1)));
      fixture.decider.recordVersionOfUnknownAge(fixture.now, "m", 2);
      assertThat(find(fixture.call("/s/"), CallEffect.Dispatch.class)).isPresent();
    }

    @Test
    void limitsCallsToColdEndpointsToTheShareOfThisEntry() {
      EndpointSpec cold =
          new EndpointSpec("x", "engines", "10.0.0.1:80", "d1", "r1", 99, false, 3_000, 1, "m", 1);
      Fixture fixture = new Fixture();
      fixture.decider.updateEntries(List.of("e1", "e2", "e3", "e4", "e5", "e6"));
      fixture.withEndpoints(cold);
      int sent = 0;
      for (int i = 0; i < 30; i++) {
        sent += find(fixture.call("/s/"), CallEffect.Dispatch.class).isPresent() ? 1 : 0;
      }
      assertThat(sent * 6).isLessThanOrEqualTo((int) (26 * 1.5 + 5));
      assertThat(sent).isPositive();
    }

    /** Failure: an endpoint that became cold again for the same time counted as warm. */
    @Test
    void limitsCallsToEndpointThatIsColdAgainForTheSameTime() {
      Fixture fixture = new Fixture();
      fixture.decider.updateEntries(List.of("e1"));
      fixture.withEndpoints(coldEngine(1));
      fixture.now += 3_100;
      fixture.decider.recordConfirmation(fixture.now);
      // The changes in between were missed.
      fixture.decider.updateEndpoints(fixture.now, List.of(coldEngine(2)));
      assertThat(countDispatches(fixture, "/s/")).isBetween(1, (int) (26 * 1.5 + 5));
    }

    /** Guards against an endpoint that stays cold because others change. */
    @Test
    void doesNotLimitCallsToEndpointThatIsListedAgainWithoutChange() {
      Fixture fixture = new Fixture();
      fixture.decider.updateEntries(List.of("e1"));
      fixture.withEndpoints(coldEngine(1));
      fixture.now += 2_000;
      fixture.decider.updateEndpoints(fixture.now, List.of(coldEngine(1)));
      fixture.now += 1_100;
      fixture.decider.recordConfirmation(fixture.now);
      assertThat(countDispatches(fixture, "/s/")).isEqualTo(60);
    }

    /** Failure: a cold endpoint of a service without a cold rate received any number of calls. */
    @Test
    void limitsCallsToColdEndpointsOfServiceWithoutColdRateToTheAllowance() {
      Fixture fixture = new Fixture();
      fixture.decider.updateEntries(List.of("e1"));
      fixture.withEndpoints(
          new EndpointSpec("p", "plain", "10.0.0.2:80", "d1", "r1", 99, false, 3_000, 1, "", 0));
      assertThat(countDispatches(fixture, "/c/")).isBetween(1, (int) OPTIONS.coldAllowance());
    }

    private static EndpointSpec coldEngine(long revision) {
      return new EndpointSpec(
          "x", "engines", "10.0.0.1:80", "d1", "r1", 99, false, 3_000, 1, "m", 1, revision);
    }

    /** Sends 60 calls and returns how many of them were dispatched. */
    private static int countDispatches(Fixture fixture, String path) {
      int sent = 0;
      for (int i = 0; i < 60; i++) {
        sent += find(fixture.call(path), CallEffect.Dispatch.class).isPresent() ? 1 : 0;
      }
      return sent;
    }

    @Test
    void keepsEndpointsWhoseRegistrationsExpiredInAnOutage() {
      Fixture fixture = new Fixture().withEndpoints(engine("a", "d1", 1), plain("p1"));
      fixture.decider.onDirectoryRecovered(fixture.now);
      fixture.decider.updateEndpoints(fixture.now, List.of());
      assertThat(find(fixture.call("/s/"), CallEffect.Dispatch.class)).isPresent();
      fixture.now += 1_900;
      fixture.decider.sweep(fixture.now);
      fixture.decider.recordConfirmation(fixture.now);
      assertThat(rejection(fixture.call("/s/"))).isEqualTo(Rejection.NO_ENDPOINT);
    }

    /** Failure: without open calls, endpoints stayed in use after their grace period. */
    @Test
    void doesNotUseEndpointsAfterTheirGracePeriodWithoutSweep() {
      EndpointSpec listed = engine("a", "d1", 1);
      Fixture fixture =
          new Fixture()
              .withEndpoints(
                  listed,
                  engine("b", "d1", 1),
                  engine("c", "d1", 1),
                  engine("d", "d1", 1),
                  engine("e", "d1", 1));
      fixture.decider.updateEndpoints(fixture.now, List.of(listed));
      fixture.now += 5_000;
      fixture.decider.recordConfirmation(fixture.now);
      for (int i = 0; i < 10; i++) {
        assertThat(dispatch(fixture.call("/s/")).endpoint().id()).isEqualTo("a");
      }
    }

    @Test
    void retriesOnAnotherEndpointAfterInstanceMismatch() {
      Fixture fixture = new Fixture().withEndpoints(plain("p1"), plain("p2"));
      CallEffect.Dispatch first = dispatch(fixture.call("/o/"));
      ResponseHead mismatch =
          new ResponseHead(421, false, true, false, false, 0, -1, 0, NamedLimit.NONE);
      CallEffect.Dispatch second =
          dispatch(
              fixture.decider.onResponseHead(fixture.now, first.call(), first.attempt(), mismatch));
      assertThat(second.endpoint().id()).isNotEqualTo(first.endpoint().id());
    }

    @Test
    void removesUnlistedEndpointImmediatelyWithoutOutage() {
      Fixture fixture = new Fixture().withEndpoints(engine("a", "d1", 1), engine("b", "d1", 1));
      fixture.decider.updateEndpoints(fixture.now, List.of(engine("b", "d1", 1)));
      assertThat(dispatch(fixture.call("/s/")).endpoint().id()).isEqualTo("b");
    }
  }

  /** More calls arrive than the endpoints have slots. */
  @Nested
  class Overload {

    @Test
    void queuesNewCallsUntilSlotIsFree() {
      Fixture fixture = new Fixture().withEndpoints(plain("p1"));
      CallEffect.Dispatch first = null;
      for (int i = 0; i < 6; i++) {
        first = dispatch(fixture.call("/c/"));
      }
      List<CallEffect> queued = fixture.call("/c/");
      assertThat(queued).isEmpty();
      fixture.now += 100;
      List<CallEffect> freed = fixture.decider.onResponseEnd(fixture.now, first.call(), 1);
      assertThat(dispatch(freed).call()).isEqualTo(fixture.lastNumber());
    }

    @Test
    void doesNotOverloadNewEndpointsFromSeveralEntries() {
      // Failure: engines return from a weights switch one by one, and all entries send calls to
      // them.
      Fixture fixture = new Fixture().withEndpoints(engine("a", "d1", 1));
      fixture.decider.updateEntries(List.of("e1", "e2", "e3", "e4", "e5", "e6"));
      int sent = 0;
      for (int i = 0; i < 16; i++) {
        sent += find(fixture.call("/s/"), CallEffect.Dispatch.class).isPresent() ? 1 : 0;
      }
      assertThat(6 * sent).isBetween(12, 32);
    }

    @Test
    void usesEndpointToCapacityOnceItsLoadIsSampled() {
      Fixture fixture = new Fixture().withEndpoints(engine("a", "d1", 1));
      fixture.decider.updateEntries(List.of("e1", "e2", "e3", "e4", "e5", "e6"));
      CallEffect.Dispatch first = dispatch(fixture.call("/s/"));
      fixture.decider.onResponseHead(
          fixture.now,
          first.call(),
          1,
          new ResponseHead(200, false, false, true, false, 1, 1, 0, NamedLimit.NONE));
      int sent = 1;
      for (int i = 0; i < 16; i++) {
        sent += find(fixture.call("/s/"), CallEffect.Dispatch.class).isPresent() ? 1 : 0;
      }
      assertThat(sent).isBetween(6, 12);
    }

    @Test
    void rejectsQueuedCallsBeforeTheyMissTheTargetLatency() {
      Fixture fixture = new Fixture().withEndpoints(plain("p1"));
      for (int i = 0; i < 7; i++) {
        fixture.call("/c/");
      }
      fixture.now += Fixture.TARGET_MILLIS / 2;
      List<CallEffect> swept = fixture.decider.sweep(fixture.now);
      CallEffect.Reject reject = find(swept, CallEffect.Reject.class).orElseThrow();
      assertThat(reject.rejection()).isEqualTo(Rejection.OVERLOADED);
      assertThat(reject.retryAfterMillis()).isPositive();
    }

    @Test
    void reservesSlotsForCallsThatCanMeetTheTargetLatency() {
      Fixture fixture = new Fixture().withEndpoints(engine("a", "d1", 1));
      for (int i = 0; i < 10; i++) {
        fixture.call("/s/");
      }
      // A deadline one second shorter than usual indicates a retry, which has already missed its
      // target.
      assertThat(rejection(fixture.call("/s/", Fixture.TIMEOUT_MILLIS - 1_000)))
          .isEqualTo(Rejection.OVERLOADED);
      assertThat(find(fixture.call("/s/"), CallEffect.Dispatch.class)).isPresent();
    }
  }
}
