package org.cornelchute.agent;

import org.cornelchute.core.cfg.Checks;
import org.cornelchute.core.cfg.Settings;
import org.cornelchute.net.control.ControlSettings;
import org.cornelchute.policy.admission.AdmissionOptions;
import org.cornelchute.policy.weights.SwarmOptions;

/**
 * Settings of an agent.
 *
 * @param member identity, addresses and location of the agent
 * @param endpoint base URL of the endpoint on the same VM
 * @param service name of the plain service that the endpoint serves, or empty for a model engine
 * @param origin base URL of the origin of weights
 * @param originRegion region of the origin
 * @param linkBytesPerSecond rate of the VM's link in each direction in bytes per second, 0 for no
 *     limit
 * @param regionBytesPerSecond rate in bytes per second at which all agents of this region together
 *     may read weights from other regions, 0 for no limit
 * @param coldLimit concurrent requests allowed at a cold endpoint
 * @param warmLimit maximum number of concurrent requests at the endpoint
 * @param completionsPerStep completed requests needed to raise the limit by one
 * @param queueCapacity maximum number of requests queued in the agent
 * @param importers agents of each region that read chunks from outside it
 * @param drainMillis longest time that a shutdown waits for running requests
 */
public record AgentSettings(
    ControlSettings member,
    String endpoint,
    String service,
    String origin,
    String originRegion,
    long linkBytesPerSecond,
    long regionBytesPerSecond,
    int coldLimit,
    int warmLimit,
    int completionsPerStep,
    int queueCapacity,
    int importers,
    long drainMillis)
    implements Settings {

  /** Default settings, for a process on the loopback interface. */
  public static final AgentSettings DEFAULTS =
      new AgentSettings(
          ControlSettings.defaults("agent-1", 4_200),
          "http://127.0.0.1:4300",
          "",
          "http://127.0.0.1:4010",
          "region-1",
          0,
          0,
          2,
          32,
          4,
          16,
          4,
          60_000);

  private static final int MAX_COUNT = 1 << 16;

  /** Validates the settings; a missing service counts as empty. */
  public AgentSettings {
    Checks.requireText("endpoint", endpoint);
    Checks.requireRange("linkBytesPerSecond", linkBytesPerSecond, 0, Long.MAX_VALUE, "bytes/s");
    Checks.requireRange("regionBytesPerSecond", regionBytesPerSecond, 0, Long.MAX_VALUE, "bytes/s");
    Checks.requireRange("coldLimit", coldLimit, 1, MAX_COUNT, "requests");
    Checks.requireRange("warmLimit", warmLimit, coldLimit, MAX_COUNT, "requests, from coldLimit");
    Checks.requireRange("completionsPerStep", completionsPerStep, 1, MAX_COUNT, "requests");
    Checks.requireRange("queueCapacity", queueCapacity, 1, MAX_COUNT, "requests");
    Checks.requireRange("importers", importers, 1, MAX_COUNT, "agents");
    Checks.requireRange("drainMillis", drainMillis, 0, Long.MAX_VALUE, "milliseconds");
    service = service == null ? "" : service;
  }

  /** Returns whether the endpoint is a model engine. */
  public boolean isEngine() {
    return service.isEmpty();
  }

  /** Returns the admission limits given by these settings. */
  public AdmissionOptions admissionOptions() {
    AdmissionOptions defaults = AdmissionOptions.DEFAULTS;
    return new AdmissionOptions(
        coldLimit,
        warmLimit,
        completionsPerStep,
        queueCapacity,
        defaults.maxRecordedAnswerBytes(),
        defaults.outcomeRetentionMillis());
  }

  /** Returns the limits of the chunk exchange given by these settings. */
  public SwarmOptions swarmOptions() {
    return SwarmOptions.DEFAULTS
        .withImporters(importers)
        .withRemoteBytesPerSecond(regionBytesPerSecond);
  }
}
