package org.cornelchute.policy.forward;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Data that a process reads after a stall may be outdated. */
class StallDetectorTest {

  private final StallDetector detector = new StallDetector();

  @Test
  void reportsNoBacklogWithoutStall() {
    for (long t = 1_000; t < 3_000; t += 60) {
      detector.observe(t, 1_700_000_000_000L + t);
      assertThat(detector.isProcessingBacklog(t)).isFalse();
    }
  }

  @Test
  void reportsBacklogTemporarilyAfterEventLoopStall() {
    detector.observe(1_000, 5_000_000);
    detector.observe(1_700, 5_000_700);
    assertThat(detector.isProcessingBacklog(1_700)).isTrue();
    assertThat(detector.isProcessingBacklog(1_800)).isTrue();
    detector.observe(1_860, 5_000_860);
    assertThat(detector.isProcessingBacklog(1_860)).isFalse();
  }

  @Test
  void reportsBacklogAfterTheVmWasSuspended() {
    // The monotonic clock did not advance, the wall clock did.
    detector.observe(1_000, 5_000_000);
    detector.observe(1_050, 5_004_050);
    assertThat(detector.isProcessingBacklog(1_050)).isTrue();
  }
}
