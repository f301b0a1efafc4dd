package org.cornelchute.standin.bench;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.UUID;
import org.cornelchute.net.platform.ConfigurationRecord;
import org.cornelchute.net.platform.TableClient;
import org.cornelchute.net.platform.TableRow;
import org.cornelchute.net.platform.TableWrite;
import org.cornelchute.standin.harness.ChildProcess;
import org.cornelchute.standin.harness.Fleet;
import org.cornelchute.standin.harness.Http;

/**
 * Measures the time from the acceptance of a rules change until every daemon applies it, and counts
 * daemons that revert to an older version.
 */
final class ConfigBench implements Bench {

  private static final int CHANGE_COUNT = 12;
  private static final int TIMEOUT_SECONDS = 30;
  private static final long POLL_INTERVAL_MILLIS = 20;
  private static final long OUTAGE_DELAY_MILLIS = 300;

  private final Map<String, Long> lastVersionById = new TreeMap<>();
  private int reverts;
  private int lostUpdates;

  @Override
  public String name() {
    return "config";
  }

  @Override
  public String summary() {
    return "time until a change is in force everywhere, reverts; faults: store-slow, lost-answers,"
        + " store-out, racing";
  }

  @Override
  public Report run(BenchOptions options) throws IOException {
    try (Fleet fleet = new Fleet(0)) {
      fleet.startIdleEntries(options.daemons());
      ChildProcess firstEntry = fleet.processes().get(0);
      Fleet.await(30, () -> memberCount(firstEntry) == options.daemons());
      TableClient table = new TableClient("http://127.0.0.1:" + fleet.platformPort());
      List<Double> seconds = new ArrayList<>();
      long version = 0;
      for (int i = 0; i < CHANGE_COUNT; i++) {
        injectFault(fleet, options.fault(), i);
        int writers = options.fault().equals("racing") ? 2 : 1;
        for (int writer = 0; writer < writers; writer++) {
          version = appendVersion(table, version, i + "-" + writer);
        }
        long startedAt = System.nanoTime();
        if (options.fault().equals("store-out")) {
          // Some daemons have read the version by then, and the others learn it from them.
          Fleet.sleep(OUTAGE_DELAY_MILLIS);
          Http.post(fleet.platformPort(), "/faults", Map.of("outage", true));
        }
        long expectedVersion = version;
        while (!checkInForce(fleet, expectedVersion) && secondsSince(startedAt) < TIMEOUT_SECONDS) {
          Fleet.sleep(POLL_INTERVAL_MILLIS);
        }
        seconds.add(secondsSince(startedAt));
        if (options.fault().equals("store-out")) {
          Http.post(fleet.platformPort(), "/faults", Map.of("outage", false));
        }
      }
      Collections.sort(seconds);
      Report report = new Report();
      report.add("daemons", options.daemons());
      report.add("fault", options.fault());
      report.add("changes", CHANGE_COUNT);
      report.add("secondsToAllP50", seconds.get(seconds.size() / 2));
      report.add("secondsToAllP99", seconds.get(seconds.size() - 1));
      report.add("reverts", reverts);
      report.add("lostUpdates", lostUpdates);
      return report;
    }
  }

  private static void injectFault(Fleet fleet, String fault, int change) throws IOException {
    if (fault.equals("store-slow")) {
      Http.post(fleet.platformPort(), "/faults", Map.of("latencyMillis", 400));
    } else if (fault.equals("lost-answers") && change % 2 == 0) {
      Http.post(fleet.platformPort(), "/faults", Map.of("loseAnswers", 1));
    }
  }

  /**
   * Appends a version in the same way as cornelctl: after the commit, reads the row back, because a
   * lost response leaves the outcome unknown, and retries if another writer's proposal is stored.
   */
  private long appendVersion(TableClient table, long knownVersion, String changeName) {
    long head = knownVersion;
    while (true) {
      TableRow headRow = table.read(ConfigurationRecord.HEAD_KEY).block().get().orElse(null);
      head = headRow == null ? 0 : Long.parseLong(headRow.value());
      if (head < knownVersion) {
        lostUpdates++;
      }
      String proposal = UUID.randomUUID().toString();
      String text = "out none-" + changeName + " # asked: bench\n";
      ConfigurationRecord newRecord =
          new ConfigurationRecord(head + 1, "bench", 0, proposal, "digest", text);
      table
          .commit(
              List.of(
                  new TableWrite(ConfigurationRecord.key(head + 1), 0, newRecord.toJson()),
                  new TableWrite(
                      ConfigurationRecord.HEAD_KEY,
                      headRow == null ? 0 : headRow.version(),
                      Long.toString(head + 1))))
          .block();
      TableRow storedRow = table.read(ConfigurationRecord.key(head + 1)).block().get().orElse(null);
      if (storedRow != null
          && ConfigurationRecord.parse(head + 1, storedRow.value())
              .get()
              .proposal()
              .equals(proposal)) {
        return head + 1;
      }
    }
  }

  /**
   * Returns whether every daemon applies the version, and counts daemons whose version decreased.
   */
  private boolean checkInForce(Fleet fleet, long expectedVersion) throws IOException {
    boolean inForce = true;
    for (ChildProcess child : fleet.processes()) {
      JsonNode rules = Http.get(child.operatorPort(), "/rules");
      long version = rules.path("version").asLong();
      Long previous = lastVersionById.put(child.id(), version);
      reverts += previous != null && version < previous ? 1 : 0;
      inForce &= version >= expectedVersion;
    }
    return inForce;
  }

  private static int memberCount(ChildProcess child) {
    try {
      return Http.get(child.operatorPort(), "/members").size();
    } catch (IOException e) {
      return 0;
    }
  }

  private static double secondsSince(long startedAt) {
    return (System.nanoTime() - startedAt) / 1e9;
  }
}
