package org.cornelchute.policy.forward;

import static org.assertj.core.api.Assertions.assertThat;
import static org.cornelchute.policy.forward.Fixture.dispatch;
import static org.cornelchute.policy.forward.Fixture.engine;
import static org.cornelchute.policy.forward.Fixture.find;
import static org.cornelchute.policy.forward.Fixture.head;
import static org.cornelchute.policy.forward.Fixture.notRun;
import static org.cornelchute.policy.forward.Fixture.plain;
import static org.cornelchute.policy.forward.Fixture.rejection;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** The life of a call that goes straight to an endpoint, one promise at a time. */
class CallDeciderTest {

  /** What is believed has an age. */
  @Nested
  class CachedState {

    @Test
    void rejectsAsNotReadyWithoutConfiguration() {
      Fixture f = new Fixture();
      assertThat(rejection(f.call("/s/"))).isEqualTo(Rejection.NOT_READY);
    }

    @Test
    void rejectsUnknownRouteOrKeyOnlyWithFreshConfiguration() {
      Fixture f = new Fixture().withEndpoints(plain("p1"));
      assertThat(rejection(f.call("/x/"))).isEqualTo(Rejection.UNKNOWN_ROUTE);
      assertThat(rejection(f.decider.onCall(f.now, f.callSpec("/c/", "other", 1_500))))
          .isEqualTo(Rejection.UNKNOWN_KEY);
      f.now += 2_400;
      assertThat(rejection(f.call("/x/"))).isEqualTo(Rejection.NOT_READY);
      assertThat(rejection(f.decider.onCall(f.now, f.callSpec("/c/", "other", 1_500))))
          .isEqualTo(Rejection.NOT_READY);
    }

    @Test
    void rejectsCallsWithKeysIfKeysAreStale() {
      Fixture f = new Fixture().withEndpoints(plain("p1"));
      f.now += 4_800;
      assertThat(rejection(f.call("/c/"))).isEqualTo(Rejection.NOT_READY);
      f.decider.recordConfirmation(f.now - 10);
      assertThat(find(f.call("/c/"), CallEffect.Dispatch.class)).isPresent();
    }

    private long retryAfterMillis(List<CallEffect> effects) {
      return find(effects, CallEffect.Reject.class).orElseThrow().retryAfterMillis();
    }

    @Test
    void divertsCallersIfOnlyThisEntryIsCutOffFromTheStore() {
      // Pattern: an entry is cut off from the store, alone or from the other entries too.
      Fixture f = new Fixture().withEndpoints(plain("p1"));
      f.now += 4_800;
      assertThat(retryAfterMillis(f.call("/c/"))).isLessThan(60);
      assertThat(f.decider.shouldDivertCalls(f.now)).isTrue();
      f.decider.recordEntryReport(f.now, "e2", 300, List.of());
      assertThat(retryAfterMillis(f.call("/c/"))).isLessThan(60);
      assertThat(f.decider.shouldDivertCalls(f.now)).isTrue();
    }

    @Test
    void delaysCallersIfAllEntriesAreCutOffFromTheStore() {
      // Pattern: the store is away for all.
      Fixture f = new Fixture().withEndpoints(plain("p1"));
      f.now += 4_800;
      f.decider.recordEntryReport(f.now, "e2", 4_790, List.of());
      f.decider.recordEntryReport(f.now, "e3", 4_900, List.of());
      assertThat(retryAfterMillis(f.call("/c/"))).isGreaterThan(1_000);
      assertThat(f.decider.shouldDivertCalls(f.now)).isFalse();
    }

    @Test
    void requiresConfirmationAfterSuspension() {
      Fixture f = new Fixture().withEndpoints(plain("p1"));
      f.decider.detectSuspension(f.now, 5_000_000);
      f.decider.recordConfirmation(f.now);
      f.now += 100;
      f.decider.detectSuspension(f.now, 5_006_100);
      assertThat(rejection(f.call("/c/"))).isEqualTo(Rejection.NOT_READY);
      // An answer to a question from before the suspension proves nothing.
      f.decider.recordConfirmation(f.now - 50);
      assertThat(rejection(f.call("/c/"))).isEqualTo(Rejection.NOT_READY);
      f.decider.recordConfirmation(f.now);
      assertThat(find(f.call("/c/"), CallEffect.Dispatch.class)).isPresent();
    }

