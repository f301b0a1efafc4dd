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

/** Time from the acceptance of a change until it is in force at every daemon; reverts. */
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
  public Report run(BenchOptions o) throws IOException {
    try (Fleet fleet = new Fleet(0)) {
      fleet.startIdleEntries(o.daemons());
      ChildProcess first = fleet.processes().get(0);
      Fleet.await(30, () -> memberCount(first) == o.daemons());
      TableClient table = new TableClient("http://127.0.0.1:" + fleet.platformPort());
      List<Double> times = new ArrayList<>();
      long version = 0;
      for (int i = 0; i < CHANGE_COUNT; i++) {
        injectFault(fleet, o.fault(), i);
        int parallel = o.fault().equals("racing") ? 2 : 1;
        for (int p = 0; p < parallel; p++) {
          version = appendVersion(table, version, i + "-" + p);
        }
        long begun = System.nanoTime();
        if (o.fault().equals("store-out")) {
          // Some daemons have polled by then; the others learn from them.
          Fleet.sleep(OUTAGE_DELAY_MILLIS);
          Http.post(fleet.platformPort(), "/faults", Map.of("outage", true));
        }
        long wanted = version;
        while (!checkInForce(fleet, wanted) && secondsSince(begun) < TIMEOUT_SECONDS) {
          Fleet.sleep(POLL_INTERVAL_MILLIS);
        }
        times.add(secondsSince(begun));
        if (o.fault().equals("store-out")) {
          Http.post(fleet.platformPort(), "/faults", Map.of("outage", false));
        }
      }
      Collections.sort(times);
      Report r = new Report();
      r.add("daemons", o.daemons());
      r.add("fault", o.fault());
      r.add("changes", CHANGE_COUNT);
      r.add("secondsToAllP50", times.get(times.size() / 2));
      r.add("secondsToAllP99", times.get(times.size() - 1));
      r.add("reverts", reverts);
      r.add("lostUpdates", lostUpdates);
      return r;
    }
  }

  private static void injectFault(Fleet fleet, String fault, int change) throws IOException {
    if (fault.equals("store-slow")) {
      Http.post(fleet.platformPort(), "/faults", Map.of("latencyMillis", 400));
    } else if (fault.equals("lost-answers") && change % 2 == 0) {
      Http.post(fleet.platformPort(), "/faults", Map.of("loseAnswers", 1));
    }
  }

  /** Appends one version as cornelctl does; a lost answer is resolved by reading. */
  private long appendVersion(TableClient table, long known, String name) {
    long head = known;
    while (true) {
      TableRow row = table.read(ConfigurationRecord.HEAD_KEY).block().get().orElse(null);
      head = row == null ? 0 : Long.parseLong(row.value());
      if (head < known) {
        lostUpdates++;
      }
      String proposal = UUID.randomUUID().toString();
      String text = "out none-" + name + " # asked: bench\n";
      ConfigurationRecord next =
          new ConfigurationRecord(head + 1, "bench", 0, proposal, "digest", text);
      table
          .commit(
              List.of(
                  new TableWrite(ConfigurationRecord.key(head + 1), 0, next.toJson()),
                  new TableWrite(
                      ConfigurationRecord.HEAD_KEY,
                      row == null ? 0 : row.version(),
                      Long.toString(head + 1))))
          .block();
      TableRow kept = table.read(ConfigurationRecord.key(head + 1)).block().get().orElse(null);
      if (kept != null
          && ConfigurationRecord.parse(kept.value()).get().proposal().equals(proposal)) {
        return head + 1;
      }
    }
  }

  /** Looks at every daemon; a version below one seen before is a revert. */
  private boolean checkInForce(Fleet fleet, long wanted) throws IOException {
    boolean all = true;
    for (ChildProcess c : fleet.processes()) {
      JsonNode m = Http.get(c.operatorPort(), "/rules");
      long version = m.path("version").asLong();
      Long before = lastVersionById.put(c.id(), version);
      reverts += before != null && version < before ? 1 : 0;
      all &= version >= wanted;
    }
    return all;
  }

  private static int memberCount(ChildProcess c) {
    try {
      return Http.get(c.operatorPort(), "/members").size();
    } catch (IOException e) {
      return 0;
    }
  }

  private static double secondsSince(long begun) {
    return (System.nanoTime() - begun) / 1e9;
  }
}
