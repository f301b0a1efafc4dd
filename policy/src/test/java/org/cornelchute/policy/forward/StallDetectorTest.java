package org.cornelchute.policy.forward;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** What a process reads after it stood still may be old. */
class StallDetectorTest {

  private final StallDetector watch = new StallDetector();

  @Test
  void isNotBehindWhileTheProcessRuns() {
    for (long t = 1_000; t < 3_000; t += 60) {
      watch.observe(t, 1_700_000_000_000L + t);
      assertThat(watch.isProcessingBacklog(t)).isFalse();
    }
  }

  @Test
  void isBehindForSomeTimeAfterItsLoopWasHeldUp() {
    watch.observe(1_000, 5_000_000);
    watch.observe(1_700, 5_000_700);
    assertThat(watch.isProcessingBacklog(1_700)).isTrue();
    assertThat(watch.isProcessingBacklog(1_800)).isTrue();
    watch.observe(1_860, 5_000_860);
    assertThat(watch.isProcessingBacklog(1_860)).isFalse();
  }

  @Test
  void isBehindAfterTheMachineWasSuspended() {
    // The steady clock stood still, the time of day went on.
    watch.observe(1_000, 5_000_000);
    watch.observe(1_050, 5_004_050);
    assertThat(watch.isProcessingBacklog(1_050)).isTrue();
  }
}
