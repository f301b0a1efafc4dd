package org.cornelchute.agent;

import org.cornelchute.core.cfg.Checks;
import org.cornelchute.core.cfg.Settings;
import org.cornelchute.net.control.ControlSettings;
import org.cornelchute.policy.admission.AdmissionOptions;
import org.cornelchute.policy.weights.SwarmOptions;

/**
 * Settings of an agent.
 *
 * @param member who and where it is
 * @param endpoint base address of the endpoint beside it
 * @param service plain service that the endpoint serves, or empty for a model engine
 * @param origin base address of the origin of weights
 * @param originRegion region of the origin
 * @param linkBytesPerSecond rate of the VM's link each way, 0 for no limit
 * @param regionBytesPerSecond what weights may take of the link from another region, for all agents
 *     of this region together, 0 for no limit
 * @param coldLimit requests that a cold endpoint carries at once
 * @param warmLimit most requests given to the endpoint at once
 * @param completionsPerStep completed requests before the limit grows by one
 * @param queueCapacity requests that may wait in the agent
 * @param importers agents of one region that read weights from outside it
 * @param drainMillis longest time that a stop waits for running requests
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

  /** Values for a process on the loopback interface. */
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

  /** Checks ranges. */
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

  /** Returns the admission limits that these settings give. */
  public AdmissionOptions admissionOptions() {
    AdmissionOptions d = AdmissionOptions.DEFAULTS;
    return new AdmissionOptions(
        coldLimit,
        warmLimit,
        completionsPerStep,
        queueCapacity,
        d.maxRecordedAnswerBytes(),
        d.outcomeRetentionMillis());
  }

  /** Returns the limits of the exchange of chunks that these settings give. */
  public SwarmOptions swarmOptions() {
    return SwarmOptions.DEFAULTS
        .withImporters(importers)
        .withRemoteBytesPerSecond(regionBytesPerSecond);
  }
}
