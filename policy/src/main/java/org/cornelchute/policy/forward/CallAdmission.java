package org.cornelchute.policy.forward;

import io.vavr.control.Either;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.cornelchute.policy.forward.OtherEntries.Availability;
import org.cornelchute.policy.forward.RouteSpec.WeightedService;

/**
 * Decides whether a new call may be served by the cached configuration, and for which route,
 * workspace and service.
 */
final class CallAdmission {

  /**
   * Difference to the longest deadline of the route up to which a call counts as the first try of
   * its caller.
   */
  private static final long DEADLINE_TOLERANCE_MILLIS = 100;

  private final CallOptions options;
  private final Freshness freshness;
  private final OtherEntries otherEntries;
  private final EndpointPool endpointPool;
  private final Random random;
  private final Map<String, LongestDeadline> longestDeadlineByRoute = new HashMap<>();

  CallAdmission(
      CallOptions options,
      Freshness freshness,
      OtherEntries otherEntries,
      EndpointPool endpointPool,
      Random random) {
    this.options = options;
    this.freshness = freshness;
    this.otherEntries = otherEntries;
    this.endpointPool = endpointPool;
    this.random = random;
  }

  /** Returns whether a configuration has been received and the endpoints are known. */
  boolean isReady(long now, ServingConfig config) {
    return config.version() > 0 && endpointPool.isKnown(now);
  }

  /**
   * Returns whether callers should use other entries. This is the case if the keys or routes of
   * this entry are too old to accept calls and another entry can probably accept them.
   */
  boolean shouldDivertCalls(long now, ServingConfig config) {
    return config.requiresKeys()
        ? freshness.ageMillis(now) > options.maxKeyAgeMillis()
            && otherAvailability(now) == Availability.LIKELY
        : isSuperseded(now);
  }

  /** Returns whether another entry can probably accept calls that this one rejects. */
  Availability otherAvailability(long now) {
    return otherEntries.availability(
        now,
        options.maxKeyAgeMillis(),
        endpointPool.isEntryListKnown(),
        endpointPool.entryCount() - 1);
  }

  /** Returns the new call, or why it is rejected. */
  Either<Refusal, Call> admit(long now, ServingConfig config, CallSpec spec) {
    return check(now, config, spec, config.findWorkspace(spec.key()))
        .flatMap(
            admitted -> {
              Optional<ServiceSpec> service = pickService(config, admitted.route());
              if (service.isEmpty()) {
                return refuseUnknownService();
              }
              long earlierWaitMillis = estimateEarlierWait(admitted.route(), spec);
              return Either.right(admitted.toCall(spec, service.get(), earlierWaitMillis, now));
            });
  }

  /**
   * Returns the call as {@link #admit} would for a service that is picked, without a record of its
   * deadline.
   */
  Call preview(long now, CallSpec spec, Admitted admitted, ServiceSpec service) {
    LongestDeadline longest = longestDeadlineByRoute.get(admitted.route().name());
    LongestDeadline latest = LongestDeadline.of(admitted.route(), spec);
    long earlierWaitMillis =
        earlierWaitMillis(longest == null ? latest : longest.update(latest), latest);
    return admitted.toCall(spec, service, earlierWaitMillis, now);
  }

  /**
   * Returns the route and workspace of a call, or why it is rejected whatever service is picked.
   * Changes nothing.
   *
   * @param keyOwner workspace that the key of the call belongs to
   */
  Either<Refusal, Admitted> check(
      long now, ServingConfig config, CallSpec spec, Optional<WorkspaceSpec> keyOwner) {
    if (!isReady(now, config)) {
      String missing = config.version() > 0 ? "endpoints are not known" : "no configuration";
      return refuse(Rejection.NOT_READY, missing + " yet");
    }
    Optional<RouteSpec> route = config.findRoute(spec.host(), spec.path());
    if (route.isEmpty()) {
      return refuseUnknown(now, Rejection.UNKNOWN_ROUTE, "no route matches host and path");
    }
    long ageMillis = freshness.ageMillis(now);
    WorkspaceSpec workspace = null;
    if (config.requiresKeys() && !route.get().anonymous()) {
      if (keyOwner.isEmpty()) {
        return refuseUnknown(now, Rejection.UNKNOWN_KEY, "key belongs to no workspace");
      }
      if (ageMillis > options.maxKeyAgeMillis()) {
        return refuse(Rejection.NOT_READY, "keys are not confirmed");
      }
      workspace = keyOwner.get();
    } else if (isSuperseded(now) || hasOldRegions(route.get(), ageMillis)) {
      return refuse(Rejection.NOT_READY, "configuration is not confirmed");
    }
    return Either.right(new Admitted(route.get(), workspace));
  }

