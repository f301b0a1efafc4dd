package org.cornelchute.entry.direct;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.cornelchute.core.message.ControlMessage.CrashEvidenceReport;
import org.cornelchute.core.message.ControlMessage.EndpointLimitsReport;
import org.cornelchute.core.message.ControlMessage.EndpointSpeedsReport;
import org.cornelchute.core.message.ControlMessage.OpenCallsReport;
import org.cornelchute.core.message.Message;
import org.cornelchute.core.model.OpenCalls;
import org.cornelchute.net.frame.DatagramTransport;
import org.cornelchute.net.frame.MessageCodec;
import org.cornelchute.policy.crash.CrashEvidence;
import org.cornelchute.policy.forward.CallDecider;
import org.cornelchute.policy.forward.ReportRecipients;

/**
 * Reports the open calls of this entry, and what it knows of limits that endpoints name, of their
 * speed and of prompts that crash endpoints, to other entries and records their reports.
 *
 * <p>Reports are not acknowledged: a lost one is replaced by the next, and the load caused by an
 * entry that sends no reports is estimated. Each entry reports to a few others; see {@link
 * ReportRecipients}.
 */
final class OpenCallsReporter {

  private static final long REPORT_INTERVAL_MILLIS = 100;

  /** Consecutive reports that are skipped while the open calls do not change. */
  private static final int MAX_SKIPPED_REPORTS = 3;

  /**
   * Intervals between two summaries of the evidence on crashes, each to one recipient in turn, so
   * that an entry that has just started gets one within the time of a few reports.
   */
  private static final int SUMMARY_INTERVALS = 2;

  private final EventLoop loop;
  private final CallDecider decider;
  private final LongSupplier clockMillis;
  private final String self;
  private final String region;
  private final DatagramTransport datagrams;
  private List<String> recipientAddresses = List.of();
  private Set<OpenCalls> lastReportedCalls = Set.of();
  private int skippedReports;
  private int intervals;

  /**
   * Creates a reporter; {@link #start()} opens its socket.
   *
   * @param self name of this entry
   * @param region region of this entry
   * @param address {@code ip:port} at which this entry receives reports
   */
  OpenCallsReporter(
      EventLoop loop,
      EventLoopGroup group,
      CallDecider decider,
      LongSupplier clockMillis,
      String self,
      String region,
      String address,
      MetricRegistry metrics) {
    this.loop = loop;
    this.decider = decider;
    this.clockMillis = clockMillis;
    this.self = self;
    this.region = region;
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

  /** Updates the addresses of all entries by name and chooses those to report to. */
  void updateEntries(Map<String, EntryAddress> entryByName) {
    Map<String, String> regionByName = new HashMap<>();
    entryByName.forEach(
        (name, entry) -> {
          if (!entry.address().isEmpty()) {
            regionByName.put(name, entry.region());
          }
        });
    recipientAddresses =
        ReportRecipients.choose(self, region, regionByName).stream()
            .map(name -> entryByName.get(name).address())
            .toList();
  }

  private void sendReports() {
    if (recipientAddresses.isEmpty()) {
      return;
    }
    sendCrashEvidence(clockMillis.getAsLong());
    sendEndpointLimits(clockMillis.getAsLong());
    sendEndpointSpeeds(clockMillis.getAsLong());
    sendOpenCalls();
  }

  private void sendCrashEvidence(long now) {
    CrashEvidence evidence = decider.crashEvidence();
    CrashEvidenceReport report = evidence.takeReport(now);
    if (!report.isEmpty()) {
      recipientAddresses.forEach(address -> datagrams.send(address, report));
    }
    intervals++;
    if (intervals % SUMMARY_INTERVALS == 0) {
      CrashEvidenceReport summary = evidence.summary(now);
      if (!summary.isEmpty()) {
        int recipient = intervals / SUMMARY_INTERVALS % recipientAddresses.size();
        datagrams.send(recipientAddresses.get(recipient), summary);
      }
    }
  }

  private void sendEndpointLimits(long now) {
    EndpointLimitsReport report = decider.endpointLimits().takeReport(now);
    if (!report.limits().isEmpty()) {
      recipientAddresses.forEach(address -> datagrams.send(address, report));
    }
  }

  private void sendEndpointSpeeds(long now) {
    EndpointSpeedsReport report = decider.endpointSpeeds().takeReport(now);
    if (!report.speeds().isEmpty()) {
      recipientAddresses.forEach(address -> datagrams.send(address, report));
    }
  }

  private void sendOpenCalls() {
    List<OpenCalls> openCalls = decider.openCalls();
    Set<OpenCalls> currentCalls = new HashSet<>(openCalls);
    if (currentCalls.equals(lastReportedCalls) && skippedReports++ < MAX_SKIPPED_REPORTS) {
      return;
    }
    skippedReports = 0;
    lastReportedCalls = currentCalls;
    OpenCallsReport report =
        new OpenCallsReport(self, decider.configAgeMillis(clockMillis.getAsLong()), openCalls);
    for (String address : recipientAddresses) {
      datagrams.send(address, report);
    }
  }

  private void onMessage(String address, Message message) {
    if (message instanceof OpenCallsReport report && !report.from().equals(self)) {
      loop.execute(
          () ->
              decider.recordEntryReport(
                  clockMillis.getAsLong(),
                  report.from(),
                  report.configurationAgeMillis(),
                  report.openCalls()));
    } else if (message instanceof CrashEvidenceReport report) {
      loop.execute(() -> decider.crashEvidence().recordReport(clockMillis.getAsLong(), report));
    } else if (message instanceof EndpointLimitsReport report) {
      loop.execute(() -> decider.endpointLimits().recordReport(clockMillis.getAsLong(), report));
    } else if (message instanceof EndpointSpeedsReport report) {
      loop.execute(() -> decider.endpointSpeeds().recordReport(clockMillis.getAsLong(), report));
    }
  }
}
