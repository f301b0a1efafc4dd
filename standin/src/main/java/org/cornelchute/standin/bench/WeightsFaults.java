package org.cornelchute.standin.bench;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cornelchute.standin.harness.ChildProcess;
import org.cornelchute.standin.harness.Fleet;
import org.cornelchute.standin.harness.Http;

/** Injects the faults of the weights benchmark at fixed times of a run. */
final class WeightsFaults {

  /** Values of the option {@code --fault}. */
  static final List<String> FAULT_NAMES =
      List.of(
          "quarter-killed",
          "importer-killed",
          "corrupt-chunks",
          "stalled-link",
          "origin-refuses",
          "new-version",
          "store-out");

  private static final double FAULT_START_SECONDS = 4.0;
  private static final double STORE_OUTAGE_START_SECONDS = 2.5;
  private static final double FAULT_DURATION_SECONDS = 16.0 / 3;

  private final Fleet fleet;
  private final BenchOptions options;
  private final Set<String> publishedDigests = new HashSet<>();
  private boolean faultStarted;
  private boolean faultEnded;
  private int killedCount;
  private ChildProcess pausedAgent;

  WeightsFaults(Fleet fleet, BenchOptions options, String initialDigest) throws IOException {
    this.fleet = fleet;
    publishedDigests.add(initialDigest);
    this.options = options;
    if (options.fault().equals("corrupt-chunks")) {
      Http.post(fleet.originPort(), "/faults", Map.of("corruptShare", 0.05));
      faultEnded = true;
    }
  }

  int killedCount() {
    return killedCount;
  }

  /** Returns whether no further start or end of a fault is pending. */
  boolean isDone() {
    return options.fault().isEmpty() || faultEnded;
  }

  boolean isPublished(String digest) {
    return publishedDigests.contains(digest);
  }

  /** Starts or ends the fault when due, and returns the digest of the version to be loaded. */
  String injectDueFault(double seconds, String digest, int totalBytes) throws IOException {
    publishedDigests.add(digest);
    // The store fails only after the rules are in force, because rules cannot be accepted without
    // it.
    double startSeconds =
        options.fault().equals("store-out") ? STORE_OUTAGE_START_SECONDS : FAULT_START_SECONDS;
    if (!faultStarted && seconds >= startSeconds) {
      faultStarted = true;
      return startFault(digest, totalBytes);
    }
    boolean originRefusing =
        options.fault().equals("origin-refuses") && faultStarted && !faultEnded;
    if (originRefusing && seconds >= FAULT_START_SECONDS + FAULT_DURATION_SECONDS) {
      Http.post(fleet.originPort(), "/faults", Map.of("refuse", false));
      faultEnded = true;
    }
    boolean resumeDue =
        pausedAgent != null
            && !faultEnded
            && seconds >= FAULT_START_SECONDS + FAULT_DURATION_SECONDS;
    if (resumeDue) {
      pausedAgent.signal("CONT");
      faultEnded = true;
    }
    return digest;
  }

  private String startFault(String digest, int totalBytes) throws IOException {
    switch (options.fault()) {
      case "store-out":
        Http.post(fleet.platformPort(), "/faults", Map.of("outage", true));
        faultEnded = true;
        return digest;
      case "quarter-killed":
        for (int i = 0; i < options.replicas() / 4; i++) {
          killAgent("agent-" + i * 4);
        }
        faultEnded = true;
        return digest;
      case "importer-killed":
        killAgent(busiestImporter());
        faultEnded = true;
        return digest;
      case "stalled-link":
        pausedAgent = fleet.process("agent-1");
        pausedAgent.signal("STOP");
        return digest;
      case "origin-refuses":
        Http.post(fleet.originPort(), "/faults", Map.of("refuse", true));
        return digest;
      case "new-version":
        return publishNewVersion(totalBytes);
      default:
        return digest;
    }
  }

  private String publishNewVersion(int totalBytes) throws IOException {
    String digest =
        fleet
            .publish(
                "model="
                    + FleetRules.MODEL
                    + "&version=v2&base=v1&changed=0.5&bytes="
                    + totalBytes
                    + "&chunkBytes="
                    + totalBytes / 128)
            .path("digest")
            .asText();
    Map<String, Integer> replicas = new LinkedHashMap<>();
    for (int i = 0; i < options.replicas(); i++) {
      replicas.merge("d" + i % options.regions(), 1, Integer::sum);
    }
    fleet.applyRules(
        new StringBuilder(),
        FleetRules.placementRules("v2", replicas, options.replicas(), List.of(10)));
    publishedDigests.add(digest);
    faultEnded = true;
    return digest;
  }

  private String busiestImporter() throws IOException {
    String busiest = "";
    long mostBytes = -1;
    for (String id : new ArrayList<>(fleet.engineIds())) {
      long bytes =
          Http.get(fleet.process(id).operatorPort(), "/metrics")
              .path("weights.origin.bytes")
              .asLong();
      if (bytes > mostBytes) {
        mostBytes = bytes;
        busiest = id;
      }
    }
    return busiest;
  }

  private void killAgent(String id) {
    fleet.process(id).kill();
    killedCount++;
  }
}
