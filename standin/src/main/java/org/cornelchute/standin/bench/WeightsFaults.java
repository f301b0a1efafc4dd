package org.cornelchute.standin.bench;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cornelchute.standin.harness.Child;
import org.cornelchute.standin.harness.Fleet;
import org.cornelchute.standin.harness.Http;

/** Faults of the weights measurement, each at its moment of a run. */
final class WeightsFaults {

  /** Names that {@code --fault} takes. */
  static final List<String> NAMES =
      List.of(
          "quarter-killed",
          "importer-killed",
          "corrupt-chunks",
          "stalled-link",
          "origin-refuses",
          "new-version",
          "store-out");

  private static final double MIDDLE_SECONDS = 4.0;
  private static final double IN_FORCE_SECONDS = 2.5;
  private static final double REFUSING_SECONDS = 16.0 / 3;

  private final Fleet fleet;
  private final BenchOptions options;
  private final Set<String> published = new HashSet<>();
  private boolean begun;
  private boolean ended;
  private int killed;
  private Child stopped;

  WeightsFaults(Fleet fleet, BenchOptions options, String before) throws IOException {
    this.fleet = fleet;
    published.add(before);
    this.options = options;
    if (options.fault().equals("corrupt-chunks")) {
      Http.post(fleet.originPort(), "/faults", Map.of("corruptShare", 0.05));
      ended = true;
    }
  }

  int killed() {
    return killed;
  }

  /** Returns whether nothing more will happen. */
  boolean done() {
    return options.fault().isEmpty() || ended;
  }

  boolean published(String digest) {
    return published.contains(digest);
  }

  /** Provokes what is due and returns the digest of the version that is wanted now. */
  String step(double seconds, String digest, int size) throws IOException {
    published.add(digest);
    // The rules are in force by then; without a store none could have been accepted.
    double moment = options.fault().equals("store-out") ? IN_FORCE_SECONDS : MIDDLE_SECONDS;
    if (!begun && seconds >= moment) {
      begun = true;
      return begin(digest, size);
    }
    boolean refusing = options.fault().equals("origin-refuses") && begun && !ended;
    if (refusing && seconds >= MIDDLE_SECONDS + REFUSING_SECONDS) {
      Http.post(fleet.originPort(), "/faults", Map.of("refuse", false));
      ended = true;
    }
    boolean stalled = stopped != null && !ended && seconds >= MIDDLE_SECONDS + REFUSING_SECONDS;
    if (stalled) {
      stopped.signal("CONT");
      ended = true;
    }
    return digest;
  }

  private String begin(String digest, int size) throws IOException {
    switch (options.fault()) {
      case "store-out":
        Http.post(fleet.platformPort(), "/faults", Map.of("outage", true));
        ended = true;
        return digest;
      case "quarter-killed":
        for (int i = 0; i < options.replicas() / 4; i++) {
          kill("agent-" + i * 4);
        }
        ended = true;
        return digest;
      case "importer-killed":
        kill(busiestImporter());
        ended = true;
        return digest;
      case "stalled-link":
        stopped = fleet.child("agent-1");
        stopped.signal("STOP");
        return digest;
      case "origin-refuses":
        Http.post(fleet.originPort(), "/faults", Map.of("refuse", true));
        return digest;
      case "new-version":
        return newVersion(size);
      default:
        return digest;
    }
  }

  private String newVersion(int size) throws IOException {
    String digest =
        fleet
            .publish(
                "model="
                    + FleetRules.MODEL
                    + "&version=v2&base=v1&changed=0.5&bytes="
                    + size
                    + "&chunkBytes="
                    + size / 128)
            .path("digest")
            .asText();
    Map<String, Integer> replicas = new LinkedHashMap<>();
    for (int i = 0; i < options.replicas(); i++) {
      replicas.merge("d" + i % options.regions(), 1, Integer::sum);
    }
    fleet.apply(
        new StringBuilder(), FleetRules.place("v2", replicas, options.replicas(), List.of(10)));
    published.add(digest);
    ended = true;
    return digest;
  }

  private String busiestImporter() throws IOException {
    String busiest = "";
    long most = -1;
    for (String id : new ArrayList<>(fleet.engineIds())) {
      long bytes =
          Http.get(fleet.child(id).operatorPort(), "/metrics")
              .path("weights.origin.bytes")
              .asLong();
      if (bytes > most) {
        most = bytes;
        busiest = id;
      }
    }
    return busiest;
  }

  private void kill(String id) {
    fleet.child(id).kill();
    killed++;
  }
}
