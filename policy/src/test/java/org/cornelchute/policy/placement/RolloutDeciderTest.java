package org.cornelchute.policy.placement;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import org.cornelchute.core.model.Generation;
import org.cornelchute.core.outcome.Failure;
import org.cornelchute.policy.weights.Manifest;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RolloutDeciderTest {

  private static final Manifest V1 = Manifest.of("m", "v1", new byte[] {1, 2, 3}, 2);
  private static final Manifest V2 = Manifest.of("m", "v2", new byte[] {4, 5, 6}, 2);

  private final RolloutDecider decider = new RolloutDecider("agent");

  private static EngineState engineState(String incarnation, String manifest, long fencingNumber) {
    return new EngineState(incarnation, manifest.isEmpty() ? "" : "m", manifest, fencingNumber, 0);
  }

  private void assign(Manifest manifest) {
    decider.onAssignment(0, Optional.of(new Assignment("m", manifest.version(), 0, 1)), 1);
    decider.onManifestRead(1, "m", manifest.version(), Either.right(manifest));
  }

  private List<RolloutEffect> load(Manifest manifest, EngineState readBack) {
    decider.onFetchComplete(2, manifest.digest());
    decider.tick(3, true, true);
    assertThat(decider.tick(4, true, true)).contains(new RolloutEffect.LoadVersion(manifest));
    return decider.onLoadResult(5, manifest.digest(), 5, Either.right(readBack));
  }

  private boolean isOpen() {
    return !decider.openGeneration().equals(Generation.NONE);
  }

  @Nested
  class OpensOnlyForConfirmedGeneration {

    @Test
    void afterEngineStateIsReadBack() {
      decider.onEngineState(0, 0, Optional.of(engineState("b", "", 0)));
      assign(V1);
      assertThat(isOpen()).isFalse();
      load(V1, engineState("b", V1.digest(), 7));
      assertThat(decider.openGeneration()).isEqualTo(new Generation("m", V1.digest(), 7));
    }

    @Test
    void notIfEngineThatIgnoresFencingNumbersHoldsAnotherVersion() {
      decider.onEngineState(0, 0, Optional.of(engineState("b", "", 0)));
      assign(V1);
      load(V1, engineState("b", V2.digest(), 7));
      assertThat(isOpen()).isFalse();
    }

    @Test
    void onlyAfterNextReportIfLoadResponseIsLost() {
      decider.onEngineState(0, 0, Optional.of(engineState("b", "", 0)));
      assign(V1);
      decider.onFetchComplete(2, V1.digest());
      decider.tick(3, true, true);
      decider.tick(4, true, true);
      decider.onLoadResult(5, V1.digest(), 5, Either.left(Failure.unknown("timeout")));
      assertThat(isOpen()).isFalse();
      // The next status report of the engine confirms the load.
      decider.onEngineState(6, 6, Optional.of(engineState("b", V1.digest(), 7)));
      assertThat(isOpen()).isTrue();
    }

    @Test
    void notForVersionReplacedDuringFetch() {
      decider.onEngineState(0, 0, Optional.of(engineState("b", "", 0)));
      assign(V1);
      assign(V2);
      decider.onFetchComplete(2, V1.digest());
      assertThat(decider.tick(3, true, true))
          .noneMatch(e -> e instanceof RolloutEffect.LoadVersion);
    }
  }

  @Nested
  class Closes {

    private void serveV1() {
      decider.onEngineState(0, 0, Optional.of(engineState("b", "", 0)));
      assign(V1);
      load(V1, engineState("b", V1.digest(), 7));
    }

    @Test
    void whenEngineRestartsWithoutWeights() {
      serveV1();
      assertThat(decider.onEngineState(9, 9, Optional.of(engineState("c", "", 0))))
          .contains(new RolloutEffect.CloseEndpoint());
    }

    @Test
    void whenEngineReportsHigherFencingNumber() {
      serveV1();
      assertThat(decider.onEngineState(9, 9, Optional.of(engineState("b", V1.digest(), 8))))
          .contains(new RolloutEffect.CloseEndpoint());
    }

    @Test
    void notOnReportOlderThanLoad() {
      serveV1();
      decider.onEngineState(9, 9, Optional.of(engineState("b", "", 3)));
      assertThat(isOpen()).isTrue();
    }

    @Test
    void onlyWhenNewVersionIsHeldAndSwitchIsPermitted() {
      serveV1();
      assign(V2);
      decider.tick(10, true, true);
      assertThat(isOpen()).isTrue();
      decider.onFetchComplete(11, V2.digest());
      decider.tick(12, false, false);
      assertThat(isOpen()).isTrue();
      assertThat(decider.tick(13, false, true)).contains(new RolloutEffect.CloseEndpoint());
      // The engine is instructed to load only after the requests in flight have completed.
      assertThat(decider.tick(14, false, true)).isEmpty();
      assertThat(decider.tick(15, true, true)).contains(new RolloutEffect.LoadVersion(V2));
    }
  }

  /** A load that was sent may take effect at any time until its result is known. */
  @Nested
  class WhileLoadIsInFlight {

    private void serveV1AndStartLoadOfV2() {
      decider.onEngineState(0, 0, Optional.of(engineState("b", "", 0)));
      assign(V1);
      load(V1, engineState("b", V1.digest(), 7));
      assign(V2);
      decider.onFetchComplete(6, V2.digest());
      decider.tick(7, true, true);
      assertThat(decider.tick(8, true, true)).contains(new RolloutEffect.LoadVersion(V2));
    }

    @Test
    void staysClosedThoughEngineStillReportsPreviousVersion() {
      serveV1AndStartLoadOfV2();
      assign(V1);
      decider.onFetchComplete(9, V1.digest());
      decider.onEngineState(10, 10, Optional.of(engineState("b", V1.digest(), 7)));
      assertThat(isOpen()).isFalse();
      decider.onLoadResult(11, V2.digest(), 11, Either.right(engineState("b", V2.digest(), 8)));
      assertThat(isOpen()).isFalse();
    }

    @Test
    void opensForPreviousVersionOnceLoadHasFailed() {
      serveV1AndStartLoadOfV2();
      assign(V1);
      decider.onLoadResult(11, V2.digest(), 11, Either.left(Failure.unavailable("refused")));
      decider.onEngineState(12, 12, Optional.of(engineState("b", V1.digest(), 7)));
      assertThat(isOpen()).isTrue();
    }

    @Test
    void startsNoSecondLoad() {
      serveV1AndStartLoadOfV2();
      decider.onEngineState(9, 9, Optional.of(engineState("b", "", 8)));
      assign(V1);
      decider.onFetchComplete(10, V1.digest());
      for (long now = 11; now < 3_000; now += 50) {
        assertThat(decider.tick(now, true, true))
            .noneMatch(e -> e instanceof RolloutEffect.LoadVersion);
      }
      decider.onLoadResult(
          3_000, V2.digest(), 3_000, Either.right(engineState("b", V2.digest(), 8)));
      assertThat(decider.tick(3_050, true, true)).contains(new RolloutEffect.LoadVersion(V1));
    }

    @Test
    void sendsLoadWithFencingNumberOnlyIfVersionIsStillAssigned() {
      serveV1AndStartLoadOfV2();
      assertThat(decider.onFencingNumber(9, V2, 8))
          .containsExactly(new RolloutEffect.SendLoad(V2, 8));
      decider.onAssignment(10, Optional.of(new Assignment("m", "v1", 0, 1)), 2);
      assertThat(decider.onFencingNumber(11, V2, 9))
          .noneMatch(e -> e instanceof RolloutEffect.SendLoad);
    }

    @Test
    void opensForPreviousVersionIfLoadWasNotSent() {
      serveV1AndStartLoadOfV2();
      assign(V1);
      decider.onFencingNumber(10, V2, 8);
      decider.onEngineState(12, 12, Optional.of(engineState("b", V1.digest(), 7)));
      assertThat(isOpen()).isTrue();
    }
  }

  /** Responses to status requests overtake each other, and wait while the agent is stopped. */
  @Nested
  class WithOldReports {

    @Test
    void staysClosedOnReportOfIncarnationBeforeTheLastReportedOne() {
      decider.onEngineState(0, 0, Optional.of(engineState("b", "", 0)));
      assign(V1);
      load(V1, engineState("b", V1.digest(), 7));
      decider.onEngineState(1_400, 1_400, Optional.of(engineState("c", "", 0)));
      assertThat(isOpen()).isFalse();
      // Requested before the restart, received after the report on it.
      decider.onEngineState(1_500, 1_200, Optional.of(engineState("b", V1.digest(), 7)));
      assertThat(isOpen()).isFalse();
    }

    @Test
    void staysClosedOnStateReadBackBeforeTheLastReport() {
      decider.onEngineState(0, 0, Optional.of(engineState("b", "", 0)));
      assign(V1);
      decider.onFetchComplete(2, V1.digest());
      decider.tick(3, true, true);
      decider.tick(4, true, true);
      decider.onEngineState(1_400, 1_400, Optional.of(engineState("c", "", 0)));
      // Read back before the restart, received after the report on it.
      decider.onLoadResult(
          1_500, V1.digest(), 1_200, Either.right(engineState("b", V1.digest(), 7)));
      assertThat(isOpen()).isFalse();
    }

    @Test
    void staysClosedOnReportThatWaitedWhileTheAgentStoodStill() {
      assign(V1);
      decider.onEngineState(6_000, 900, Optional.of(engineState("b", V1.digest(), 7)));
      assertThat(isOpen()).isFalse();
    }
  }
}
