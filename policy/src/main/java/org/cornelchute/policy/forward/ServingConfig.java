package org.cornelchute.policy.forward;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * One version of the configuration: routes, services and keys; immutable.
 *
 * <p>Routes of a host are ordered by the length of their prefix, so that the first that matches is
 * the longest.
 */
public final class ServingConfig {

  /** Configuration of a process that has not learnt any. */
  public static final ServingConfig EMPTY =
      new ServingConfig(0, List.of(), List.of(), false, Map.of(), CallerLimits.DEFAULTS);

  private final long version;
  private final Map<String, List<RouteSpec>> byHost = new HashMap<>();
  private final Map<String, ServiceSpec> services = new HashMap<>();
  private final boolean requiresKeys;
  private final Map<String, WorkspaceSpec> byKey;
  private final CallerLimits limits;

  /**
   * Creates a configuration.
   *
   * @param version grows with every change
   * @param routes all routes
   * @param services all services
   * @param keyed whether callers need keys
   * @param byKey workspaces by key
   * @param limits bounds of what callers may send
   */
  public ServingConfig(
      long version,
      List<RouteSpec> routes,
      List<ServiceSpec> services,
      boolean keyed,
      Map<String, WorkspaceSpec> byKey,
      CallerLimits limits) {
    this.version = version;
    this.requiresKeys = keyed;
    this.byKey = Map.copyOf(byKey);
    this.limits = limits;
    for (ServiceSpec s : services) {
      this.services.put(s.name(), s);
    }
    routes.stream()
        .sorted(Comparator.comparingInt((RouteSpec r) -> -r.pathPrefix().length()))
        .forEach(r -> byHost.computeIfAbsent(r.host(), h -> new ArrayList<>()).add(r));
  }

  /** Returns the version; 0 if nothing is known. */
  public long version() {
    return version;
  }

  /** Returns the bounds of what callers may send. */
  public CallerLimits limits() {
    return limits;
  }

  /** Returns whether callers need keys. */
  public boolean requiresKeys() {
    return requiresKeys;
  }

  /** Finds the route with the longest matching prefix. */
  public Optional<RouteSpec> findRoute(String host, String path) {
    for (RouteSpec r : byHost.getOrDefault(host, List.of())) {
      if (path.startsWith(r.pathPrefix())) {
        return Optional.of(r);
      }
    }
    return Optional.empty();
  }

  /** Finds the workspace that holds a key. */
  public Optional<WorkspaceSpec> findWorkspace(String key) {
    return Optional.ofNullable(byKey.get(key));
  }

  /** Finds a service by name. */
  public Optional<ServiceSpec> findService(String name) {
    return Optional.ofNullable(services.get(name));
  }

  /**
   * Bounds of what a caller may send and how long it may take.
   *
   * @param maxHeaderBytes most bytes of a request's head
   * @param maxBodyBytes most bytes of a body
   * @param headerTimeoutMillis longest time from the first byte of a head to its end
   * @param idleTimeoutMillis longest time without a request on a kept connection
   */
  public record CallerLimits(
      int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

    /** Bounds until a configuration names others. */
    public static final CallerLimits DEFAULTS = new CallerLimits(16_384, 4_194_304, 3_000, 15_000);
  }
}