    @Test
    void ignoresOlderConfiguration() {
      Fixture f = new Fixture().withEndpoints(plain("p1"));
      f.decider.updateConfig(Fixture.config(3, Map.of()));
      f.decider.updateConfig(
          Fixture.config(2, Map.of(Fixture.KEY, new WorkspaceSpec("w", 0, List.of()))));
      assertThat(f.decider.config().version()).isEqualTo(3);
      assertThat(rejection(f.call("/c/"))).isEqualTo(Rejection.UNKNOWN_KEY);
    }

    @Test
    void usesTheRouteWithTheLongestPrefix() {
      Fixture f = new Fixture().withEndpoints(plain("p1"), plain("p2"));
      CallEffect.Dispatch d = dispatch(f.call("/c/deep/er"));
      List<CallEffect> lost =
          f.decider.onAttemptFailure(f.now, d.call(), d.attempt(), true, "reset");
      assertThat(rejection(lost)).isEqualTo(Rejection.ANSWER_LOST);
    }
  }

  /** What may be sent again. */
  @Nested
  class Retries {

    @Test
    void retriesNonIdempotentCallOnlyIfNotExecuted() {
      Fixture f = new Fixture().withEndpoints(plain("p1"), plain("p2"));
      CallEffect.Dispatch d = dispatch(f.call("/o/"));
      List<CallEffect> again = f.decider.onResponseHead(f.now, d.call(), d.attempt(), notRun());
      CallEffect.Dispatch second = dispatch(again);
      assertThat(second.endpoint().id()).isNotEqualTo(d.endpoint().id());
      List<CallEffect> lost =
          f.decider.onAttemptFailure(f.now, d.call(), second.attempt(), true, "reset");
      assertThat(rejection(lost)).isEqualTo(Rejection.ANSWER_LOST);
      assertThat(rejection(lost).guaranteesNotExecuted()).isFalse();
    }

    @Test
    void doesNotReportNotExecutedIfAnAttemptMayHaveExecuted() {
      Fixture f = new Fixture().withEndpoints(plain("p1"), plain("p2"));
      CallEffect.Dispatch d = dispatch(f.call("/c/"));
      CallEffect.Dispatch second =
          dispatch(f.decider.onAttemptFailure(f.now, d.call(), d.attempt(), true, "reset"));
      List<CallEffect> end = f.decider.onResponseHead(f.now, d.call(), second.attempt(), notRun());
      assertThat(rejection(end).guaranteesNotExecuted()).isFalse();
    }

    @Test
    void reportsNotExecutedIfAllEndpointsRefused() {
      Fixture f = new Fixture().withEndpoints(plain("p1"), plain("p2"));
      CallEffect.Dispatch d = dispatch(f.call("/o/"));
      CallEffect.Dispatch second =
          dispatch(f.decider.onResponseHead(f.now, d.call(), d.attempt(), notRun()));
      assertThat(
              rejection(f.decider.onResponseHead(f.now, d.call(), second.attempt(), notRun()))
                  .guaranteesNotExecuted())
          .isTrue();
    }

    @Test
    void retriesIdempotentCallAfterServerError() {
      Fixture f = new Fixture().withEndpoints(plain("p1"), plain("p2"));
      CallEffect.Dispatch d = dispatch(f.call("/c/"));
      assertThat(
              find(
                  f.decider.onResponseHead(f.now, d.call(), 1, head(500)),
                  CallEffect.Dispatch.class))
          .isPresent();
      CallEffect.Dispatch o = dispatch(f.call("/o/"));
      assertThat(f.decider.onResponseHead(f.now, o.call(), 1, head(500))).isEmpty();
      assertThat(find(f.decider.onResponseEnd(f.now, o.call(), 1), CallEffect.Complete.class))
          .isPresent();
    }

    @Test
    void limitsRetriesToTheShareOfThisEntry() {
      RetryBudget budget = new RetryBudget(0.16, 80, 10_000);
      int repeats = 0;
      int calls = 200;
      for (int i = 0; i < calls; i++) {
        budget.recordCall(1_000 + i * 10, "plain");
        repeats += budget.trySpend(1_000 + i * 10, "plain", 4) ? 1 : 0;
      }
      assertThat(repeats).isBetween(10, (int) (0.16 * calls + 80 / 4.0));
      assertThat(budget.trySpend(3_100, "plain", 4)).isFalse();
      assertThat(budget.trySpend(14_100, "plain", 4)).isTrue();
    }

