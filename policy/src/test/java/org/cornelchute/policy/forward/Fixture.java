package org.cornelchute.policy.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cornelchute.policy.weights.SwitchTimes;

/** A decider with one engine service and one plain service, and factory methods for its inputs. */
final class Fixture {

  static final String KEY = "key-1";
  static final long TARGET_MILLIS = 400;
  static final long TIMEOUT_MILLIS = 6_000;
  static final EngineSpec ENGINE = new EngineSpec("m", 8.87, 0.04, 19.1, 5, 977, 94);
  static final ServiceSpec ENGINES =
      new ServiceSpec("engines", 314, 3_000, 26, Optional.of(ENGINE));
  static final ServiceSpec PLAIN = new ServiceSpec("plain", 110, 0, 0, Optional.empty());
  static final CallOptions OPTIONS =
      new CallOptions("e1", "d1", "r1", 4_700, 2_300, 7_000, 7_600, 0.16, 80, 10_000, 1.5, 5);

  final CallDecider decider;
  final List<EndpointSpec> endpoints = new ArrayList<>();
  long now = 1_000_000;
  private long lastNumber;

  Fixture() {
    this(OPTIONS);
  }

  Fixture(CallOptions options) {
    decider = new CallDecider(options, 7, 0);
  }

  /** Returns the options of an entry with another name and place. */
  static CallOptions optionsOf(String self, String domain, String region) {
    return optionsOf(OPTIONS, self, domain, region);
  }

  static CallOptions optionsOf(CallOptions o, String self, String domain, String region) {
    return new CallOptions(
        self,
        domain,
        region,
        o.maxKeyAgeMillis(),
        o.maxDenialAgeMillis(),
        o.versionGraceMillis(),
        o.versionCutoffMillis(),
        o.retryRatio(),
        o.retryAllowance(),
        o.retryWindowMillis(),
        o.coldOverrunFactor(),
        o.coldAllowance());
  }

  /** Returns the options of entries that go by the times of a weights switch. */
  static CallOptions optionsOf(SwitchTimes times) {
    CallOptions o = OPTIONS;
    return new CallOptions(
        o.self(),
        o.domain(),
        o.region(),
        o.maxKeyAgeMillis(),
        o.maxDenialAgeMillis(),
        times.graceMillis(),
        times.cutoffMillis(),
        o.retryRatio(),
        o.retryAllowance(),
        o.retryWindowMillis(),
        o.coldOverrunFactor(),
        o.coldAllowance());
  }

  /** Provides the configuration, these endpoints and a current confirmation to the decider. */
  Fixture withEndpoints(EndpointSpec... listed) {
    decider.updateConfig(config(1, Map.of(KEY, new WorkspaceSpec("w1", 1, List.of()))));
    endpoints.addAll(List.of(listed));
    decider.updateEndpoints(now, endpoints);
    decider.updateEvacuatedDomains(Set.of());
    decider.recordConfirmation(now);
    return this;
  }

  static ServingConfig config(long version, Map<String, WorkspaceSpec> keys) {
    return new ServingConfig(
        version,
        List.of(
            route("stream", "/s/", CallKind.STREAM, true, "engines", 2),
            route("order", "/o/", CallKind.NON_IDEMPOTENT, false, "plain", 2),
            route("check", "/c/", CallKind.IDEMPOTENT, false, "plain", 2),
            route("longer", "/c/deep/", CallKind.NON_IDEMPOTENT, false, "plain", 1)),
        List.of(ENGINES, PLAIN),
        true,
        keys,
        ServingConfig.CallerLimits.DEFAULTS);
  }

  private static RouteSpec route(
      String name, String prefix, CallKind kind, boolean resumable, String service, int attempts) {
    return new RouteSpec(
        name,
        "h",
        prefix,
        kind,
        resumable,
        TIMEOUT_MILLIS,
        TARGET_MILLIS,
        1,
        attempts,
        false,
        List.of(),
        List.of(new RouteSpec.WeightedService(service, 1)));
  }

  static EndpointSpec engine(String id, String domain, long version) {
    return new EndpointSpec(
        id, "engines", "10.0.0.1:80", domain, domain, 16, false, 0, 1, "m", version);
  }

  static EndpointSpec plain(String id) {
    return new EndpointSpec(id, "plain", "10.0.0.2:80", "d1", "r1", 6, false, 0, 1, "", 0);
  }

  /** Sends a call with the deadline that callers use on their first try. */
  List<CallEffect> call(String path) {
    return call(path, TIMEOUT_MILLIS);
  }

  List<CallEffect> call(String path, long deadlineMillis) {
    return decider.onCall(now, callSpec(path, KEY, deadlineMillis));
  }

  CallSpec callSpec(String path, String key, long deadlineMillis) {
    return new CallSpec(
        ++lastNumber,
        "id-" + lastNumber,
        "h",
        path,
        key,
        deadlineMillis,
        977,
        94,
        0,
        -1,
        List.of());
  }

  long lastNumber() {
    return lastNumber;
  }

  static ResponseHead head(int status) {
    return new ResponseHead(status, false, false, true, false, 0, -1, 0, NamedLimit.NONE);
  }

  static ResponseHead notExecuted() {
    return new ResponseHead(503, true, false, false, false, 0, -1, 0, NamedLimit.NONE);
  }

  static <T extends CallEffect> Optional<T> find(List<CallEffect> effects, Class<T> type) {
    return effects.stream().filter(type::isInstance).map(type::cast).findFirst();
  }

  static CallEffect.Dispatch dispatch(List<CallEffect> effects) {
    return find(effects, CallEffect.Dispatch.class).orElseThrow();
  }

  static Rejection rejection(List<CallEffect> effects) {
    return find(effects, CallEffect.Reject.class).orElseThrow().rejection();
  }
}
