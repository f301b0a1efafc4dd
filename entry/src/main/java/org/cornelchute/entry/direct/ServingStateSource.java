package org.cornelchute.entry.direct;

import io.netty.channel.EventLoop;
import java.util.function.LongSupplier;
import org.cornelchute.net.wire.WireClient;

/** Opens the platform's views; implemented where the platform's formats are known. */
@FunctionalInterface
public interface ServingStateSource {

  /** Begins to feed the views; calls them on the event loop only. */
  void start(EventLoop loop, WireClient client, LongSupplier clock, ServingStateListener views);

  /** Asks at once whether what operators wrote is still as it is believed. */
  default void refresh() {}
}
