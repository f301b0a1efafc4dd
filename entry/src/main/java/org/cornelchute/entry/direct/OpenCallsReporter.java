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
import org.cornelchute.net.frame.DatagramTransport;
import org.cornelchute.net.frame.MessageCodec;
import org.cornelchute.policy.forward.CallDecider;
import org.cornelchute.policy.util.RendezvousHash;

/**
 * Tells other entries which calls this one has open, and takes what they tell.
 *
 * <p>A report that is lost is made good by the next one; an entry of which none comes is estimated.
 * Where there are many entries each tells a few, so that the cost does not grow with their number.
 */
final class OpenCallsReporter {

  private static final long REPORT_INTERVAL_MILLIS = 100;

  /** Reports left out in a row while nothing changes. */
  private static final int MAX_SKIPPED_REPORTS = 3;

  private static final int MAX_RECIPIENTS = 8;

  private final EventLoop loop;
  private final CallDecider decider;
  private final LongSupplier clockMillis;
  private final String self;
  private final DatagramTransport datagrams;
  private List<String> recipientAddresses = List.of();
  private Set<OpenCalls> lastReportedCalls = Set.of();
  private int skippedReports;

  /**
   * Creates the exchange; {@link #start()} opens its socket.
   *
   * @param self name of this entry
   * @param address {@code ip:port} on which other entries reach it
   */
  OpenCallsReporter(
      EventLoop loop,
      EventLoopGroup group,
      CallDecider decider,
      LongSupplier clock,
      String self,
      String address,
      MetricRegistry metrics) {
    this.loop = loop;
    this.decider = decider;
    this.clockMillis = clock;
    this.self = self;
    int colon = address.lastIndexOf(':');
    this.datagrams =
        new DatagramTransport(
            address.substring(0, colon),
            Integer.parseInt(address.substring(colon + 1)),
            useNative -> group,
            new MessageCodec(),
            this::onMessage,
            metrics);
  }

  void start() {
    datagrams.start();
    loop.scheduleWithFixedDelay(
        this::sendReports, REPORT_INTERVAL_MILLIS, REPORT_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Takes the addresses of all entries by name. */
  void updateEntries(Map<String, String> addressByName) {
    Map<String, String> others = new HashMap<>(addressByName);
    others.remove(self);
    List<String> chosen = new ArrayList<>();
    for (String name : RendezvousHash.order(self, others.keySet())) {
      if (chosen.size() < MAX_RECIPIENTS && !others.get(name).isEmpty()) {
        chosen.add(others.get(name));
      }
    }
    recipientAddresses = List.copyOf(chosen);
  }

  private void sendReports() {
    List<OpenCalls> open = decider.openCalls();
    Set<OpenCalls> now = new HashSet<>(open);
    if (recipientAddresses.isEmpty()
        || now.equals(lastReportedCalls) && skippedReports++ < MAX_SKIPPED_REPORTS) {
      return;
    }
    skippedReports = 0;
    lastReportedCalls = now;
    OpenCallsReport report =
        new OpenCallsReport(self, decider.configAgeMillis(clockMillis.getAsLong()), open);
    for (String a : recipientAddresses) {
      datagrams.send(a, report);
    }
  }

  private void onMessage(String address, Message message) {
    if (message instanceof OpenCallsReport r && !r.from().equals(self)) {
      loop.execute(
          () ->
              decider.recordEntryReport(
                  clockMillis.getAsLong(), r.from(), r.configurationAgeMillis(), r.openCalls()));
    }
  }
}
