package org.cornelchute.policy.crash;

import java.util.List;

/**
 * A part of a prompt that may crash endpoints.
 *
 * @param part id of the part
 * @param servedBefore whether a call with the part is known to have been served at any time; such a
 *     part is most likely one of many calls, some of which run at each endpoint that crashes
 * @param crashCount number of crashes that only this part explains; those at the same time count as
 *     one, since they may have one other cause
 * @param lastCrashAt time of the latest of these crashes
 * @param crashes these crashes, in the order of their time
 */
record Suspect(
    long part, boolean servedBefore, int crashCount, long lastCrashAt, List<Crash> crashes) {

  /** Crashes from which on a call is not sent again after a response that broke off. */
  private static final int MIN_CRASHES_TO_SUSPECT = 2;

  private static final int MIN_CRASHES_TO_SUSPECT_SERVED = 3;

  /** Crashes from which on calls with the part are rejected. */
  private static final int MIN_CRASHES_TO_BLOCK = 3;

  private static final int MIN_CRASHES_TO_BLOCK_SERVED = 5;

  boolean isSuspect() {
    return crashCount >= (servedBefore ? MIN_CRASHES_TO_SUSPECT_SERVED : MIN_CRASHES_TO_SUSPECT);
  }

  boolean isBlocked() {
    return crashCount >= (servedBefore ? MIN_CRASHES_TO_BLOCK_SERVED : MIN_CRASHES_TO_BLOCK);
  }
}
