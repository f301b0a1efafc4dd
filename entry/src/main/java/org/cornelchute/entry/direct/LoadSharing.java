package org.cornelchute.entry.direct;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.cornelchute.core.message.ControlMessage.OpenCallsReport;
import org.cornelchute.core.message.Message;
import org.cornelchute.core.model.OpenCalls;
import org.cornelchute.net.frame.Datagrams;
import org.cornelchute.net.frame.MessageCodec;
import org.cornelchute.policy.forward.CallDecider;
import org.cornelchute.policy.util.RendezvousHash;

/**
 * Tells other entries which calls this one has open, and takes what they tell.
 *
 * <p>A report that is lost is made good by the next one; an entry of which none comes is estimated.
 * Where there are many entries each tells a few, so that the cost does not grow with their number.
 */
final class LoadSharing {

  private static final long REPORT_MILLIS = 100;

  /** Reports left out in a row while nothing changes. */
  private static final int UNCHANGED_REPORTS = 3;

  private static final int MAX_PEERS = 8;

  private final EventLoop loop;
  private final CallDecider decider;
  private final LongSupplier clock;
  private final String self;
  private final Datagrams datagrams;
  private List<String> addresses = List.of();
  private Set<OpenCalls> told = Set.of();
  private int unchanged;

  /**
   * Creates the exchange; {@link #start()} opens its socket.
   *
   * @param self name of this entry
   * @param address {@code ip:port} on which other entries reach it
   */
  LoadSharing(
      EventLoop loop,
      EventLoopGroup group,
      CallDecider decider,
      LongSupplier clock,
      String self,
      String address,
      MetricRegistry metrics) {
    this.loop = loop;
    this.decider = decider;
    this.clock = clock;
    this.self = self;
    int colon = address.lastIndexOf(':');
    this.datagrams =
        new Datagrams(
            address.substring(0, colon),
            Integer.parseInt(address.substring(colon + 1)),
            useNative -> group,
            new MessageCodec(),
            this::received,
            metrics);
  }

  void start() {
    datagrams.start();
    loop.scheduleWithFixedDelay(this::report, REPORT_MILLIS, REPORT_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Takes the addresses of all entries by name. */
  void peers(Map<String, String> addressByName) {
    Map<String, String> others = new HashMap<>(addressByName);
    others.remove(self);
    List<String> chosen = new ArrayList<>();
    for (String name : RendezvousHash.order(self, others.keySet())) {
      if (chosen.size() < MAX_PEERS && !others.get(name).isEmpty()) {
        chosen.add(others.get(name));
      }
    }
    addresses = List.copyOf(chosen);
  }

  private void report() {
    List<OpenCalls> open = decider.openCalls();
    Set<OpenCalls> now = new HashSet<>(open);
    if (addresses.isEmpty() || now.equals(told) && unchanged++ < UNCHANGED_REPORTS) {
      return;
    }
    unchanged = 0;
    told = now;
    OpenCallsReport report =
        new OpenCallsReport(self, decider.configAgeMillis(clock.getAsLong()), open);
    for (String a : addresses) {
      datagrams.send(a, report);
    }
  }

  private void received(String address, Message message) {
    if (message instanceof OpenCallsReport r && !r.from().equals(self)) {
      loop.execute(
          () ->
              decider.recordEntryReport(
                  clock.getAsLong(), r.from(), r.configurationAgeMillis(), r.openCalls()));
    }
  }
}