    @Test
    void treatsUnsignedSuccessAsLostResponse() {
      Fixture f = new Fixture().withEndpoints(plain("p1"), plain("p2"));
      CallEffect.Dispatch o = dispatch(f.call("/o/"));
      ResponseHead unsigned = new ResponseHead(200, false, false, false, 0, -1, 0);
      assertThat(rejection(f.decider.onResponseHead(f.now, o.call(), 1, unsigned)))
          .isEqualTo(Rejection.ANSWER_LOST);
      CallEffect.Dispatch c = dispatch(f.call("/c/"));
      assertThat(dispatch(f.decider.onResponseHead(f.now, c.call(), 1, unsigned)).attempt())
          .isEqualTo(2);
    }

    @Test
    void usesEndpointInBackoffIfThereIsNoOther() {
      Fixture f = new Fixture().withEndpoints(plain("p1"));
      CallEffect.Dispatch d = dispatch(f.call("/o/"));
      f.decider.onAttemptFailure(f.now, d.call(), 1, true, "reset");
      assertThat(dispatch(f.call("/c/")).endpoint().id()).isEqualTo("p1");
    }
  }

  /** Streams go on elsewhere without a gap, or end visibly. */
  @Nested
  class Streams {

    @Test
    void resumesOnTheSameVersionAfterTheLastDeliveredEvent() {
      Fixture f =
          new Fixture()
              .withEndpoints(engine("a", "d1", 2), engine("b", "d1", 2), engine("c", "d1", 3));
      CallEffect.Dispatch d = dispatch(f.call("/s/"));
      long version = d.endpoint().version();
      f.decider.onResponseHead(
          f.now, d.call(), 1, new ResponseHead(200, false, false, true, version, -1, 0));
      f.decider.onResponseProgress(f.now, d.call(), 1, 4);
      List<CallEffect> lost = f.decider.onAttemptFailure(f.now, d.call(), 1, true, "reset");
      if (version == 3) {
        assertThat(find(lost, CallEffect.AbortResponse.class)).isPresent();
        return;
      }
      CallEffect.Dispatch second = dispatch(lost);
      assertThat(second.resumeAfterEventId()).isEqualTo(4);
      assertThat(second.expectedVersion()).isEqualTo(version);
      assertThat(second.endpoint().version()).isEqualTo(version);
    }

    @Test
    void retriesStalledStreamOnAnotherEndpoint() {
      Fixture f = new Fixture().withEndpoints(engine("a", "d1", 1), engine("b", "d1", 1));
      CallEffect.Dispatch d = dispatch(f.call("/s/"));
      f.now += 1_000;
      CallEffect.Dispatch second = dispatch(f.decider.sweep(f.now));
      assertThat(second.endpoint().id()).isNotEqualTo(d.endpoint().id());
    }

    @Test
    void rejectsCallsAtTheirDeadline() {
      Fixture f = new Fixture().withEndpoints(plain("p1"));
      CallEffect.Dispatch d = dispatch(f.call("/o/"));
      f.now += Fixture.TIMEOUT_MILLIS;
      List<CallEffect> ended = f.decider.sweep(f.now);
      assertThat(rejection(ended)).isEqualTo(Rejection.EXPIRED_SENT);
      assertThat(find(ended, CallEffect.CancelAttempt.class).orElseThrow().attempt())
          .isEqualTo(d.attempt());
    }
  }

  /** Where a call may go. */
  @Nested
  class EndpointSelection {

    @Test
    void avoidsDrainingEvacuatedAndUnloadedEndpoints() {
      EndpointSpec draining =
          new EndpointSpec("x", "engines", "10.0.0.1:80", "d1", "r1", 16, true, 0, 1, "m", 1);
      Fixture f = new Fixture().withEndpoints(draining, engine("y", "d2", 1), engine("z", "d1", 0));
      f.decider.updateEvacuatedDomains(Set.of("d2"));
      assertThat(rejection(f.call("/s/"))).isEqualTo(Rejection.NO_ENDPOINT);
      f.decider.updateEvacuatedDomains(Set.of());
      assertThat(dispatch(f.call("/s/")).endpoint().id()).isEqualTo("y");
    }

    @Test
    void requiresPublishedVersionAfterGracePeriod() {
      Fixture f = new Fixture().withEndpoints(engine("a", "d1", 1));
      f.decider.recordVersion(f.now, "m", 2);
      assertThat(dispatch(f.call("/s/")).expectedVersion()).isZero();
      f.now += 7_000;
      f.decider.recordConfirmation(f.now);
      assertThat(rejection(f.call("/s/"))).isEqualTo(Rejection.NO_ENDPOINT);
      f.decider.updateEndpoints(f.now, List.of(engine("a", "d1", 2)));
      assertThat(dispatch(f.call("/s/")).expectedVersion()).isEqualTo(2);
    }

