package org.cornelchute.policy.forward;

import static org.assertj.core.api.Assertions.assertThat;
import static org.cornelchute.policy.forward.Fixture.dispatch;
import static org.cornelchute.policy.forward.Fixture.engine;
import static org.cornelchute.policy.forward.Fixture.find;
import static org.cornelchute.policy.forward.Fixture.head;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A stream that was resumed once and whose second endpoint is silent, so that it has a backup. */
class BackupAttemptTest {

  private static final int MAX_ATTEMPTS = 3;
  private static final long SILENCE_MILLIS = 950;
  private static final ResponseHead STREAM_HEAD =
      new ResponseHead(200, false, false, true, false, 1, -1, 0, NamedLimit.NONE);

  private final Fixture fixture =
      new Fixture().withEndpoints(engine("a", "d1", 1), engine("b", "d1", 1), engine("c", "d1", 1));

  /** Starts a stream that breaks off and returns the dispatch of its second attempt. */
  private CallEffect.Dispatch resume() {
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
            MAX_ATTEMPTS,
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
    fixture.decider.recordFirstStart();
    fixture.decider.updateEntries(List.of("e1"));
    CallEffect.Dispatch first = dispatch(fixture.call("/s/"));
    fixture.decider.onResponseHead(fixture.now, first.call(), first.attempt(), STREAM_HEAD);
    fixture.decider.onResponseProgress(fixture.now, first.call(), first.attempt(), 3);
    return dispatch(
        fixture.decider.onAttemptFailure(
            fixture.now, first.call(), first.attempt(), true, "reset"));
  }

  private CallEffect.Dispatch startBackup() {
    fixture.now += SILENCE_MILLIS;
    fixture.decider.recordConfirmation(fixture.now);
    CallEffect.Dispatch backup = dispatch(fixture.decider.sweep(fixture.now));
    assertThat(backup.backup()).isTrue();
    return backup;
  }

  /**
   * Failure: a stream was broken off because its second endpoint answered the resumption with an
   * error, although a sound third one already worked on it.
   */
  @ParameterizedTest
  @ValueSource(ints = {404, 500})
  void goesOnWithTheBackupIfTheResumptionFails(int status) {
    CallEffect.Dispatch second = resume();
    CallEffect.Dispatch backup = startBackup();
    List<CallEffect> effects =
        fixture.decider.onResponseHead(fixture.now, second.call(), second.attempt(), head(status));
    assertThat(find(effects, CallEffect.AbortResponse.class)).isEmpty();
    fixture.decider.onResponseHead(fixture.now, backup.call(), backup.attempt(), STREAM_HEAD);
    fixture.decider.onResponseProgress(fixture.now, backup.call(), backup.attempt(), 4);
    assertThat(
            find(
                fixture.decider.onResponseEnd(fixture.now, backup.call(), backup.attempt()),
                CallEffect.Complete.class))
        .isPresent();
  }

  /** Failure: an endpoint counted an open call for good after the call had ended as above. */
  @Test
  void countsNoOpenCallsAfterTheResumptionFailed() {
    CallEffect.Dispatch second = resume();
    startBackup();
    fixture.decider.onResponseHead(fixture.now, second.call(), second.attempt(), head(500));
    fixture.decider.onCallerDisconnect(fixture.now, second.call());
    assertThat(fixture.decider.openCallCount()).isZero();
    assertThat(fixture.decider.openCalls()).isEmpty();
  }
}
