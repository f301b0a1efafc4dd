package org.cornelchute.entry.direct;

import io.netty.channel.EventLoop;
import java.util.function.LongSupplier;
import org.cornelchute.net.wire.WireClient;

/** Opens the platform's views; implemented where the platform's formats are known. */
@FunctionalInterface
public interface ViewSource {

  /** Begins to feed the views; calls them on the event loop only. */
  void open(EventLoop loop, WireClient client, LongSupplier clock, ServingViews views);

  /** Asks at once whether what operators wrote is still as it is believed. */
  default void refresh() {}
}