    @Test
    void cancelsCallsThatDidNotStartBeforeTheVersionCutoff() {
      Fixture f = new Fixture().withEndpoints(engine("a", "d1", 1), engine("b", "d1", 2));
      f.decider.updateEvacuatedDomains(Set.of());
      f.decider.recordVersion(f.now, "m", 2);
      f.now += 6_900;
      f.decider.recordConfirmation(f.now);
      CallEffect.Dispatch old = dispatch(f.call("/s/"));
      while (!old.endpoint().id().equals("a")) {
        old = dispatch(f.call("/s/"));
      }
      f.now += 700;
      List<CallEffect> swept = f.decider.sweep(f.now);
      assertThat(find(swept, CallEffect.CancelAttempt.class).orElseThrow().call())
          .isEqualTo(old.call());
      assertThat(dispatch(swept).endpoint().id()).isEqualTo("b");
    }

    @Test
    void countsGracePeriodFromTheEarliestSighting() {
      Fixture f = new Fixture().withEndpoints(engine("a", "d1", 1));
      f.decider.recordVersion(f.now, "m", 2);
      assertThat(find(f.call("/s/"), CallEffect.Dispatch.class)).isPresent();
      f.decider.recordVersion(f.now - 7_000, "m", 2);
      assertThat(rejection(f.call("/s/"))).isEqualTo(Rejection.NO_ENDPOINT);
    }

    @Test
    void requiresVersionOfUnknownAgeAfterShortDelay() {
      Fixture f = new Fixture().withEndpoints(engine("a", "d1", 1));
      f.decider.recordVersionOfUnknownAge(f.now, "m", 2);
      assertThat(find(f.call("/s/"), CallEffect.Dispatch.class)).isPresent();
      f.now += 2_000;
      f.decider.recordConfirmation(f.now);
      assertThat(rejection(f.call("/s/"))).isEqualTo(Rejection.NO_ENDPOINT);
    }

    @Test
    void avoidsEnginesThatSwitchWeights() {
      Fixture f = new Fixture().withEndpoints(engine("a", "d1", 1));
      f.decider.updateWeightsSwitches(f.now, Map.of("10.0.0.1", new WeightsSwitch(1, 2, 1)));
      assertThat(rejection(f.call("/s/"))).isEqualTo(Rejection.NO_ENDPOINT);
      f.decider.updateEndpoints(f.now, List.of(engine("a", "d1", 2)));
      assertThat(find(f.call("/s/"), CallEffect.Dispatch.class)).isPresent();
    }

    @Test
    void usesEngineOnceItsAgentReportsLoadedWeights() {
      Fixture f = new Fixture().withEndpoints(engine("a", "d1", 0));
      // Said of an earlier incarnation it means nothing.
      f.decider.updateWeightsSwitches(f.now, Map.of("10.0.0.1", new WeightsSwitch(9, 2, 2)));
      assertThat(rejection(f.call("/s/"))).isEqualTo(Rejection.NO_ENDPOINT);
      f.decider.updateWeightsSwitches(f.now, Map.of("10.0.0.1", new WeightsSwitch(1, 2, 2)));
      assertThat(find(f.call("/s/"), CallEffect.Dispatch.class)).isPresent();
      // The entry in the directory lags behind: a sight from before changes nothing.
      f.decider.updateEndpoints(f.now + 300, List.of(engine("a", "d1", 1)));
      f.decider.recordVersionOfUnknownAge(f.now - 10_000, "m", 2);
      assertThat(find(f.call("/s/"), CallEffect.Dispatch.class)).isPresent();
    }

    @Test
    void limitsCallsToColdEndpointsToTheShareOfThisEntry() {
      EndpointSpec cold =
          new EndpointSpec("x", "engines", "10.0.0.1:80", "d1", "r1", 99, false, 3_000, 1, "m", 1);
      Fixture f = new Fixture();
      f.decider.updateEntries(List.of("e1", "e2", "e3", "e4", "e5", "e6"));
      f.withEndpoints(cold);
      int sent = 0;
      for (int i = 0; i < 30; i++) {
        sent += find(f.call("/s/"), CallEffect.Dispatch.class).isPresent() ? 1 : 0;
      }
      assertThat(sent * 6).isLessThanOrEqualTo((int) (26 * 1.5 + 5));
      assertThat(sent).isPositive();
    }

