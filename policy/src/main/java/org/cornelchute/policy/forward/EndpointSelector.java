package org.cornelchute.policy.forward;

import org.cornelchute.policy.forward.EndpointPool.Choice;
import org.cornelchute.policy.forward.EndpointPool.Requirements;

/** Selects the endpoints that a call may be sent to, by what its route and its weights ask for. */
final class EndpointSelector {

  /** Time for which a call may be on its way to an endpoint that did not respond in time lately. */
  private static final long MAX_DELIVERY_MILLIS = 2_500;

  private final CallOptions options;
  private final EndpointPool endpointPool;
  private final VersionGate versionGate;
  private final LoadLimits loadLimits;

  EndpointSelector(
      CallOptions options,
      EndpointPool endpointPool,
      VersionGate versionGate,
      LoadLimits loadLimits) {
    this.options = options;
    this.endpointPool = endpointPool;
    this.versionGate = versionGate;
    this.loadLimits = loadLimits;
  }

  /** Returns the time at which the first endpoint that pauses takes the call, 0 if none pauses. */
  long pauseEnd(long now, Call call) {
    return endpointPool
        .earliestPauseEnd(
            now, requirements(now, call, loadLimits.ofCall(call), requiredVersion(now, call)))
        .orElse(0L);
  }

  /** Chooses an endpoint that holds weights on which the call may start. */
  Choice choose(long now, Call call, double maxLoad) {
    return choose(now, call, maxLoad, requiredVersion(now, call));
  }

  private Choice choose(long now, Call call, double maxLoad, long minVersion) {
    return endpointPool.choose(now, requirements(now, call, maxLoad, minVersion));
  }

  Requirements requirements(long now, Call call, double maxLoad, long minVersion) {
    return new Requirements(
        call.service,
        call.regions,
        minVersion,
        versionAt(now + MAX_DELIVERY_MILLIS, call, versionGate::requiredVersion),
        call.streaming ? call.streamVersion : 0,
        maxLoad,
        call.triedEndpoints,
        0,
        loadLimits.reservesRoom(call.service),
        call.spec);
  }

  /** Returns the minimum version of the weights that a call may start on. */
  long requiredVersion(long now, Call call) {
    return versionAt(now, call, versionGate::requiredVersion);
  }

  private long versionAt(long time, Call call, VersionLookup lookup) {
    return call.service
        .engine()
        .map(e -> lookup.version(time, e.model(), options.versionGraceMillis()))
        .orElse(0L);
  }

  /**
   * Returns whether an endpoint could accept the call if the newest versions turn out to be as
   * young as possible. Another entry may know their age.
   */
  boolean lacksOnlyVersionAge(long now, Call call, double maxLoad) {
    if (call.service.engine().isEmpty()) {
      return false;
    }
    long certain = versionAt(now, call, versionGate::certainVersion);
    return certain < requiredVersion(now, call)
        && choose(now, call, maxLoad, certain).endpoint().isPresent();
  }

  /** Returns the newest version that this entry knows to be assigned, 0 if none. */
  long newestVersion(Call call) {
    return call.service.engine().map(e -> versionGate.newestVersion(e.model())).orElse(0L);
  }

  /** Returns the version below which calls that have not begun are canceled. */
  long cutoffVersion(long now, Call call) {
    return versionAt(
        now,
        call,
        (time, model, graceMillis) ->
            versionGate.cutoffVersion(time, model, options.versionCutoffMillis()));
  }

  /**
   * Returns the oldest version that an attempt may begin on, the one that it names, the required
   * one and the newest one with its age, for the log; empty for services without an engine.
   */
  String describeVersions(long now, Call call, Attempt attempt) {
    return call.service
        .engine()
        .map(
            e ->
                " weights="
                    + attempt.oldestVersion()
                    + " expected="
                    + attempt.expectedVersion
                    + " required="
                    + requiredVersion(now, call)
                    + " "
                    + versionGate.describeNewest(now, e.model()))
        .orElse("");
  }

  /** Lookup of a version in {@link VersionGate}. */
  private interface VersionLookup {
    long version(long time, String model, long graceMillis);
  }
}
