package org.cornelchute.entry.direct;

import io.netty.channel.EventLoop;
import java.util.function.LongSupplier;
import org.cornelchute.net.wire.WireClient;

/** Reads the serving state from the platform; implemented by the module that knows its formats. */
@FunctionalInterface
public interface ServingStateSource {

  /** Starts to read the serving state; calls the listener on the event loop only. */
  void start(EventLoop loop, WireClient client, LongSupplier clock, ServingStateListener listener);

  /**
   * Returns how often the store was restored from an older copy while this process ran; called on
   * any thread.
   */
  default long storeEpochChanges() {
    return 0;
  }

  /** Requests an immediate confirmation that the cached state still matches the store. */
  default void refresh() {}

  /**
   * Keeps a part of prompts for entries that start later; ignored by sources that keep nothing.
   *
   * @param crashCount number of crashes that block the part, 0 if it was cleared
   */
  default void storeBlockedPart(long part, int crashCount) {}
}