    @Test
    void keepsEndpointsWhoseRegistrationsExpiredInAnOutage() {
      Fixture f = new Fixture().withEndpoints(engine("a", "d1", 1), plain("p1"));
      f.decider.onDirectoryRecovered(f.now);
      f.decider.updateEndpoints(f.now, List.of());
      assertThat(find(f.call("/s/"), CallEffect.Dispatch.class)).isPresent();
      f.now += 1_900;
      f.decider.sweep(f.now);
      f.decider.recordConfirmation(f.now);
      assertThat(rejection(f.call("/s/"))).isEqualTo(Rejection.NO_ENDPOINT);
    }

    @Test
    void retriesOnAnotherEndpointAfterInstanceMismatch() {
      Fixture f = new Fixture().withEndpoints(plain("p1"), plain("p2"));
      CallEffect.Dispatch d = dispatch(f.call("/o/"));
      ResponseHead other = new ResponseHead(421, false, true, false, 0, -1, 0);
      CallEffect.Dispatch second =
          dispatch(f.decider.onResponseHead(f.now, d.call(), d.attempt(), other));
      assertThat(second.endpoint().id()).isNotEqualTo(d.endpoint().id());
    }

    @Test
    void removesUnlistedEndpointImmediatelyWithoutOutage() {
      Fixture f = new Fixture().withEndpoints(engine("a", "d1", 1), engine("b", "d1", 1));
      f.decider.updateEndpoints(f.now, List.of(engine("b", "d1", 1)));
      assertThat(dispatch(f.call("/s/")).endpoint().id()).isEqualTo("b");
    }
  }

  /** Bursts: more calls come than endpoints have places. */
  @Nested
  class Overload {

    @Test
    void queuesNewCallsUntilSlotIsFree() {
      Fixture f = new Fixture().withEndpoints(plain("p1"));
      CallEffect.Dispatch first = null;
      for (int i = 0; i < 6; i++) {
        first = dispatch(f.call("/c/"));
      }
      List<CallEffect> waits = f.call("/c/");
      assertThat(waits).isEmpty();
      f.now += 100;
      List<CallEffect> freed = f.decider.onResponseEnd(f.now, first.call(), 1);
      assertThat(dispatch(freed).call()).isEqualTo(f.lastNumber());
    }

    @Test
    void doesNotOverloadNewEndpointsFromSeveralEntries() {
      // Pattern: engines come back from a change of weights one by one, and all entries see it.
      Fixture f = new Fixture().withEndpoints(engine("a", "d1", 1));
      f.decider.updateEntries(List.of("e1", "e2", "e3", "e4", "e5", "e6"));
      int sent = 0;
      for (int i = 0; i < 16; i++) {
        sent += find(f.call("/s/"), CallEffect.Dispatch.class).isPresent() ? 1 : 0;
      }
      assertThat(6 * sent).isBetween(12, 32);
    }

    @Test
    void usesEndpointToCapacityOnceItsLoadIsSampled() {
      Fixture f = new Fixture().withEndpoints(engine("a", "d1", 1));
      f.decider.updateEntries(List.of("e1", "e2", "e3", "e4", "e5", "e6"));
      CallEffect.Dispatch d = dispatch(f.call("/s/"));
      f.decider.onResponseHead(
          f.now, d.call(), 1, new ResponseHead(200, false, false, true, 1, 1, 0));
      int sent = 1;
      for (int i = 0; i < 16; i++) {
        sent += find(f.call("/s/"), CallEffect.Dispatch.class).isPresent() ? 1 : 0;
      }
      assertThat(sent).isBetween(6, 12);
    }

    @Test
    void rejectsQueuedCallsBeforeTheyMissTheTargetLatency() {
      Fixture f = new Fixture().withEndpoints(plain("p1"));
      for (int i = 0; i < 7; i++) {
        f.call("/c/");
      }
      f.now += Fixture.TARGET_MILLIS / 2;
      List<CallEffect> swept = f.decider.sweep(f.now);
      CallEffect.Reject r = find(swept, CallEffect.Reject.class).orElseThrow();
      assertThat(r.rejection()).isEqualTo(Rejection.OVERLOADED);
      assertThat(r.retryAfterMillis()).isPositive();
    }

    @Test
    void reservesSlotsForCallsThatCanMeetTheTargetLatency() {
      Fixture f = new Fixture().withEndpoints(engine("a", "d1", 1));
      for (int i = 0; i < 10; i++) {
        f.call("/s/");
      }
      // A caller that waits a second less than usual asks for the second time: it is late already.
      assertThat(rejection(f.call("/s/", Fixture.TIMEOUT_MILLIS - 1_000)))
          .isEqualTo(Rejection.OVERLOADED);
      assertThat(find(f.call("/s/"), CallEffect.Dispatch.class)).isPresent();
    }
  }
}