  /** Returns the rejection of a call whose route refers to a service that does not exist. */
  static <T> Either<Refusal, T> refuseUnknownService() {
    return refuse(Rejection.NO_ENDPOINT, "route refers to an unknown service");
  }

  /**
   * Rejects a call because of its route or key. If the configuration is too old, the route or key
   * may have been added in the meantime, so the call is rejected as not ready instead.
   */
  private <T> Either<Refusal, T> refuseUnknown(long now, Rejection rejection, String reason) {
    boolean fresh = freshness.ageMillis(now) <= options.maxDenialAgeMillis();
    return refuse(fresh ? rejection : Rejection.NOT_READY, reason);
  }

  private static <T> Either<Refusal, T> refuse(Rejection rejection, String reason) {
    return Either.left(new Refusal(rejection, reason));
  }

  /** Returns whether a route is bound to regions that were not confirmed recently enough. */
  private boolean hasOldRegions(RouteSpec route, long ageMillis) {
    return !route.regions().isEmpty() && ageMillis > options.maxKeyAgeMillis();
  }

  /**
   * Returns whether routes and regions of the configuration may have changed, while another entry
   * may be able to serve calls by the current ones. In an outage of the store for all entries, the
   * configuration cannot change.
   */
  private boolean isSuperseded(long now) {
    return freshness.ageMillis(now) > options.maxKeyAgeMillis()
        && endpointPool.sharingEntryCount() > 1
        && otherAvailability(now) != Availability.UNLIKELY;
  }

  /**
   * Estimates how long the caller already waited in earlier tries of the same call. A caller that
   * retries shortens its deadline by that time, so the estimate is the difference to the longest
   * deadline seen on the route since its timeout changed.
   */
  private long estimateEarlierWait(RouteSpec route, CallSpec spec) {
    LongestDeadline latest = LongestDeadline.of(route, spec);
    LongestDeadline longest =
        longestDeadlineByRoute.merge(route.name(), latest, LongestDeadline::update);
    return earlierWaitMillis(longest, latest);
  }

  private static long earlierWaitMillis(LongestDeadline longest, LongestDeadline latest) {
    long waited = longest.deadlineMillis() - latest.deadlineMillis();
    return waited > DEADLINE_TOLERANCE_MILLIS ? waited : 0;
  }

  /** Picks a service at random, in proportion to the weights on the route. */
  private Optional<ServiceSpec> pickService(ServingConfig config, RouteSpec route) {
    List<WeightedService> services = route.services();
    double totalWeight = 0;
    for (WeightedService s : services) {
      totalWeight += s.weight();
    }
    double point = services.size() == 1 ? 0 : random.nextDouble() * totalWeight;
    for (WeightedService s : services) {
      point -= s.weight();
      if (point < 0 || services.size() == 1) {
        return config.findService(s.service());
      }
    }
    return Optional.empty();
  }

  private static Set<String> allowedRegions(RouteSpec route, WorkspaceSpec workspace) {
    Set<String> regions = new HashSet<>(route.regions());
    if (workspace != null && !workspace.regions().isEmpty()) {
      if (regions.isEmpty()) {
        regions.addAll(workspace.regions());
      } else {
        regions.retainAll(workspace.regions());
        // Route and workspace have no region in common. An empty set would allow all regions, so
        // add a name that matches no endpoint.
        if (regions.isEmpty()) {
          regions.add("");
        }
      }
    }
    return regions;
  }

  /**
   * Longest deadline of the calls on a route.
   *
   * @param timeoutMillis timeout of the route, which bounds the deadlines
   * @param deadlineMillis longest deadline since the route has this timeout
   */
  private record LongestDeadline(long timeoutMillis, long deadlineMillis) {

    static LongestDeadline of(RouteSpec route, CallSpec spec) {
      return new LongestDeadline(
          route.timeoutMillis(), Math.min(spec.deadlineMillis(), route.timeoutMillis()));
    }

    /** Returns the longest deadline after a call, starting again if the timeout has changed. */
    LongestDeadline update(LongestDeadline latest) {
      return latest.timeoutMillis == timeoutMillis && latest.deadlineMillis <= deadlineMillis
          ? this
          : latest;
    }
  }

  /**
   * A call that may be served if its route picks a service that exists.
   *
   * @param workspace workspace of the call, null if the route needs none
   */
  record Admitted(RouteSpec route, WorkspaceSpec workspace) {

    private Call toCall(CallSpec spec, ServiceSpec service, long earlierWaitMillis, long now) {
      return new Call(
          spec,
          route,
          service,
          workspace,
          allowedRegions(route, workspace),
          earlierWaitMillis,
          now);
    }
  }

  /**
   * Rejection of a call that arrived.
   *
   * @param reason cause for the log, never null
   */
  record Refusal(Rejection rejection, String reason) {}
}
