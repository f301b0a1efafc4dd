package org.cornelchute.net.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Follows the epoch of a store, which rises each time the store is restored from an older copy.
 *
 * <p>Versions go back at a restore and are given out again, so that a version read in one epoch
 * says nothing in another. Must be used on the event loop only, except for the number of changes.
 */
public final class EpochTracker {

  /** Epoch of a response that states none, and of a process that has not read one yet. */
  public static final long UNKNOWN = -1;

  /** Time over which the processes spread their reads after a change. */
  public static final int REREAD_SPREAD_MILLIS = 300;

  private static final Logger LOG = LoggerFactory.getLogger(EpochTracker.class);

  private final List<Listener> listeners = new ArrayList<>();
  private long current = UNKNOWN;
  private long baseline = Long.MAX_VALUE;
  private final AtomicLong changes = new AtomicLong();
  private boolean acceptedWithoutEpoch;

  /** Adds a listener of the changes of the epoch. */
  public void addListener(Listener listener) {
    listeners.add(listener);
  }

  /** Returns the highest epoch seen, {@link #UNKNOWN} if none was. */
  public long current() {
    return current;
  }

  /** Returns the number of changes seen, on any thread; the first epoch that is seen is none. */
  public long changes() {
    return changes.get();
  }

  /**
   * Returns the lowest version that the store stated in the current epoch, {@link Long#MAX_VALUE}
   * if it stated none. A row of a higher version was written in this epoch.
   */
  public long baseline() {
    return baseline;
  }

  /** Records a version of the store that a response of the current epoch stated. */
  public void recordVersion(long version) {
    baseline = Math.min(baseline, version);
  }

  /**
   * Handles the epoch of a response, and notifies the listeners if it is a new one.
   *
   * <p>A response without an epoch counts as one of the epoch in which its request was sent.
   *
   * @param requestEpoch value of {@link #current()} when the request was sent
   * @param responseEpoch epoch that the response states, {@link #UNKNOWN} if it states none
   * @return whether the response belongs to the current epoch; any other must be dropped
   */
  public boolean accept(long requestEpoch, long responseEpoch) {
    if (responseEpoch == UNKNOWN) {
      acceptedWithoutEpoch |= current == UNKNOWN;
      return requestEpoch == current;
    }
    if (responseEpoch > current) {
      // Versions of responses that stated no epoch may belong to an earlier one.
      boolean changed = current != UNKNOWN || acceptedWithoutEpoch;
      long previous = current;
      current = responseEpoch;
      baseline = Long.MAX_VALUE;
      if (changed) {
        handleChange(previous);
      }
    }
    return responseEpoch == current;
  }

  private void handleChange(long previous) {
    LOG.warn(
        "store restored from an older copy, reading all tables again epoch={} previous={}"
            + " changes={}",
        current,
        previous,
        changes.incrementAndGet());
    List.copyOf(listeners).forEach(listener -> listener.onEpochChanged(current));
  }

  /** Returns a delay in milliseconds for a read after a change of the epoch. */
  public static long drawRereadDelay(Random random) {
    return random.nextInt(REREAD_SPREAD_MILLIS + 1);
  }

  /** Receives the changes of the epoch, on the event loop, before the response that shows them. */
  @FunctionalInterface
  public interface Listener {

    /** Handles a new epoch, which may be higher by more than one. */
    void onEpochChanged(long epoch);
  }
}
